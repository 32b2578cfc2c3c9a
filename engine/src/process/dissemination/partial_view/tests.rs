//! Tests of the partial view.

use super::*;

#[test]
fn views_that_start_from_one_seed_fill_up_by_shuffling() {
    let descriptor = |n: u8| PeerDescriptor {
        name: format!("n{n}"),
        ip: Ipv4Addr::new(10, 0, 0, n),
        zone: "z".into(),
        control: None,
        age: 0,
    };
    let mut all: Vec<PartialView> =
        (0..20).map(|n| PartialView::new(descriptor(n), fastrand::Rng::with_seed(n.into()))).collect();
    for view in &mut all[1..] {
        view.merge(&[descriptor(0)]);
    }
    for _ in 0..12 {
        for n in 0..all.len() {
            if let Some((partner, sample)) = all[n].shuffle() {
                let partner = usize::from(partner.octets()[3]);
                all[partner].merge(&sample);
                let reply = all[partner].sample(Ipv4Addr::new(10, 0, 0, n as u8));
                all[n].merge(&reply);
            }
        }
    }
    let fewest = all.iter().map(|v| v.descriptors().len()).min();
    assert!(fewest >= Some(6), "the smallest view holds {fewest:?}");
    assert!(all.iter().all(|v| v.descriptors().len() <= VIEW_SIZE));
}
