//! LineReader out of bytes that arrive split anywhere.

/// The wire's bound on one message.
pub const MESSAGE_MAX: usize = 1 << 20;

#[derive(Debug, Default)]
pub struct LineReader {
    buffer: Vec<u8>,
    start: usize,
    scanned: usize,
}

#[derive(Debug, PartialEq, Eq)]
pub enum NextLine {
    Line(String),
    /// Nothing whole yet.
    Partial,
    /// The message is over the wire's bound, or is no text.
    TooBig,
    Garbage,
}

impl LineReader {
    pub fn push(&mut self, bytes: &[u8]) {
        if self.start == self.buffer.len() {
            self.buffer.clear();
            (self.start, self.scanned) = (0, 0);
        }
        self.buffer.extend_from_slice(bytes);
    }

    pub fn waiting(&self) -> usize {
        self.buffer.len() - self.start
    }

    /// Whether what waits begins with this word.
    pub fn begins(&self, word: &str) -> bool {
        self.buffer[self.start..].starts_with(word.as_bytes())
    }

    pub fn next_line(&mut self) -> NextLine {
        let from = self.scanned.max(self.start);
        let Some(at) = self.buffer[from..].iter().position(|b| *b == b'\n') else {
            self.scanned = self.buffer.len();
            return if self.waiting() > MESSAGE_MAX { NextLine::TooBig } else { NextLine::Partial };
        };
        let end = from + at;
        let line = &self.buffer[self.start..end];
        if line.len() > MESSAGE_MAX {
            return NextLine::TooBig;
        }
        let next = match line.strip_suffix(b"\r").map(std::str::from_utf8) {
            Some(Ok(text)) => NextLine::Line(text.to_owned()),
            _ => NextLine::Garbage,
        };
        self.start = end + 1;
        self.scanned = self.start;
        if self.start == self.buffer.len() {
            self.buffer.clear();
            (self.start, self.scanned) = (0, 0);
            if self.buffer.capacity() > 16 * 1024 {
                self.buffer = Vec::new();
            }
        }
        next
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lines_survive_any_split() {
        let whole = b"CONNECT a b\r\nQUERY 1 READ x\r\n";
        for cut in 0..whole.len() {
            let mut lines = LineReader::default();
            let mut seen = Vec::new();
            for part in [&whole[..cut], &whole[cut..]] {
                lines.push(part);
                while let NextLine::Line(line) = lines.next_line() {
                    seen.push(line);
                }
            }
            assert_eq!(seen, ["CONNECT a b", "QUERY 1 READ x"]);
        }
    }

    #[test]
    fn over_long_and_foreign_bytes_are_told_apart() {
        let mut lines = LineReader::default();
        lines.push(&vec![b'a'; MESSAGE_MAX + 2]);
        assert_eq!(lines.next_line(), NextLine::TooBig);
        let mut lines = LineReader::default();
        lines.push(b"\xff\xfe\r\n");
        assert_eq!(lines.next_line(), NextLine::Garbage);
        let mut lines = LineReader::default();
        lines.push(b"no carriage return\n");
        assert_eq!(lines.next_line(), NextLine::Garbage);
    }
}
