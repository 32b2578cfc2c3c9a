//! A statement that is on its way to an instance.

use super::ConnectionId;
use crate::request::statement::Shape;
use crate::version::config::Route;
use std::time::Instant;

/// What a statement does, as far as routing and retries depend on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatementKind {
    /// Changes nothing.
    Read,
    /// Changes data.
    Write,
    /// Commits a transaction.
    Commit,
}

/// How far a statement has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatementStage {
    /// Not assigned to a connection.
    Waiting,
    /// The connection is being prepared for the session; the statement itself has not been sent.
    Setup(ConnectionId),
    /// Sent on this connection at this time.
    Sent(ConnectionId, Instant),
}

/// The execution of a prepared statement.
#[derive(Debug)]
pub struct PreparedExecution {
    /// What was prepared.
    pub shape: Shape,
    /// The arguments that follow the name.
    pub arguments: String,
}

/// A statement that needs an instance, from its receipt to its answer.
#[derive(Debug)]
pub struct PendingStatement {
    /// Unique within the process; timers name the statement by it.
    pub number: u64,
    /// The client's id, passed on to the instance.
    pub id: String,
    /// The client's text.
    pub text: String,
    /// What it does.
    pub kind: StatementKind,
    /// For `RUN`: what is executed.
    pub prepared: Option<PreparedExecution>,
    /// The route that it follows.
    pub route: Route,
    /// The tenant that it counts for.
    pub tenant: String,
    /// When it was received.
    pub received_at: Instant,
    /// How far it has come.
    pub stage: StatementStage,
    /// Instances that refused this statement or did not answer it; replicas among them are not chosen again.
    pub tried_instances: Vec<String>,
    /// Answers so far that guaranteed that it was not executed.
    pub refusals: u32,
    /// The tenant's limit has let it through.
    pub admitted: bool,
    /// It has waited for rights under the tenant's limit.
    pub waited_for_rights: bool,
    /// It is included in the usage counts.
    pub counted: bool,
    /// Since when it has been in an instance's queue.
    pub queued_at: Option<Instant>,
}

impl PendingStatement {
    /// The connection that it is assigned to.
    pub fn connection_id(&self) -> Option<ConnectionId> {
        match self.stage {
            StatementStage::Waiting => None,
            StatementStage::Setup(connection_id) | StatementStage::Sent(connection_id, _) => Some(connection_id),
        }
    }

    /// The shape that its connection needs to have prepared.
    pub fn shape(&self) -> Option<&Shape> {
        self.prepared.as_ref().map(|execution| &execution.shape)
    }
}
