//! Errors sent to clients, grouped by the one question a client must be able to answer: may the request have been
//! executed?

use thiserror::Error;

/// The code and text of an `ERROR` line.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{code} {message}")]
pub struct ErrorReply {
    /// The code that clients act upon.
    pub code: &'static str,
    /// Text for people.
    pub message: String,
}

/// How an unsuccessful attempt ended, from the client's point of view.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RequestError {
    /// Nothing of the attempt is kept; the client may send it again.
    #[error("{0}")]
    NotExecuted(ErrorReply),
    /// The request was executed or may have been; sending it again could execute it twice.
    #[error("{0}")]
    MayHaveExecuted(ErrorReply),
    /// The request itself is wrong; sending it again changes nothing.
    #[error("{0}")]
    Rejected(ErrorReply),
}

/// The codes by which an instance guarantees that nothing of the attempt is kept.
const NOT_EXECUTED_CODES: [&str; 6] = ["BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGHOST", "FULL"];

impl RequestError {
    /// `BUSY`: no instance executed the request.
    pub fn busy(message: &str) -> Self {
        RequestError::NotExecuted(ErrorReply { code: "BUSY", message: message.to_owned() })
    }

    /// `ABORTED`: the transaction is rolled back.
    pub fn aborted(message: &str) -> Self {
        RequestError::NotExecuted(ErrorReply { code: "ABORTED", message: message.to_owned() })
    }

    /// `UNSURE`: the request was sent and its answer is lost.
    pub fn unsure(message: &str) -> Self {
        RequestError::MayHaveExecuted(ErrorReply { code: "UNSURE", message: message.to_owned() })
    }

    /// `TIMEOUT`: the request was sent and its answer did not come in time.
    pub fn timeout(message: &str) -> Self {
        RequestError::MayHaveExecuted(ErrorReply { code: "TIMEOUT", message: message.to_owned() })
    }

    /// `MALFORMED`: the request breaks the protocol.
    pub fn malformed(message: &str) -> Self {
        RequestError::rejected("MALFORMED", message)
    }

    /// A request that is wrong in itself, under another code.
    pub fn rejected(code: &'static str, message: impl Into<String>) -> Self {
        RequestError::Rejected(ErrorReply { code, message: message.into() })
    }

    /// Whether the request may have been executed.
    pub fn may_have_executed(&self) -> bool {
        matches!(self, RequestError::MayHaveExecuted(..))
    }

    /// The `ERROR` line for the client, with its line end.
    pub fn line(&self) -> String {
        format!("ERROR {self}\r\n")
    }
}

/// Whether an instance's error code guarantees that nothing of the attempt is kept.
pub fn guarantees_not_executed(code: &str) -> bool {
    NOT_EXECUTED_CODES.contains(&code)
}
