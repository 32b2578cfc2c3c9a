//! A session's transaction.

use super::ConnectionId;
use crate::version::config::Route;
use std::time::Instant;

/// State of a session's transaction.
#[derive(Debug)]
pub enum Transaction {
    /// None is open: each statement commits by itself.
    None,
    /// Begun by the client; nothing of it has reached an instance, so any instance may still take it.
    Lazy {
        /// It only reads.
        read: bool,
        /// When the client began it.
        began_at: Instant,
        /// The route in force then, kept until its end.
        route: Route,
    },
    /// Open on an instance's connection, which serves no other session until its end.
    Bound {
        /// That connection.
        connection_id: ConnectionId,
        /// Whether the client has been sent an instance's answer from it. Such a transaction cannot begin anew: another
        /// one would lack what was answered.
        answered: bool,
        /// It only reads.
        read: bool,
        /// When the client began it.
        began_at: Instant,
        /// The route in force then, kept until its end.
        route: Route,
    },
    /// Failed; the client can only end it.
    Failed {
        /// Whether the client has been sent the error.
        notified: bool,
    },
}

impl Transaction {
    /// The state letter of `READY` lines: `I` for none, `T` for open, `E` for failed.
    pub fn state(&self) -> char {
        match self {
            Transaction::None => 'I',
            Transaction::Lazy { .. } | Transaction::Bound { .. } => 'T',
            Transaction::Failed { .. } => 'E',
        }
    }

    /// Whether no transaction is open.
    pub fn is_none(&self) -> bool {
        matches!(self, Transaction::None)
    }

    /// Whether it is open on a connection.
    pub fn is_bound(&self) -> bool {
        matches!(self, Transaction::Bound { .. })
    }

    /// Whether it has failed and only its end is left.
    pub fn is_failed(&self) -> bool {
        matches!(self, Transaction::Failed { .. })
    }

    /// Whether the client has been sent an instance's answer from it, and it is open still.
    pub fn is_answered(&self) -> bool {
        matches!(self, Transaction::Bound { answered: true, .. })
    }

    /// The connection on which it is open.
    pub fn connection_id(&self) -> Option<ConnectionId> {
        match self {
            Transaction::Bound { connection_id, .. } => Some(*connection_id),
            _ => None,
        }
    }

    /// The route that it keeps, while it is open.
    pub fn route(&self) -> Option<&Route> {
        match self {
            Transaction::Lazy { route, .. } | Transaction::Bound { route, .. } => Some(route),
            _ => None,
        }
    }

    /// A lazy transaction was begun on this connection; any other state stays.
    pub fn bind(&mut self, connection_id: ConnectionId) {
        *self = match std::mem::replace(self, Transaction::None) {
            Transaction::Lazy { read, began_at, route } => {
                Transaction::Bound { connection_id, answered: false, read, began_at, route }
            }
            other => other,
        };
    }

    /// The client is sent an instance's answer from it.
    pub fn note_answer(&mut self) {
        if let Transaction::Bound { answered, .. } = self {
            *answered = true;
        }
    }

    /// Takes a bound transaction off its connection, where it is certain to be rolled back. One that the client has no
    /// answer from becomes lazy again, to be begun on another connection; any other has failed. Other states stay.
    pub fn restart(&mut self) {
        *self = match std::mem::replace(self, Transaction::None) {
            Transaction::Bound { answered: false, read, began_at, route, .. } => {
                Transaction::Lazy { read, began_at, route }
            }
            Transaction::Bound { answered: true, .. } => Transaction::Failed { notified: false },
            other => other,
        };
    }
}
