//! Log compaction and membership: the retained log, snapshots in chunks, learners, shutdown.

mod cluster;

use cluster::{Cluster, SnapshotTraffic, T, ms};
use lichenfield_engine::version::control_state::Command;
use std::time::Duration;

fn drain(n: u64) -> Command {
    Command::DrainInstance { id: format!("i-{n}") }
}

/// A configuration of about this many bytes, based on the version before.
fn configuration(revision: u64, bytes: usize) -> Command {
    let key = "k".repeat(bytes);
    let raw = format!(
        r#"{{"revision":{revision},"routes":[],"backends":[],"customers":[{{"name":"t","api-keys":["{key}"]}}]}}"#
    );
    Command::Configure { if_match: revision - 1, raw: raw.into_bytes(), by: "n0".into(), at: Duration::ZERO }
}

fn voters(cluster: &Cluster) -> Vec<u64> {
    let leader = cluster.leader().expect("a leader");
    cluster.nodes[leader].raft.as_ref().map(|r| r.voters().iter().map(|v| v.id).collect()).unwrap_or_default()
}

fn caught_up(cluster: &Cluster, n: usize) -> bool {
    let index = |n: usize| cluster.nodes[n].control_state.applied_index;
    cluster.leader().is_some_and(|l| index(l) == index(n))
}

#[test]
fn a_follower_that_missed_a_few_entries_around_a_snapshot_receives_only_those() {
    let mut cluster = Cluster::new(3, 3, 1);
    assert!(cluster.until(ms(2000), |c| c.leader().is_some()));
    let behind = (0..3).find(|n| Some(*n) != cluster.leader()).expect("a follower");
    for n in 0..395 {
        assert!(cluster.propose(n + 1, drain(n)));
    }
    cluster.run(ms(300));
    cluster.cut = vec![behind];
    for n in 395..420 {
        assert!(cluster.propose(n + 1, drain(n)));
    }
    cluster.run(ms(300));
    let leader = cluster.leader().expect("a leader");
    assert!(cluster.raft(leader).retained_log().snapshot_index > 390, "a snapshot was taken meanwhile");
    cluster.cut.clear();
    cluster.entries.clear();
    assert!(cluster.until(ms(1000), |c| caught_up(c, behind)));
    assert_eq!(cluster.snapshot_chunks.get(&behind), None, "no snapshot was sent");
    assert!(cluster.entries[&behind] < 60, "{} entries for 25", cluster.entries[&behind]);
}

#[test]
fn a_snapshot_is_sent_in_chunks_and_only_once() {
    for loss in [0.0, 0.2] {
        let mut cluster = Cluster::new(4, 3, 1);
        assert!(cluster.until(ms(2000), |c| c.leader().is_some()));
        for revision in 1..=12 {
            assert!(cluster.propose(revision, configuration(revision, 600_000)));
            cluster.run(ms(50));
        }
        cluster.loss = loss;
        cluster.start(3);
        assert!(cluster.until(Duration::from_secs(10), |c| caught_up(c, 3)), "caught up, with a loss of {loss}");
        let SnapshotTraffic { bytes, messages: chunks } = cluster.snapshot_chunks[&3];
        assert!(chunks >= 9, "{chunks} chunks");
        // One whole configuration; with losses somewhat more.
        assert!(bytes < if loss > 0.0 { 1_300_000 } else { 700_000 }, "{bytes} bytes with a loss of {loss}");
        let leader = cluster.leader().expect("a leader");
        assert_eq!(cluster.nodes[3].control_state, cluster.nodes[leader].control_state);
    }
}

#[test]
fn a_learner_with_a_slow_disk_catches_up_under_a_load_of_large_configurations() {
    let mut cluster = Cluster::new(4, 3, 1);
    assert!(cluster.until(ms(2000), |c| c.leader().is_some()));
    let gone = (0..3).find(|n| Some(*n) != cluster.leader()).expect("a follower");
    // 200 ms a sync and 120 MB/s.
    (cluster.nodes[3].sync, cluster.nodes[3].per_kb) = (ms(200), Duration::from_micros(8));
    let mut admitted = None;
    for revision in 1..=400 {
        assert!(cluster.propose(revision, configuration(revision, 256_000)), "change {revision} is taken");
        match revision {
            20 => cluster.stop(gone),
            30 => cluster.start(3),
            _ => {}
        }
        cluster.run(ms(80));
        assert!(cluster.decided(revision), "change {revision} is decided");
        if admitted.is_none() && voters(&cluster).contains(&103) {
            admitted = Some(revision);
        }
        let entries = cluster.leader().map(|l| cluster.raft(l).retained_log().entries).expect("a leader");
        assert!(entries < 80, "{entries} entries kept of 256 KB each");
    }
    // It started at change 30, and votes fewer than 30 changes (2.4 s) later.
    assert!(admitted.is_some_and(|at| at < 60), "admitted at {admitted:?}");
    assert!(cluster.until(ms(2000), |c| caught_up(c, 3)));
}

#[test]
fn a_wiped_disk_is_replaced_even_if_every_disk_is_needed() {
    // Three voters, of which two may be lost at once: what is acknowledged needs all three disks.
    let mut cluster = Cluster::new(3, 3, 2);
    assert!(cluster.until(ms(2000), |c| c.leader().is_some()));
    assert!(cluster.propose(1, drain(1)));
    assert!(cluster.until(ms(1000), |c| c.decided(1)));
    let wiped = (0..3).find(|n| Some(*n) != cluster.leader()).expect("a follower");
    cluster.wipe(wiped);
    let id = 1100 + wiped as u64;
    assert!(cluster.until(ms(4000), |c| voters(c).contains(&id) && voters(c).len() == 3), "{:?}", voters(&cluster));
    assert!(cluster.propose(2, drain(2)));
    assert!(cluster.until(ms(1000), |c| c.decided(2)), "the log goes on");
}

#[test]
fn two_wiped_disks_of_five_are_replaced_without_a_smaller_electorate() {
    let mut cluster = Cluster::new(5, 5, 2);
    assert!(cluster.until(ms(2000), |c| c.leader().is_some()));
    assert!(cluster.propose(1, drain(1)));
    assert!(cluster.until(ms(1000), |c| c.decided(1)));
    let wiped: Vec<usize> = (0..5).filter(|n| Some(*n) != cluster.leader()).take(2).collect();
    wiped.iter().for_each(|n| cluster.wipe(*n));
    let (mut fewest, mut back) = (5, false);
    for _ in 0..400 {
        cluster.run(ms(10));
        let now = voters(&cluster);
        fewest = fewest.min(now.len());
        back |= now.len() == 5 && wiped.iter().all(|n| now.contains(&(1100 + *n as u64)));
    }
    assert!(back, "{:?}", voters(&cluster));
    assert_eq!(fewest, 5, "never fewer voters than the tolerance needs");
    // The next loss may come now.
    let gone: Vec<usize> = (0..5).filter(|n| !wiped.contains(n)).take(2).collect();
    gone.iter().for_each(|n| cluster.stop(*n));
    assert!(cluster.until(ms(2000), |c| c.leader().is_some_and(|l| !gone.contains(&l))));
    assert!(cluster.propose(2, drain(2)));
    assert!(cluster.until(ms(1000), |c| c.decided(2)));
}

#[test]
fn a_leader_that_shuts_down_under_load_transfers_leadership_and_is_replaced_by_the_learner() {
    let mut cluster = Cluster::new(4, 3, 1);
    assert!(cluster.until(ms(2000), |c| c.leader().is_some()));
    cluster.start(3);
    cluster.run(ms(1500));
    assert_eq!(voters(&cluster).len(), 3, "the fourth is a learner");
    let old = cluster.leader().expect("a leader");
    let (mut serial, mut successor, mut ended) = (0, None, None);
    for step in 0..200u64 {
        serial += 1;
        cluster.propose(serial, drain(serial));
        cluster.run(ms(4));
        if step == 50 {
            cluster.begin_shutdown(old);
        }
        let now = cluster.now;
        if step > 50 && successor.is_none() && cluster.leader().is_some_and(|l| l != old) {
            successor = Some(now);
        }
        if step > 50 && ended.is_none() && cluster.raft(old).may_shut_down() {
            ended = Some((step, voters(&cluster)));
            cluster.stop(old);
        }
    }
    assert!(successor.is_some(), "another leads");
    let (_, then) = ended.expect("it could end within 0.6 s");
    assert!(then.contains(&103) && !then.contains(&(100 + old as u64)), "the fourth has replaced it: {then:?}");
    // A second loss right after it leaves a majority.
    let leader = cluster.leader().expect("a leader");
    cluster.stop(leader);
    assert!(cluster.until(ms(2000), |c| c.leader().is_some_and(|l| l != leader)));
    assert!(cluster.propose(9999, drain(9999)));
    assert!(cluster.until(ms(1000), |c| c.decided(9999)));
}

#[test]
fn a_voter_that_restarts_without_a_replacement_keeps_its_vote() {
    let mut cluster = Cluster::new(3, 3, 1);
    assert!(cluster.until(ms(2000), |c| c.leader().is_some()));
    cluster.run(T * 5);
    for n in 0..3 {
        cluster.begin_shutdown(n);
        assert!(
            cluster.until(ms(1000), |c| c.nodes[n].raft.as_ref().is_some_and(|r| r.may_shut_down())),
            "{n} may end"
        );
        cluster.stop(n);
        cluster.run(ms(100));
        cluster.start(n);
        assert!(cluster.until(ms(2000), |c| c.leader().is_some() && caught_up(c, n)));
        cluster.run(T * 5);
        assert_eq!(voters(&cluster), [100, 101, 102]);
    }
}

#[test]
fn a_proposal_sent_again_is_appended_once() {
    let mut cluster = Cluster::new(3, 3, 1);
    assert!(cluster.until(ms(2000), |c| c.leader().is_some()));
    cluster.run(ms(500));
    let leader = cluster.leader().expect("a leader");
    let others: Vec<usize> = (0..3).filter(|n| *n != leader).collect();
    cluster.cut = others;
    let before = cluster.raft(leader).last_index();
    (0..5).for_each(|_| assert!(cluster.propose(1, drain(1))));
    assert_eq!(cluster.raft(leader).last_index(), before + 1);
}
