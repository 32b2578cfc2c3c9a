//! The state that the log decides.

use brood::version::ledger::{Command, KEPT_TAKEN, Ledger, Mark, Outcome};
use std::time::Duration;

fn document(revision: u64) -> Vec<u8> {
    format!(r#"{{"revision":{revision},"routes":[],"backends":[]}}"#).into_bytes()
}

#[test]
fn one_of_two_racing_changes_wins_and_a_resend_is_known() {
    let mut ledger = Ledger::default();
    let mut put = |if_match, raw: &[u8]| {
        let index = ledger.index + 1;
        let (raw, by, at) = (raw.to_vec(), "queen-1".to_owned(), Duration::from_secs(index));
        ledger.apply(index, Mark::default(), &Command::Configure { if_match, raw, by, at })
    };
    assert_eq!(put(0, &document(3)), Outcome::Done);
    assert_eq!(put(3, &document(5)), Outcome::Done);
    assert_eq!(put(3, &document(6)), Outcome::Conflict { current: 5 });
    assert_eq!(put(0, &document(3)), Outcome::Done, "the exact resend of a taken one");
    assert!(matches!(put(5, &document(5)), Outcome::Invalid { .. }));
    assert!(matches!(put(5, b"{"), Outcome::Invalid { .. }));
    assert_eq!(ledger.revision(), 5);
    let told: Vec<(u64, u64)> = ledger.history.iter().map(|c| (c.revision, c.built_on)).collect();
    assert_eq!(told, [(3, 0), (5, 3)], "who changed what: only what was taken, once");
}

#[test]
fn a_repeated_proposal_applies_once() {
    let mut ledger = Ledger::default();
    let mark = Mark { proposer: 9, serial: 1 };
    let first = Command::Crown { service: "s".into(), epoch: 1, primary: "a".into(), term: 1 };
    assert_eq!(ledger.apply(1, mark, &first), Outcome::Done);
    assert_eq!(ledger.apply(2, mark, &first), Outcome::Done, "the cached result");
    assert_eq!(ledger.epochs["s"].epoch, 1);
    assert_eq!(ledger.apply(3, Mark::default(), &first), Outcome::Conflict { current: 0 });
}

#[test]
fn an_open_epoch_is_not_crowned_over() {
    let mut ledger = Ledger::default();
    let crown =
        |epoch, primary: &str, term| Command::Crown { service: "s".into(), epoch, primary: primary.into(), term };
    ledger.apply(1, Mark::default(), &crown(1, "a", 4));
    assert_ne!(ledger.apply(2, Mark::default(), &crown(2, "b", 5)), Outcome::Done);
    ledger.apply(3, Mark::default(), &Command::Close { service: "s".into(), epoch: 1 });
    assert_ne!(ledger.apply(4, Mark::default(), &crown(2, "b", 3)), Outcome::Done, "an older term");
    assert_eq!(ledger.apply(5, Mark::default(), &crown(2, "b", 5)), Outcome::Done);
}

/// A ledger and its next index.
#[derive(Default)]
struct Log(Ledger);

impl Log {
    fn apply(&mut self, mark: Mark, command: &Command) -> Outcome {
        let index = self.0.index + 1;
        self.0.apply(index, mark, command)
    }

    fn put(&mut self, if_match: u64, raw: &[u8]) -> Outcome {
        let (raw, by, at) = (raw.to_vec(), "queen-1".to_owned(), Duration::ZERO);
        self.apply(Mark::default(), &Command::Configure { if_match, raw, by, at })
    }
}

#[test]
fn a_resend_is_known_however_many_changes_came_after() {
    let mut log = Log::default();
    for n in 0..600 {
        assert_eq!(log.put(n * 2, &document(n * 2 + 2)), Outcome::Done);
    }
    for n in 0..600 {
        assert_eq!(log.put(n * 2, &document(n * 2 + 2)), Outcome::Done, "the change on {} sent again", n * 2);
        let other = format!(r#"{{"revision":{},"routes":[],"backends":[{{"name":"s"}}]}}"#, n * 2 + 2);
        let refused = Outcome::Conflict { current: 1200 };
        assert_eq!(log.put(n * 2, other.as_bytes()), refused, "another one under the same number");
    }
    assert_eq!(log.0.revision(), 1200);
}

/// The digest that resends were once known by was 64 bits of FNV-1a, xor-ed with `If-Match`.
#[test]
fn no_if_match_makes_another_body_pass_for_one_that_was_taken() {
    let fnv = |raw: &[u8]| {
        raw.iter().fold(0xcbf2_9ce4_8422_2325_u64, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3))
    };
    let mut log = Log::default();
    assert_eq!(log.put(0, &document(3)), Outcome::Done);
    let other = document(9);
    assert_ne!(log.put(fnv(&document(3)) ^ fnv(&other), &other), Outcome::Done, "acknowledged and not in force");
    assert_eq!(log.0.revision(), 3);
}

#[test]
fn a_resend_too_old_to_be_known_is_neither_refused_nor_acknowledged() {
    let mut log = Log::default();
    let kept = KEPT_TAKEN as u64;
    for n in 0..kept + 2 {
        assert_eq!(log.put(n, &document(n + 1)), Outcome::Done);
    }
    assert_eq!(log.put(0, &document(1)), Outcome::Unknown, "taken, and forgotten");
    assert_eq!(log.put(1, &document(900)), Outcome::Unknown, "never taken, which nobody can tell any more");
    assert_eq!(log.put(2, &document(3)), Outcome::Done, "the oldest that is known");
    assert_eq!(log.put(2, &document(900)), Outcome::Conflict { current: kept + 2 });
    let size = bincode::serde::encode_to_vec(&log.0, bincode::config::standard()).map_or(0, |bytes| bytes.len());
    assert!(size < 192 * 1024, "{size} bytes of snapshot after {kept} changes");
}

#[test]
fn of_two_under_one_number_the_other_is_refused_unless_it_is_the_same() {
    let mut log = Log::default();
    assert_eq!(log.put(0, &document(3)), Outcome::Done);
    assert_eq!(log.put(3, &document(5)), Outcome::Done);
    let spaced = String::from_utf8_lossy(&document(5)).replace(',', ", ");
    let other = r#"{"revision":5,"routes":[],"backends":[{"name":"s"}]}"#;
    for _ in 0..2 {
        assert_eq!(log.put(3, &document(5)), Outcome::Done, "the same from the other operator, or again");
        assert_eq!(log.put(3, other.as_bytes()), Outcome::Conflict { current: 5 });
        assert_eq!(log.put(3, spaced.as_bytes()), Outcome::Conflict { current: 5 }, "other white space: another order");
        assert_eq!(log.put(0, &document(5)), Outcome::Conflict { current: 5 }, "the same on another version");
    }
}

/// What an order was refused for stays so: no later copy of it is taken.
#[test]
fn a_change_refused_once_is_never_taken_later() {
    let mut log = Log::default();
    let (mut refused, mut taken) = (Vec::new(), Vec::new());
    let mut rng = fastrand::Rng::with_seed(7);
    for _ in 0..4000 {
        let current = log.0.revision();
        // Whoever takes an order holds it until the version that it builds on is known.
        let if_match = rng.u64(current.saturating_sub(6)..=current);
        let revision = rng.u64(current.saturating_sub(3)..current + 4);
        match log.put(if_match, &document(revision)) {
            Outcome::Done => {
                assert!(!refused.contains(&(if_match, revision)), "{revision} on {if_match} was refused before");
                taken.push((if_match, revision));
            }
            _ => {
                assert!(!taken.contains(&(if_match, revision)), "{revision} on {if_match} was taken before");
                refused.push((if_match, revision));
            }
        }
    }
    taken.dedup();
    assert!(taken.len() > 300 && refused.len() > 1000, "{} taken, {} refused", taken.len(), refused.len());
}

/// A proposal that was pushed twice is two entries; the second may come when its mark is forgotten.
#[test]
fn entries_applied_twice_with_their_marks_forgotten_change_nothing() {
    let crown =
        |epoch, primary: &str, term| Command::Crown { service: "s".into(), epoch, primary: primary.into(), term };
    let usage = |window| Command::Usage { window, counts: [("t".to_owned(), window)].into(), holder: "q".into() };
    let configure = Command::Configure { if_match: 0, raw: document(3), by: "q".into(), at: Duration::ZERO };
    let close = |epoch| Command::Close { service: "s".into(), epoch };
    let name = Command::Name { service: "s".into(), epoch: 1, target: "b".into(), holder: "q".into() };
    let drain = Command::Drain { id: "i".into() };
    let steps = [configure, crown(1, "a", 1), close(1), name, crown(2, "b", 2), usage(7), drain];
    let mut log = Log::default();
    steps.iter().for_each(|step| assert_eq!(log.apply(Mark::default(), step), Outcome::Done));
    for _ in 0..2 {
        for step in &steps {
            let mut before = log.0.clone();
            log.apply(Mark::default(), step);
            before.index = log.0.index;
            assert_eq!(log.0, before, "{step:?} again");
        }
    }
}
