//! The lines that two poolers add to a session which one forwards to the other. Clients never see them.

/// The first word of the line by which each side tells the other the newest revision of the configuration
/// that it has applied or seen in use.
pub const REVISION_KEYWORD: &str = "REV";

/// The line by which a carrier asks the pooler that accepted the session to close it.
pub const CLOSE_REQUEST_LINE: &str = "PART\r\n";

/// The longest control line, with its end, in bytes.
pub(super) const CONTROL_LINE_MAX: usize = 32;

/// A control line, parsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ControlLine {
    /// The carrier has this revision in use.
    Revision(u64),
    /// The carrier asks for the session to be closed.
    CloseRequest,
}

impl ControlLine {
    /// Parses a line, with its end; `None` if it is no control line but the client's.
    pub(super) fn parse(line: &[u8]) -> Option<ControlLine> {
        if line == CLOSE_REQUEST_LINE.as_bytes() {
            return Some(ControlLine::CloseRequest);
        }
        let text = String::from_utf8_lossy(line);
        let revision = text.strip_prefix(REVISION_KEYWORD)?.trim().parse().ok()?;
        Some(ControlLine::Revision(revision))
    }
}

/// The control line that announces a revision.
pub fn revision_line(revision: u64) -> String {
    format!("{REVISION_KEYWORD} {revision}\r\n")
}
