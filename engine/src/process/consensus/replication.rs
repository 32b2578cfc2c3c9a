//! The leader's side of the log: rounds, batches, confirmation and commit; and the follower's append.

use super::duration_samples::keep;
use super::membership_change::CatchUpRound;
use super::snapshot::SnapshotTransfer;
use super::{Effect, Entry, MessageBody, Raft, Role, Write};
use crate::version::control_state::{Command, ProposalId};
use crate::version::electorate::{Voter, VoterId};
use std::collections::{BTreeMap, VecDeque};
use std::net::Ipv4Addr;
use std::time::Instant;

/// Entries in one message, and its rough size.
const BATCH_ENTRIES: usize = 64;
const BATCH_BYTES: usize = 1 << 20;
/// A leader takes no proposal while so many bytes of its log are not committed.
const OPEN_BYTES: usize = 8 << 20;
/// What is on its way and unanswered for this many T is sent again, whatever else was answered.
const UNANSWERED: u32 = 4;
/// Rounds remembered for confirmation.
const ROUNDS: usize = 64;

/// What a leader knows of another daemon that it sends the log to.
#[derive(Debug)]
pub(super) struct Progress {
    pub ip: Ipv4Addr,
    /// Sent the log since then, and the newest round at that time.
    pub since: Instant,
    pub since_round: u64,
    /// Outside the electorate, it asked to be admitted.
    pub wants: bool,
    /// It said then that it is about to end.
    pub leaving: Option<Instant>,
    pub next: u64,
    pub matched: u64,
    /// Newest round answered, and the nonce of the last answer.
    pub round: u64,
    pub echo: u32,
    pub heard: Option<Instant>,
    /// Entries on their way; no more until they are answered or seem lost.
    pub inflight: Option<InflightAppend>,
    /// A snapshot on its way.
    pub snapshot_transfer: Option<SnapshotTransfer>,
    /// How a newcomer catches up.
    pub catch_up: CatchUpRound,
}

/// Entries on their way to a peer: the round of their message, the last of them, and since when.
#[derive(Debug, Clone, Copy)]
pub(super) struct InflightAppend {
    round: u64,
    last: u64,
    since: Instant,
}

#[derive(Debug, Default)]
pub(super) struct LeaderState {
    pub peers: BTreeMap<VoterId, Progress>,
    rounds: VecDeque<(u64, Instant)>,
    pub round: u64,
    pub beat_due: Option<Instant>,
    pub confirmed: Option<Instant>,
    confirmed_round: u64,
    reads: Vec<(u64, u64)>,
    /// Index of this term's first entry.
    pub first: u64,
    pub since: Option<Instant>,
}

impl LeaderState {
    /// A lead that begins now, with its first entry at this index.
    pub fn new(now: Instant, first: u64) -> Self {
        LeaderState { first, since: Some(now), ..LeaderState::default() }
    }
}

impl Raft {
    pub(super) fn add_peer(&mut self, now: Instant, peer: Voter, next: u64) {
        let fresh = Progress {
            ip: peer.ip,
            since: now,
            since_round: self.leading.round,
            wants: false,
            leaving: None,
            next,
            matched: 0,
            round: 0,
            echo: 0,
            heard: None,
            inflight: None,
            snapshot_transfer: None,
            catch_up: CatchUpRound::new(now, next - 1),
        };
        self.leading.peers.insert(peer.id, fresh);
    }

    /// Takes a proposal and gives its index; only a leader does, and not while it hands its lead on or
    /// has too much that is not committed. One that is in the log undecided is not taken twice.
    pub fn propose(&mut self, now: Instant, mark: ProposalId, command: Command) -> Option<u64> {
        self.clock = now;
        if self.role != Role::Leader {
            return None;
        }
        let open = || self.log.from(self.commit + 1);
        if mark.serial != 0
            && let Some(at) = open().position(|e| e.proposal_id == mark)
        {
            return Some(self.commit + 1 + at as u64);
        }
        if self.hands_on(now) || open().map(Entry::size).sum::<usize>() > OPEN_BYTES {
            return None;
        }
        Some(self.append(now, mark, command))
    }

    pub(super) fn append(&mut self, now: Instant, mark: ProposalId, command: Command) -> u64 {
        let entry = Entry { term: self.term, proposal_id: mark, command };
        let elects = matches!(entry.command, Command::ChangeElectorate { .. });
        let index = self.log.push(entry.clone());
        if elects {
            for voter in self.others() {
                if !self.leading.peers.contains_key(&voter.id) {
                    self.add_peer(now, voter, index);
                }
            }
        }
        self.write(Write { entries: vec![(index, entry)], ..Write::default() });
        self.begin_round(now);
        index
    }

    /// Asks for proof that this is still the leader; answered by `Readable` or `Unreadable`.
    pub fn read(&mut self, now: Instant, token: u64) {
        if self.role != Role::Leader {
            self.out.push(Effect::Unreadable(token));
            return;
        }
        self.begin_round(now);
        self.leading.reads.push((self.leading.round, token));
        self.settle_reads();
    }

    pub(super) fn begin_round(&mut self, now: Instant) {
        self.leading.round += 1;
        self.leading.rounds.push_back((self.leading.round, now));
        if self.leading.rounds.len() > ROUNDS {
            self.leading.rounds.pop_front();
        }
        self.leading.beat_due = Some(now + self.parameters.election_timeout / 2);
        let ids: Vec<VoterId> = self.leading.peers.keys().copied().collect();
        for id in ids {
            self.replicate(now, id, true);
        }
        self.confirm_round(now);
        self.advance();
    }

    /// Sends a peer what it lacks, as far as nothing is on its way already; `beat`: something in any case.
    pub(super) fn replicate(&mut self, now: Instant, id: VoterId, beat: bool) {
        let (round, commit, confirmed) = (self.leading.round, self.commit, self.leading.confirmed_round);
        let (base_index, base_term) = self.log.base();
        let Some(peer) = self.leading.peers.get_mut(&id) else { return };
        let to = Voter { id, ip: peer.ip };
        let patience = self.parameters.election_timeout * UNANSWERED;
        if peer.inflight.is_some_and(|f| now.duration_since(f.since) > patience) {
            peer.inflight = None;
        }
        if peer.next <= base_index {
            if beat {
                let (prev_index, prev_term, entries, echo) = (base_index, base_term, Vec::new(), peer.echo);
                self.send(
                    to,
                    MessageBody::AppendEntries { round, prev_index, prev_term, entries, commit, echo, confirmed },
                );
            }
            self.send_snapshot(now, to);
            return;
        }
        let prev_index = peer.next - 1;
        let mut entries = Vec::new();
        if peer.inflight.is_none() {
            let mut bytes = 0;
            for entry in self.log.from(peer.next).take(BATCH_ENTRIES) {
                bytes += entry.size();
                entries.push(entry.clone());
                if bytes > BATCH_BYTES {
                    break;
                }
            }
        }
        if entries.is_empty() && !beat {
            return;
        }
        if !entries.is_empty() {
            peer.inflight = Some(InflightAppend { round, last: prev_index + entries.len() as u64, since: now });
        }
        let (prev_term, echo) = (self.log.term_at(prev_index).unwrap_or(0), peer.echo);
        self.send(to, MessageBody::AppendEntries { round, prev_index, prev_term, entries, commit, echo, confirmed });
    }

    /// Whether a majority has answered a round begun within the confirmation span, and an entry of
    /// this term is committed: only then does this daemon act as the leader towards others.
    pub fn is_confirmed_leader(&self, now: Instant) -> bool {
        self.role == Role::Leader
            && self.commit >= self.leading.first
            && self.leading.confirmed.is_some_and(|t| now < t + self.parameters.confirmation_window)
    }

    fn confirm_round(&mut self, now: Instant) {
        let answered = |id| match id == self.me.id {
            true => self.leading.round,
            false => self.leading.peers.get(&id).map_or(0, |p| p.round),
        };
        let round = self.log.electorate().reached(0, answered);
        if round <= self.leading.confirmed_round {
            return;
        }
        self.leading.confirmed_round = round;
        if let Some((_, began)) = self.leading.rounds.iter().find(|(r, _)| *r == round) {
            let began = *began;
            self.leading.confirmed = Some(began);
            keep(&mut self.broadcast, now.duration_since(began));
        }
        self.leading.rounds.retain(|(r, _)| *r > round);
        self.settle_reads();
    }

    fn settle_reads(&mut self) {
        if self.commit < self.leading.first {
            return;
        }
        let confirmed = self.leading.confirmed_round;
        let mut reads = std::mem::take(&mut self.leading.reads);
        reads.retain(|(round, token)| {
            let ready = *round <= confirmed;
            if ready {
                self.out.push(Effect::Readable(*token));
            }
            !ready
        });
        self.leading.reads = reads;
    }

    pub(super) fn drop_reads(&mut self) {
        for (_, token) in std::mem::take(&mut self.leading.reads) {
            self.out.push(Effect::Unreadable(token));
        }
    }

    /// Commits what a majority, and more than the tolerance, hold durably, and only by way of an entry
    /// of this term.
    pub(super) fn advance(&mut self) {
        let held = |id| match id == self.me.id {
            true => self.durable,
            false => self.leading.peers.get(&id).map_or(0, |p| p.matched),
        };
        let index = self.log.electorate().reached(self.parameters.tolerance, held);
        if index > self.commit && self.log.term_at(index) == Some(self.term) {
            self.commit_to(index);
            self.settle_reads();
        }
    }

    pub(super) fn commit_to(&mut self, index: u64) {
        self.commit = self.commit.max(index.min(self.log.last_index()));
        while self.applied < self.commit {
            self.applied += 1;
            let Some(entry) = self.log.entry(self.applied).cloned() else { break };
            self.fresh_bytes += entry.size();
            self.out.push(Effect::Apply(self.applied, entry));
        }
        if self.incoming.as_ref().is_some_and(|i| i.of.index <= self.commit) {
            self.incoming = None;
        }
    }

    /// The log check and the append; says whether it fitted and up to where the log agrees, or else
    /// from where to try again.
    pub(super) fn take(&mut self, prev_index: u64, prev_term: u64, entries: Vec<Entry>) -> (bool, u64) {
        let (base_index, base_term) = self.log.base();
        if prev_index < base_index {
            // What lies before the base is committed here.
            let covered = (base_index - prev_index) as usize;
            if entries.len() <= covered {
                return (true, prev_index + entries.len() as u64);
            }
            return self.take(base_index, base_term, entries[covered..].to_vec());
        }
        match self.log.term_at(prev_index) {
            Some(t) if t == prev_term => {}
            Some(_) => return (false, self.log.before_term_of(prev_index, self.commit)),
            None => return (false, self.log.last_index()),
        }
        let mut write = Write::default();
        let agreed = prev_index + entries.len() as u64;
        for (at, entry) in entries.into_iter().enumerate() {
            let index = prev_index + 1 + at as u64;
            match self.log.term_at(index) {
                Some(t) if t == entry.term => continue,
                Some(_) => {
                    assert!(index > self.commit, "a committed entry would be dropped");
                    self.log.truncate(index);
                    self.not_durable_from(index);
                    write.truncate = Some(index);
                }
                None => {}
            }
            self.log.push(entry.clone());
            write.entries.push((index, entry));
        }
        if write != Write::default() {
            self.write(write);
        }
        (true, agreed)
    }

    pub(super) fn appended(&mut self, now: Instant, from: Voter, round: u64, success: bool, index: u64) {
        let (last, (base, _)) = (self.log.last_index(), self.log.base());
        let Some(peer) = self.leading.peers.get_mut(&from.id) else { return };
        peer.heard = Some(now);
        peer.round = peer.round.max(round);
        peer.ip = from.ip;
        if success {
            peer.matched = peer.matched.max(index);
            peer.next = peer.next.max(peer.matched + 1);
            // Answers come in the order of questions, so a later round's says that the batch was lost.
            if peer.inflight.is_some_and(|f| f.last <= peer.matched || f.round < round) {
                peer.inflight = None;
            }
            if peer.snapshot_transfer.as_ref().is_some_and(|s| s.of.index <= peer.matched) {
                peer.snapshot_transfer = None;
            }
            peer.catch_up.reached(now, peer.matched, last);
        } else if peer.snapshot_transfer.is_none() || peer.next > base {
            peer.snapshot_transfer = None;
            peer.next = (index + 1).min(peer.next.saturating_sub(1)).max(peer.matched + 1);
            peer.inflight = None;
        }
        let more = peer.next <= last;
        self.confirm_round(now);
        self.advance();
        if self.role == Role::Leader {
            if more {
                self.replicate(now, from.id, false);
            }
            self.hand_on(now);
            self.settle_membership(now);
        }
    }
}
