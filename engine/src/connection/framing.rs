//! Lines out of bytes that arrive in arbitrary pieces.

/// Greatest length of one line on the wire, in bytes.
pub const MESSAGE_MAX: usize = 1 << 20;

/// An emptied buffer larger than this is given back, in bytes: sessions are many and mostly idle.
const RETAINED_CAPACITY_MAX: usize = 16 * 1024;

/// Assembles lines.
#[derive(Debug, Default)]
pub struct LineReader {
    buffer: Vec<u8>,
    /// Where the first unread line begins.
    start: usize,
    /// Up to here no line end was found.
    scanned: usize,
}

/// The outcome of reading a line.
#[derive(Debug, PartialEq, Eq)]
pub enum NextLine {
    /// A line, without its end.
    Line(String),
    /// No complete line has arrived yet.
    Partial,
    /// The line is longer than [`MESSAGE_MAX`].
    TooLong,
    /// The line is not UTF-8 or does not end with CRLF.
    Malformed,
}

impl LineReader {
    /// Takes received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.buffered() == 0 {
            self.clear();
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// Bytes received and not read yet.
    pub fn buffered(&self) -> usize {
        self.buffer.len() - self.start
    }

    fn clear(&mut self) {
        self.buffer.clear();
        self.start = 0;
        self.scanned = 0;
    }

    /// Whether the unread bytes begin with this word.
    pub fn starts_with(&self, word: &str) -> bool {
        self.buffer[self.start..].starts_with(word.as_bytes())
    }

    /// Reads the next line.
    pub fn next_line(&mut self) -> NextLine {
        let from = self.scanned.max(self.start);
        let Some(offset) = self.buffer[from..].iter().position(|byte| *byte == b'\n') else {
            self.scanned = self.buffer.len();
            return if self.buffered() > MESSAGE_MAX { NextLine::TooLong } else { NextLine::Partial };
        };
        let end = from + offset;
        let line = &self.buffer[self.start..end];
        if line.len() > MESSAGE_MAX {
            return NextLine::TooLong;
        }
        let next = match line.strip_suffix(b"\r").map(std::str::from_utf8) {
            Some(Ok(text)) => NextLine::Line(text.to_owned()),
            _ => NextLine::Malformed,
        };
        self.start = end + 1;
        self.scanned = self.start;
        if self.buffered() == 0 {
            self.clear();
            if self.buffer.capacity() > RETAINED_CAPACITY_MAX {
                self.buffer = Vec::new();
            }
        }
        next
    }
}

#[cfg(test)]
mod tests;
