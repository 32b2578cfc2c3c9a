//! Tests of the dissemination tree: a root and a daemon that attaches to it.

use super::*;

fn ip(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, last)
}

const ROOT: u8 = 1;
const CHILD: u8 = 2;

fn tree(now: Instant, last: u8) -> DisseminationTree {
    let own = PeerDescriptor { name: format!("n{last}"), ip: ip(last), zone: "z".into(), control: None, age: 0 };
    let partial_view = PartialView::new(own, fastrand::Rng::with_seed(last.into()));
    let options = TreeOptions { partial_view, seeds: vec![ip(ROOT)], is_root: last == ROOT, link_mbps: 100.0 };
    DisseminationTree::new(now, options)
}

/// Delivers messages between the two until there are none.
fn deliver_all(now: Instant, root: &mut DisseminationTree, child: &mut DisseminationTree) {
    loop {
        let to_root = child.take_messages();
        let to_child = root.take_messages();
        if to_root.is_empty() && to_child.is_empty() {
            return;
        }
        for (_, message) in to_root {
            assert_eq!(root.handle_message(now, ip(CHILD), message), None);
        }
        for (_, message) in to_child {
            assert_eq!(child.handle_message(now, ip(ROOT), message), None);
        }
    }
}

fn update(version: u64) -> Update {
    Update { key: "d/x".into(), version, value: UpdateValue::DrainInstance { id: "x".into() } }
}

#[test]
fn an_attached_daemon_receives_earlier_and_later_updates() {
    let now = Instant::now();
    let (mut root, mut child) = (tree(now, ROOT), tree(now, CHILD));
    root.publish(vec![update(1)]);
    child.tick(now);
    deliver_all(now, &mut root, &mut child);
    assert_eq!(child.take_updates(), [update(1)], "by the comparison of versions");
    root.publish(vec![update(2)]);
    deliver_all(now, &mut root, &mut child);
    assert_eq!(child.take_updates(), [update(2)], "as it was published");
    assert_eq!(child.update_store.digests(), root.update_store.digests());
}

#[test]
fn a_parent_that_sends_no_heartbeat_is_left() {
    let now = Instant::now();
    let (mut root, mut child) = (tree(now, ROOT), tree(now, CHILD));
    child.tick(now);
    deliver_all(now, &mut root, &mut child);
    assert!(child.parent.is_attached_to(ip(ROOT)));
    child.tick(now + PARENT_TIMEOUT - Duration::from_millis(1));
    assert!(child.parent.is_attached_to(ip(ROOT)));
    child.tick(now + PARENT_TIMEOUT);
    assert!(child.parent.is_requested_from(ip(ROOT)), "no other candidate is known");
    let sent = child.take_messages();
    assert!(sent.contains(&(ip(ROOT), PeerMessage::Detach)), "{sent:?}");
}
