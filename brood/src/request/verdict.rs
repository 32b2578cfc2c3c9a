//! Errors say one thing above all: may the request have run?

/// How a try that did not succeed ended, seen from the client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing of this try is kept; it may be sent again.
    NotRun(&'static str, String),
    /// It ran, or may have run; sending it again could run it twice.
    MayHaveRun(&'static str, String),
    /// The request itself is wrong; sending it again changes nothing.
    Refused(&'static str, String),
}

/// The codes by which an instance promises that nothing of the try is kept.
const PROMISES: [&str; 6] = ["BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGHOST", "FULL"];

impl Verdict {
    pub fn busy(why: &str) -> Self {
        Verdict::NotRun("BUSY", why.to_owned())
    }

    pub fn aborted(why: &str) -> Self {
        Verdict::NotRun("ABORTED", why.to_owned())
    }

    pub fn unsure(why: &str) -> Self {
        Verdict::MayHaveRun("UNSURE", why.to_owned())
    }

    pub fn timeout(why: &str) -> Self {
        Verdict::MayHaveRun("TIMEOUT", why.to_owned())
    }

    pub fn malformed(why: &str) -> Self {
        Verdict::Refused("MALFORMED", why.to_owned())
    }

    pub fn may_have_run(&self) -> bool {
        matches!(self, Verdict::MayHaveRun(..))
    }

    /// The `ERROR` line that tells the client.
    pub fn line(&self) -> String {
        let (Verdict::NotRun(code, why) | Verdict::MayHaveRun(code, why) | Verdict::Refused(code, why)) = self;
        format!("ERROR {code} {why}\r\n")
    }
}

/// Whether an instance's error code promises that nothing of the try is kept.
pub fn is_promise(code: &str) -> bool {
    PROMISES.contains(&code)
}
