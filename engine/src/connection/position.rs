//! Positions in an instance's replicated log.

/// A position in an instance's log. Ordered by term, then number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Term of the primary that wrote the entry.
    pub term: u64,
    /// Number of the entry.
    pub number: u64,
}

impl Position {
    /// Parses `TERM.NUMBER`; `-` and anything else is no position.
    pub fn parse(text: &str) -> Option<Position> {
        let (term, number) = text.split_once('.')?;
        Some(Position { term: term.parse().ok()?, number: number.parse().ok()? })
    }
}

impl std::fmt::Display for Position {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.term, self.number)
    }
}
