//! The log that the instances of a database group share.

use super::DatabaseInstance;
use lichenfield_engine::connection::client_session::Position;
use std::collections::VecDeque;
use std::time::Duration;

/// A commit in the group's log.
#[derive(Debug, Clone, Copy)]
pub struct LogEntry {
    /// When it was committed, since the group's beginning.
    pub committed_at: Duration,
    /// Its position.
    pub position: Position,
}

/// A service's shared log: what was committed when, by term.
#[derive(Debug)]
pub struct GroupLog {
    /// The current primary's term.
    pub term: u64,
    /// Commits in order.
    pub entries: VecDeque<LogEntry>,
}

impl GroupLog {
    /// An empty log in the first term.
    pub fn new() -> Self {
        GroupLog { term: 1, entries: VecDeque::new() }
    }

    /// Appends a commit.
    pub fn append(&mut self, committed_at: Duration, position: Position) {
        self.entries.push_back(LogEntry { committed_at, position });
    }
}

impl Default for GroupLog {
    fn default() -> Self {
        GroupLog::new()
    }
}

/// Makes an instance the primary of the next term. Its log is kept, and what others had received beyond it is
/// truncated. Returns the last position kept; none if the instance is down or is a primary already.
pub fn promote(
    instances: &mut [DatabaseInstance],
    index: usize,
    now: Duration,
    log: &mut GroupLog,
) -> Option<Position> {
    if !instances[index].up || instances[index].is_primary {
        return None;
    }
    instances[index].replicate(now, log);
    let kept = instances[index].received;
    log.term += 1;
    log.entries.retain(|entry| entry.position <= kept);
    let first = Position { term: log.term, number: kept.number };
    log.append(now, first);
    for replica in instances.iter_mut().filter(|instance| !instance.is_primary) {
        replica.received = replica.received.min(kept);
    }
    let promoted = &mut instances[index];
    promoted.is_primary = true;
    promoted.term = log.term;
    promoted.received = first;
    Some(kept)
}
