//! The state that the log decides.

use lichenfield_engine::version::control_state::{ACCEPTED_CHANGES_KEPT, Command, ControlState, Outcome, ProposalId};
use std::time::Duration;

fn document(revision: u64) -> Vec<u8> {
    format!(r#"{{"revision":{revision},"routes":[],"backends":[]}}"#).into_bytes()
}

#[test]
fn one_of_two_racing_changes_wins_and_a_resend_is_known() {
    let mut control_state = ControlState::default();
    let mut put = |if_match, raw: &[u8]| {
        let index = control_state.applied_index + 1;
        let (raw, by, at) = (raw.to_vec(), "controller-1".to_owned(), Duration::from_secs(index));
        control_state.apply(index, ProposalId::default(), &Command::Configure { if_match, raw, by, at })
    };
    assert_eq!(put(0, &document(3)), Outcome::Accepted);
    assert_eq!(put(3, &document(5)), Outcome::Accepted);
    assert_eq!(put(3, &document(6)), Outcome::Conflict { current: 5 });
    assert_eq!(put(0, &document(3)), Outcome::Accepted, "the exact resend of a taken one");
    assert!(matches!(put(5, &document(5)), Outcome::Invalid { .. }));
    assert!(matches!(put(5, b"{"), Outcome::Invalid { .. }));
    assert_eq!(control_state.revision(), 5);
    let told: Vec<(u64, u64)> = control_state.change_history.iter().map(|c| (c.revision, c.built_on)).collect();
    assert_eq!(told, [(3, 0), (5, 3)], "who changed what: only what was taken, once");
}

#[test]
fn a_repeated_proposal_applies_once() {
    let mut control_state = ControlState::default();
    let mark = ProposalId { proposer: 9, serial: 1 };
    let first = Command::InstallPrimary { service: "s".into(), epoch: 1, primary: "a".into(), term: 1 };
    assert_eq!(control_state.apply(1, mark, &first), Outcome::Accepted);
    assert_eq!(control_state.apply(2, mark, &first), Outcome::Accepted, "the cached result");
    assert_eq!(control_state.epochs["s"].epoch, 1);
    assert_eq!(control_state.apply(3, ProposalId::default(), &first), Outcome::Conflict { current: 0 });
}

#[test]
fn an_open_epoch_is_not_crowned_over() {
    let mut control_state = ControlState::default();
    let crown = |epoch, primary: &str, term| Command::InstallPrimary {
        service: "s".into(),
        epoch,
        primary: primary.into(),
        term,
    };
    control_state.apply(1, ProposalId::default(), &crown(1, "a", 4));
    assert_ne!(control_state.apply(2, ProposalId::default(), &crown(2, "b", 5)), Outcome::Accepted);
    control_state.apply(3, ProposalId::default(), &Command::CloseEpoch { service: "s".into(), epoch: 1 });
    assert_ne!(control_state.apply(4, ProposalId::default(), &crown(2, "b", 3)), Outcome::Accepted, "an older term");
    assert_eq!(control_state.apply(5, ProposalId::default(), &crown(2, "b", 5)), Outcome::Accepted);
}

/// A control_state and its next index.
#[derive(Default)]
struct Log(ControlState);

impl Log {
    fn apply(&mut self, mark: ProposalId, command: &Command) -> Outcome {
        let index = self.0.applied_index + 1;
        self.0.apply(index, mark, command)
    }

    fn put(&mut self, if_match: u64, raw: &[u8]) -> Outcome {
        let (raw, by, at) = (raw.to_vec(), "controller-1".to_owned(), Duration::ZERO);
        self.apply(ProposalId::default(), &Command::Configure { if_match, raw, by, at })
    }
}

#[test]
fn a_resend_is_known_however_many_changes_came_after() {
    let mut log = Log::default();
    for n in 0..600 {
        assert_eq!(log.put(n * 2, &document(n * 2 + 2)), Outcome::Accepted);
    }
    for n in 0..600 {
        assert_eq!(log.put(n * 2, &document(n * 2 + 2)), Outcome::Accepted, "the change on {} sent again", n * 2);
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
    assert_eq!(log.put(0, &document(3)), Outcome::Accepted);
    let other = document(9);
    assert_ne!(log.put(fnv(&document(3)) ^ fnv(&other), &other), Outcome::Accepted, "acknowledged and not in force");
    assert_eq!(log.0.revision(), 3);
}

#[test]
fn a_resend_too_old_to_be_known_is_neither_refused_nor_acknowledged() {
    let mut log = Log::default();
    let kept = ACCEPTED_CHANGES_KEPT as u64;
    for n in 0..kept + 2 {
        assert_eq!(log.put(n, &document(n + 1)), Outcome::Accepted);
    }
    assert_eq!(log.put(0, &document(1)), Outcome::Unknown, "taken, and forgotten");
    assert_eq!(log.put(1, &document(900)), Outcome::Unknown, "never taken, which nobody can tell any more");
    assert_eq!(log.put(2, &document(3)), Outcome::Accepted, "the oldest that is known");
    assert_eq!(log.put(2, &document(900)), Outcome::Conflict { current: kept + 2 });
    let size = bincode::serde::encode_to_vec(&log.0, bincode::config::standard()).map_or(0, |bytes| bytes.len());
    assert!(size < 192 * 1024, "{size} bytes of snapshot after {kept} changes");
}

#[test]
fn of_two_under_one_number_the_other_is_refused_unless_it_is_the_same() {
    let mut log = Log::default();
    assert_eq!(log.put(0, &document(3)), Outcome::Accepted);
    assert_eq!(log.put(3, &document(5)), Outcome::Accepted);
    let spaced = String::from_utf8_lossy(&document(5)).replace(',', ", ");
    let other = r#"{"revision":5,"routes":[],"backends":[{"name":"s"}]}"#;
    for _ in 0..2 {
        assert_eq!(log.put(3, &document(5)), Outcome::Accepted, "the same from the other operator, or again");
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
            Outcome::Accepted => {
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
    let crown = |epoch, primary: &str, term| Command::InstallPrimary {
        service: "s".into(),
        epoch,
        primary: primary.into(),
        term,
    };
    let usage = |window| Command::RecordUsage { window, counts: [("t".to_owned(), window)].into(), holder: "q".into() };
    let configure = Command::Configure { if_match: 0, raw: document(3), by: "q".into(), at: Duration::ZERO };
    let close = |epoch| Command::CloseEpoch { service: "s".into(), epoch };
    let name = Command::SelectCandidate { service: "s".into(), epoch: 1, candidate: "b".into(), holder: "q".into() };
    let drain = Command::DrainInstance { id: "i".into() };
    let steps = [configure, crown(1, "a", 1), close(1), name, crown(2, "b", 2), usage(7), drain];
    let mut log = Log::default();
    steps.iter().for_each(|step| assert_eq!(log.apply(ProposalId::default(), step), Outcome::Accepted));
    for _ in 0..2 {
        for step in &steps {
            let mut before = log.0.clone();
            log.apply(ProposalId::default(), step);
            before.applied_index = log.0.applied_index;
            assert_eq!(log.0, before, "{step:?} again");
        }
    }
}
