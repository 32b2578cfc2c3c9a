//! Errors say one thing above all: may the request have run?

/// How a try that did not succeed ended, seen from the client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestError {
    /// Nothing of this try is kept; it may be sent again.
    NotRun(&'static str, String),
    /// It ran, or may have run; snapshot_transfer it again could run it twice.
    MayHaveRun(&'static str, String),
    /// The request itself is wrong; snapshot_transfer it again changes nothing.
    Rejected(&'static str, String),
}

/// The codes by which an instance promises that nothing of the try is kept.
const PROMISES: [&str; 6] = ["BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGHOST", "FULL"];

impl RequestError {
    pub fn busy(why: &str) -> Self {
        RequestError::NotRun("BUSY", why.to_owned())
    }

    pub fn aborted(why: &str) -> Self {
        RequestError::NotRun("ABORTED", why.to_owned())
    }

    pub fn unsure(why: &str) -> Self {
        RequestError::MayHaveRun("UNSURE", why.to_owned())
    }

    pub fn timeout(why: &str) -> Self {
        RequestError::MayHaveRun("TIMEOUT", why.to_owned())
    }

    pub fn malformed(why: &str) -> Self {
        RequestError::Rejected("MALFORMED", why.to_owned())
    }

    pub fn may_have_run(&self) -> bool {
        matches!(self, RequestError::MayHaveRun(..))
    }

    /// The `ERROR` line that tells the client.
    pub fn line(&self) -> String {
        let (RequestError::NotRun(code, why) | RequestError::MayHaveRun(code, why) | RequestError::Rejected(code, why)) =
            self;
        format!("ERROR {code} {why}\r\n")
    }
}

/// Whether an instance's error code promises that nothing of the try is kept.
pub fn is_promise(code: &str) -> bool {
    PROMISES.contains(&code)
}
