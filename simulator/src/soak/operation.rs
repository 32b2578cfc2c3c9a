//! A client's operation: some preparation, then a single statement or a transaction.

use super::Soak;
use super::client::Client;
use super::observations::Observations;
use super::wire::WireSession;
use crate::judge::{AttemptOutcome, ExpectedState, Violation};
use lichenfield_engine::request::error::guarantees_not_executed;
use std::time::{Duration, Instant};

/// One operation in this many prepares the session first.
const PREPARING_ODDS: u32 = 3;
/// Pause between statements of a transaction, in milliseconds.
const STATEMENT_PAUSE_MILLIS: std::ops::Range<u64> = 0..60;
/// The state outside a transaction.
const IDLE: char = 'I';

/// Whether the session can be used further.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OperationEnd {
    /// It can.
    SessionOpen,
    /// It has ended, or has to.
    SessionOver,
}

/// The statements of an operation.
pub(super) struct Operation {
    statements: Vec<String>,
    /// What the operation's prepared name stands for.
    shape: String,
}

/// What is known of an operation under way.
#[derive(Default)]
struct Attempt {
    writes: Vec<String>,
    /// Reads and writes of its transaction.
    transaction: Vec<String>,
    in_transaction: bool,
    commit_sent: bool,
}

impl Operation {
    /// Draws a client's next operation.
    pub(super) fn draw(client: &mut Client) -> Operation {
        let shape = format!("WRITE shape{}x{}", client.number, client.operations);
        let only_reads = client.database == "reads";
        let prepares = client.rng.u32(0..PREPARING_ODDS) == 0;
        let mut statements = Vec::new();
        if prepares {
            statements.push(format!("SET mode{} {}", client.rng.u8(0..2), client.operations));
            statements.push(format!("PREPARE p {shape}"));
        }
        let body: &[&str] = match client.rng.u8(0..6) {
            0 => &["READ thing"],
            1 if !only_reads => &["WRITE thing data"],
            2 if !only_reads && prepares => &["BEGIN", "WRITE thing data", "RUN p thing data", "COMMIT"],
            3 if !only_reads => &["BEGIN", "READ thing", "WRITE thing data", "SET late 1", "READ thing", "COMMIT"],
            4 if !only_reads => &["BEGIN", "WRITE thing data", "ROLLBACK"],
            _ => &["BEGIN READ", "READ thing", "READ other", "COMMIT"],
        };
        statements.extend(body.iter().map(|text| (*text).to_owned()));
        Operation { statements, shape }
    }

    /// Runs it, and records what came of it.
    pub(super) async fn run(&self, soak: &Soak, client: &mut Client, session: &mut WireSession) -> OperationEnd {
        soak.observations.borrow_mut().judge.operations += 1;
        let mut attempt = Attempt::default();
        for (number, text) in self.statements.iter().enumerate() {
            let id = format!("c{}-{}-1-{number}", client.number, client.operations);
            self.note_sent(&mut soak.observations.borrow_mut(), client, &mut attempt, &id, text);
            if let Some(reply) = session.unexpected_answer() {
                soak.observations.borrow_mut().report(Violation::UnexpectedAnswer { reply });
            }
            let sent_at = Instant::now();
            let Ok(answer) = session.query(&id, text).await else {
                let mut observations = soak.observations.borrow_mut();
                let transaction: &[String] = if attempt.in_transaction { &attempt.transaction } else { &[] };
                observations.check_lost(client.number, &id, transaction, sent_at);
                attempt.record_outcome(&mut observations, attempt.outcome_without_answer());
                return OperationEnd::SessionOver;
            };
            if let Some(code) = answer.error {
                attempt.record_outcome(&mut soak.observations.borrow_mut(), attempt.outcome_of_error(&code));
                return self.end_failed(client, session, &code, answer.state).await;
            }
            self.note_answered(&mut soak.observations.borrow_mut(), client, &mut attempt, &id, text);
            if attempt.in_transaction {
                smol::Timer::after(Duration::from_millis(client.rng.u64(STATEMENT_PAUSE_MILLIS))).await;
            }
        }
        let mut observations = soak.observations.borrow_mut();
        observations.judge.succeeded += 1;
        let rolled_back = self.statements.last().is_some_and(|text| text == "ROLLBACK");
        if rolled_back {
            attempt.record_outcome(&mut observations, AttemptOutcome::NotExecuted);
        } else {
            if !attempt.writes.is_empty() {
                observations.note_write();
            }
            attempt.record_outcome(&mut observations, AttemptOutcome::Acknowledged);
        }
        OperationEnd::SessionOpen
    }

    /// After an error the client ends its transaction, and goes on in the same session unless its key is unknown.
    async fn end_failed(&self, client: &Client, session: &mut WireSession, code: &str, state: char) -> OperationEnd {
        if code == "DENIED" || code == "NODB" {
            return OperationEnd::SessionOver;
        }
        if state == IDLE {
            return OperationEnd::SessionOpen;
        }
        let id = format!("c{}-{}-1-undo", client.number, client.operations);
        match session.query(&id, "ROLLBACK").await {
            Ok(answer) if answer.state == IDLE => OperationEnd::SessionOpen,
            _ => OperationEnd::SessionOver,
        }
    }

    fn note_sent(&self, observations: &mut Observations, client: &Client, attempt: &mut Attempt, id: &str, text: &str) {
        let verb = text.split(' ').next().unwrap_or_default();
        let is_write = verb == "WRITE" || verb == "RUN";
        if is_write || verb == "READ" {
            let shape = (verb == "RUN").then(|| self.shape.clone());
            let expected = ExpectedState { values: client.values.clone(), shape };
            observations.judge.expected.insert(id.to_owned(), expected);
            if attempt.in_transaction {
                attempt.transaction.push(id.to_owned());
            }
        }
        if is_write {
            attempt.writes.push(id.to_owned());
        }
        attempt.commit_sent |= verb == "COMMIT" || (is_write && !attempt.in_transaction);
    }

    fn note_answered(
        &self,
        observations: &mut Observations,
        client: &mut Client,
        attempt: &mut Attempt,
        id: &str,
        text: &str,
    ) {
        let (verb, rest) = text.split_once(' ').unwrap_or((text, ""));
        match verb {
            "BEGIN" => attempt.in_transaction = true,
            "SET" => {
                let (name, value) = rest.split_once(' ').unwrap_or((rest, ""));
                client.values.insert(name.to_owned(), value.to_owned());
            }
            "COMMIT" => {
                attempt.in_transaction = false;
                let now = observations.now();
                observations.judge.check_transaction(now, id, &attempt.transaction);
            }
            "ROLLBACK" => attempt.in_transaction = false,
            _ => {}
        }
    }
}

impl Attempt {
    fn outcome_without_answer(&self) -> AttemptOutcome {
        if self.commit_sent { AttemptOutcome::Unknown } else { AttemptOutcome::NotExecuted }
    }

    fn outcome_of_error(&self, code: &str) -> AttemptOutcome {
        if guarantees_not_executed(code) { AttemptOutcome::NotExecuted } else { self.outcome_without_answer() }
    }

    fn record_outcome(&self, observations: &mut Observations, outcome: AttemptOutcome) {
        for statement in &self.writes {
            observations.judge.outcomes.insert(statement.clone(), outcome);
        }
    }
}
