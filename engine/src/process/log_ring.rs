//! The log: a bounded ring in memory, written out when something goes wrong.

use std::collections::VecDeque;

const KEPT: usize = 512;

#[derive(Debug, Default)]
pub struct Ring {
    lines: VecDeque<String>,
    lost: u64,
}

impl Ring {
    pub fn push(&mut self, line: String) {
        if self.lines.len() == KEPT {
            self.lines.pop_front();
            self.lost += 1;
        }
        self.lines.push_back(line);
    }

    /// Everything held, oldest first; the ring is empty afterwards.
    pub fn drain(&mut self) -> Vec<String> {
        let mut lines = Vec::with_capacity(self.lines.len() + 1);
        if self.lost > 0 {
            lines.push(format!("({} older lines overwritten)", self.lost));
            self.lost = 0;
        }
        lines.extend(self.lines.drain(..));
        lines
    }
}
