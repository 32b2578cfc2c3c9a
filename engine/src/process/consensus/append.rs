//! AppendEntries at a follower (Raft §5.3).
//!
//! Log matching: if two logs hold an entry of the same index and term, they are equal up to it. It holds
//! because a leader creates one entry at an index in its term, and a follower appends only after an entry
//! whose index and term it has checked.

use super::log::LogPosition;
use super::quorum_contact::{LeaderTerm, RoundReport};
use super::{Entry, IndexedEntry, MessageBody, Raft, Write};
use crate::version::electorate::Voter;
use std::time::Instant;

/// The fields of [`MessageBody::AppendEntries`].
#[derive(Debug)]
pub(super) struct AppendRequest {
    /// The entry before `entries`.
    pub prev: LogPosition,
    pub entries: Vec<Entry>,
    pub leader_commit: u64,
    pub report: RoundReport,
}

/// What became of an append.
#[derive(Debug, Clone, Copy)]
enum AppendOutcome {
    /// The logs match up to this index.
    Accepted { match_index: u64 },
    /// The logs do not match at the entry before; the leader should send the entries after this index.
    Rejected { retry_after: u64 },
}

impl Raft {
    /// Handles AppendEntries of the current leader.
    pub(super) fn on_append_entries(&mut self, now: Instant, leader: Voter, request: AppendRequest) {
        self.on_leader_contact(now, leader);
        let leader_term = LeaderTerm { leader: leader.id, term: self.term };
        let contact = self.quorum_contact.on_leader_message(leader_term, request.report);
        let outcome = self.append_after(request.prev, request.entries);
        if let AppendOutcome::Accepted { match_index } = outcome {
            // Beyond the match index the log here may differ from the leader's.
            self.commit_up_to(request.leader_commit.min(match_index));
            // The applied state is as new as the leader's was only if an entry of its term is committed.
            let has_committed_in_term = self.log.term_at(self.commit_index) == Some(self.term);
            if self.commit_index >= request.leader_commit && has_committed_in_term {
                self.follower_contact_at = self.follower_contact_at.max(contact);
            }
        }
        let (success, index) = match outcome {
            AppendOutcome::Accepted { match_index } => (true, match_index),
            AppendOutcome::Rejected { retry_after } => (false, retry_after),
        };
        self.send_append_response(leader, request.report.round, success, index);
    }

    /// Answers the leader; the nonce lets it prove later when it was in contact (`quorum_contact.rs`).
    pub(super) fn send_append_response(&mut self, leader: Voter, round: u64, success: bool, index: u64) {
        let nonce = self.rng.u32(1..);
        self.quorum_contact.record_response(self.clock, nonce);
        self.send(leader, MessageBody::AppendResponse { round, success, index, nonce });
    }

    /// Checks that the log matches the leader's at `prev`, and appends the entries after it.
    fn append_after(&mut self, prev: LogPosition, mut entries: Vec<Entry>) -> AppendOutcome {
        let base = self.log.base();
        if prev.index < base.index {
            // Up to the base the log is committed and therefore matches.
            let covered = (base.index - prev.index) as usize;
            if entries.len() <= covered {
                return AppendOutcome::Accepted { match_index: prev.index + entries.len() as u64 };
            }
            return self.append_after(base, entries.split_off(covered));
        }
        match self.log.term_at(prev.index) {
            Some(term) if term == prev.term => {}
            // The leader need not step back entry by entry: none of the conflicting term matches (Raft §5.3).
            Some(_) => {
                let retry_after = self.log.index_before_term_of(prev.index, self.commit_index);
                return AppendOutcome::Rejected { retry_after };
            }
            None => return AppendOutcome::Rejected { retry_after: self.log.last_index() },
        }
        let match_index = prev.index + entries.len() as u64;
        let write = self.merge_entries(prev.index, entries);
        if write != Write::default() {
            self.write(write);
        }
        AppendOutcome::Accepted { match_index }
    }

    /// Puts the entries after `prev_index` into the log. Only from the first conflicting one on is the log
    /// replaced: a delayed message must not drop entries that were acknowledged since.
    fn merge_entries(&mut self, prev_index: u64, entries: Vec<Entry>) -> Write {
        let mut write = Write::default();
        for (index, entry) in (prev_index + 1..).zip(entries) {
            match self.log.term_at(index) {
                Some(term) if term == entry.term => continue,
                Some(_) => {
                    // Leader completeness: a leader's log holds every committed entry.
                    assert!(index > self.commit_index, "a committed entry would be dropped");
                    self.log.truncate(index);
                    self.durability.truncate(index);
                    write.truncate = Some(index);
                }
                None => {}
            }
            self.log.push(entry.clone());
            write.entries.push(IndexedEntry { index, entry });
        }
        write
    }
}
