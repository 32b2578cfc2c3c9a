//! The replicated state: what applying commands leads to.

use lichenfield_engine::version::control_state::{ACCEPTED_CHANGES_KEPT, Command, ControlState, Outcome, ProposalId};
use std::time::Duration;

fn document(revision: u64) -> Vec<u8> {
    format!(r#"{{"revision":{revision},"routes":[],"backends":[]}}"#).into_bytes()
}

#[test]
fn one_of_two_concurrent_changes_wins_and_its_repeat_is_acknowledged() {
    let mut control_state = ControlState::default();
    let mut put = |if_match, raw: &[u8]| {
        let index = control_state.applied_index + 1;
        let (raw, by, at) = (raw.to_vec(), "controller-1".to_owned(), Duration::from_secs(index));
        control_state.apply(index, ProposalId::default(), &Command::Configure { if_match, raw, by, at })
    };
    assert_eq!(put(0, &document(3)), Outcome::Accepted);
    assert_eq!(put(3, &document(5)), Outcome::Accepted);
    assert_eq!(put(3, &document(6)), Outcome::Conflict { current: 5 });
    assert_eq!(put(0, &document(3)), Outcome::Accepted, "the exact repeat of an accepted change");
    assert!(matches!(put(5, &document(5)), Outcome::Invalid { .. }));
    assert!(matches!(put(5, b"{"), Outcome::Invalid { .. }));
    assert_eq!(control_state.revision(), 5);
    let history: Vec<(u64, u64)> = control_state.change_history.iter().map(|c| (c.revision, c.built_on)).collect();
    assert_eq!(history, [(3, 0), (5, 3)], "each accepted change, once");
}

#[test]
fn a_repeated_proposal_applies_once() {
    let mut control_state = ControlState::default();
    let proposal_id = ProposalId { proposer: 9, serial: 1 };
    let first = Command::InstallPrimary { service: "s".into(), epoch: 1, primary: "a".into(), term: 1 };
    assert_eq!(control_state.apply(1, proposal_id, &first), Outcome::Accepted);
    assert_eq!(control_state.apply(2, proposal_id, &first), Outcome::Accepted, "the cached result");
    assert_eq!(control_state.epochs["s"].epoch, 1);
    assert_eq!(control_state.apply(3, ProposalId::default(), &first), Outcome::Conflict { current: 0 });
}

#[test]
fn a_primary_is_installed_only_after_the_epoch_is_closed() {
    let mut control_state = ControlState::default();
    let install_primary = |epoch, primary: &str, term| Command::InstallPrimary {
        service: "s".into(),
        epoch,
        primary: primary.into(),
        term,
    };
    control_state.apply(1, ProposalId::default(), &install_primary(1, "a", 4));
    assert_ne!(control_state.apply(2, ProposalId::default(), &install_primary(2, "b", 5)), Outcome::Accepted);
    control_state.apply(3, ProposalId::default(), &Command::CloseEpoch { service: "s".into(), epoch: 1 });
    assert_ne!(
        control_state.apply(4, ProposalId::default(), &install_primary(2, "b", 3)),
        Outcome::Accepted,
        "an older term"
    );
    assert_eq!(control_state.apply(5, ProposalId::default(), &install_primary(2, "b", 5)), Outcome::Accepted);
}

/// A control state to which entries are applied in order.
#[derive(Default)]
struct Log(ControlState);

impl Log {
    fn apply(&mut self, proposal_id: ProposalId, command: &Command) -> Outcome {
        let index = self.0.applied_index + 1;
        self.0.apply(index, proposal_id, command)
    }

    fn put(&mut self, if_match: u64, raw: &[u8]) -> Outcome {
        let (raw, by, at) = (raw.to_vec(), "controller-1".to_owned(), Duration::ZERO);
        self.apply(ProposalId::default(), &Command::Configure { if_match, raw, by, at })
    }
}

#[test]
fn a_repeated_change_is_recognised_after_many_later_ones() {
    let mut log = Log::default();
    for n in 0..600 {
        assert_eq!(log.put(n * 2, &document(n * 2 + 2)), Outcome::Accepted);
    }
    for n in 0..600 {
        assert_eq!(log.put(n * 2, &document(n * 2 + 2)), Outcome::Accepted, "the change on {} repeated", n * 2);
        let other = format!(r#"{{"revision":{},"routes":[],"backends":[{{"name":"s"}}]}}"#, n * 2 + 2);
        let refused = Outcome::Conflict { current: 1200 };
        assert_eq!(log.put(n * 2, other.as_bytes()), refused, "another document with the same revision");
    }
    assert_eq!(log.0.revision(), 1200);
}

/// Repeats were once recognised by 64 bits of FNV-1a, xor-ed with `If-Match`, for which another document is easily found.
#[test]
fn no_if_match_makes_another_document_pass_for_an_accepted_one() {
    let fnv = |raw: &[u8]| {
        raw.iter().fold(0xcbf2_9ce4_8422_2325_u64, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3))
    };
    let mut log = Log::default();
    assert_eq!(log.put(0, &document(3)), Outcome::Accepted);
    let other = document(9);
    assert_ne!(log.put(fnv(&document(3)) ^ fnv(&other), &other), Outcome::Accepted, "acknowledged, but not in force");
    assert_eq!(log.0.revision(), 3);
}

#[test]
fn a_repeat_of_a_forgotten_change_has_an_unknown_outcome() {
    let mut log = Log::default();
    let kept = ACCEPTED_CHANGES_KEPT as u64;
    for n in 0..kept + 2 {
        assert_eq!(log.put(n, &document(n + 1)), Outcome::Accepted);
    }
    assert_eq!(log.put(0, &document(1)), Outcome::Unknown, "accepted, and forgotten");
    assert_eq!(log.put(1, &document(900)), Outcome::Unknown, "never accepted, which is not known any more");
    assert_eq!(log.put(2, &document(3)), Outcome::Accepted, "the oldest known change");
    assert_eq!(log.put(2, &document(900)), Outcome::Conflict { current: kept + 2 });
    let size = bincode::serde::encode_to_vec(&log.0, bincode::config::standard()).map_or(0, |bytes| bytes.len());
    assert!(size < 192 * 1024, "{size} bytes of snapshot after {kept} changes");
}

#[test]
fn a_second_change_with_the_same_revision_is_refused_unless_identical() {
    let mut log = Log::default();
    assert_eq!(log.put(0, &document(3)), Outcome::Accepted);
    assert_eq!(log.put(3, &document(5)), Outcome::Accepted);
    let spaced = String::from_utf8_lossy(&document(5)).replace(',', ", ");
    let other = r#"{"revision":5,"routes":[],"backends":[{"name":"s"}]}"#;
    for _ in 0..2 {
        assert_eq!(
            log.put(3, &document(5)),
            Outcome::Accepted,
            "the identical change from another operator, or repeated"
        );
        assert_eq!(log.put(3, other.as_bytes()), Outcome::Conflict { current: 5 });
        assert_eq!(
            log.put(3, spaced.as_bytes()),
            Outcome::Conflict { current: 5 },
            "other white space: another document"
        );
        assert_eq!(
            log.put(0, &document(5)),
            Outcome::Conflict { current: 5 },
            "the same document built on another version"
        );
    }
}

/// A refusal is final: no later copy of the change is accepted.
#[test]
fn a_refused_change_is_never_accepted_later() {
    let mut log = Log::default();
    let (mut refused, mut accepted) = (Vec::new(), Vec::new());
    let mut rng = fastrand::Rng::with_seed(7);
    for _ in 0..4000 {
        let current = log.0.revision();
        // A controller holds a change back until the version that it is built on is applied.
        let if_match = rng.u64(current.saturating_sub(6)..=current);
        let revision = rng.u64(current.saturating_sub(3)..current + 4);
        match log.put(if_match, &document(revision)) {
            Outcome::Accepted => {
                assert!(!refused.contains(&(if_match, revision)), "{revision} on {if_match} was refused before");
                accepted.push((if_match, revision));
            }
            _ => {
                assert!(!accepted.contains(&(if_match, revision)), "{revision} on {if_match} was accepted before");
                refused.push((if_match, revision));
            }
        }
    }
    accepted.dedup();
    assert!(accepted.len() > 300 && refused.len() > 1000, "{} accepted, {} refused", accepted.len(), refused.len());
}

/// A proposal that was sent twice may be two entries, the second applied when the result of the first is forgotten.
#[test]
fn entries_applied_again_without_a_known_proposal_change_nothing() {
    let install_primary = |epoch, primary: &str, term| Command::InstallPrimary {
        service: "s".into(),
        epoch,
        primary: primary.into(),
        term,
    };
    let usage =
        |window| Command::RecordUsage { window, counts: [("t".to_owned(), window)].into(), reporter: "q".into() };
    let configure = Command::Configure { if_match: 0, raw: document(3), by: "q".into(), at: Duration::ZERO };
    let close = |epoch| Command::CloseEpoch { service: "s".into(), epoch };
    let select = Command::SelectCandidate { service: "s".into(), epoch: 1, candidate: "b".into(), caller: "q".into() };
    let drain = Command::DrainInstance { id: "i".into() };
    let steps = [configure, install_primary(1, "a", 1), close(1), select, install_primary(2, "b", 2), usage(7), drain];
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
