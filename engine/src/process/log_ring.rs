//! The in-memory log: a bounded ring of the latest lines, written out when something goes wrong.

use std::collections::VecDeque;

#[cfg(test)]
mod tests;

/// Lines kept.
const CAPACITY: usize = 512;

/// The latest log lines. When the ring is full, a new line overwrites the oldest.
#[derive(Debug, Default)]
pub struct LogRing {
    lines: VecDeque<String>,
    overwritten: u64,
}

impl LogRing {
    /// Adds a line.
    pub fn push(&mut self, line: String) {
        if self.lines.len() == CAPACITY {
            self.lines.pop_front();
            self.overwritten += 1;
        }
        self.lines.push_back(line);
    }

    /// Takes all lines, the oldest first, after a line that counts those overwritten since the last call.
    pub fn drain(&mut self) -> Vec<String> {
        let mut lines = Vec::with_capacity(self.lines.len() + 1);
        if self.overwritten > 0 {
            lines.push(format!("({} older lines overwritten)", self.overwritten));
            self.overwritten = 0;
        }
        lines.extend(self.lines.drain(..));
        lines
    }
}
