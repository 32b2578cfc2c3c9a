//! The state that the log decides.

use brood::version::ledger::{Command, Ledger, Mark, Outcome};
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
