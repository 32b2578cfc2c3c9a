//! The leader's side of the log: rounds, batches, confirmation, commit; and the follower's append.

use super::samples::keep;
use super::*;

/// Entries in one message, and its rough size.
const BATCH_ENTRIES: usize = 64;
const BATCH_BYTES: usize = 512 * 1024;
/// Rounds remembered for confirmation.
const ROUNDS: usize = 64;

#[derive(Debug)]
pub(super) struct Peer {
    pub(super) ip: Ipv4Addr,
    /// Sent the log since then.
    pub(super) since: Instant,
    /// Outside the electorate, it asked to be admitted.
    pub(super) wants: bool,
    pub(super) next: u64,
    pub(super) matched: u64,
    /// Newest round answered.
    pub(super) round: u64,
    pub(super) heard: Option<Instant>,
    /// Entries are on their way since then; none more until they are answered or this is old.
    pub(super) flying: Option<Instant>,
}

#[derive(Debug, Default)]
pub(super) struct Leading {
    pub(super) peers: BTreeMap<VoterId, Peer>,
    pub(super) rounds: VecDeque<(u64, Instant)>,
    pub(super) round: u64,
    pub(super) beat_due: Option<Instant>,
    pub(super) confirmed: Option<Instant>,
    pub(super) confirmed_round: u64,
    pub(super) reads: Vec<(u64, u64)>,
    /// Index of this term's first entry.
    pub(super) first: u64,
    pub(super) since: Option<Instant>,
}

impl Raft {
    pub(super) fn add_peer(&mut self, now: Instant, peer: Voter, next: u64) {
        let fresh =
            Peer { ip: peer.ip, since: now, wants: false, next, matched: 0, round: 0, heard: None, flying: None };
        self.leading.peers.insert(peer.id, fresh);
    }

    /// Takes a proposal; only a leader does.
    pub fn propose(&mut self, now: Instant, mark: Mark, command: Command) -> Option<u64> {
        self.clock = now;
        if self.role != Role::Leader {
            return None;
        }
        Some(self.append(now, mark, command))
    }

    pub(super) fn append(&mut self, now: Instant, mark: Mark, command: Command) -> u64 {
        let entry = Entry { term: self.term, mark, command };
        self.log.push_back(entry.clone());
        let index = self.last_index();
        if let Command::Voters { voters } = &entry.command {
            (self.electorate_index, self.electorate) = (index, voters.clone());
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
        self.leading.beat_due = Some(now + self.timing.t / 2);
        let ids: Vec<VoterId> = self.leading.peers.keys().copied().collect();
        for id in ids {
            self.replicate(now, id, true);
        }
        self.confirm_round(now);
        self.advance(now);
    }

    pub(super) fn replicate(&mut self, now: Instant, id: VoterId, beat: bool) {
        let round = self.leading.round;
        let t = self.timing.t;
        let Some(peer) = self.leading.peers.get_mut(&id) else { return };
        let to = Voter { id, ip: peer.ip };
        let clear = peer.flying.is_none_or(|since| now.duration_since(since) > t);
        let (next, next_prev) = (peer.next, peer.next - 1);
        if next_prev < self.snapshot.index {
            if clear {
                peer.flying = Some(now);
                let snapshot = self.snapshot.clone();
                self.send(to, Body::InstallSnapshot { round, snapshot });
            } else if beat {
                let body = Body::AppendEntries {
                    round,
                    prev_index: self.snapshot.index,
                    prev_term: self.snapshot.term,
                    entries: Vec::new(),
                    commit: self.commit,
                };
                self.send(to, body);
            }
            return;
        }
        let mut entries = Vec::new();
        if clear {
            let from = (next - self.snapshot.index - 1) as usize;
            let mut bytes = 0;
            for entry in self.log.iter().skip(from).take(BATCH_ENTRIES) {
                bytes += if let Command::Configure { raw, .. } = &entry.command { raw.len() } else { 128 };
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
            peer.flying = Some(now);
        }
        let prev_term = self.term_at(next_prev).unwrap_or(0);
        let body = Body::AppendEntries { round, prev_index: next_prev, prev_term, entries, commit: self.commit };
        self.send(to, body);
    }

    pub(super) fn confirm_round(&mut self, now: Instant) {
        let voters = &self.electorate;
        let mut rounds: Vec<u64> = voters
            .iter()
            .map(|v| {
                if v.id == self.me.id {
                    self.leading.round
                } else {
                    self.leading.peers.get(&v.id).map_or(0, |p| p.round)
                }
            })
            .collect();
        rounds.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&round) = rounds.get(voters.len() / 2) else { return };
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

    pub(super) fn settle_reads(&mut self) {
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

    /// Commits what a majority holds durably, and only by way of an entry of this term.
    pub(super) fn advance(&mut self, _now: Instant) {
        let voters = &self.electorate;
        let mut held: Vec<u64> =
            voters
                .iter()
                .map(|v| {
                    if v.id == self.me.id {
                        self.durable
                    } else {
                        self.leading.peers.get(&v.id).map_or(0, |p| p.matched)
                    }
                })
                .collect();
        held.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&index) = held.get(self.quorum() - 1) else { return };
        if index > self.commit && self.term_at(index) == Some(self.term) {
            self.commit_to(index);
            self.current = true;
            self.settle_reads();
        }
    }

    pub(super) fn commit_to(&mut self, index: u64) {
        self.commit = self.commit.max(index.min(self.last_index()));
        while self.applied < self.commit {
            self.applied += 1;
            let entry = self.log[(self.applied - self.snapshot.index - 1) as usize].clone();
            self.out.push(Effect::Apply(self.applied, entry));
        }
    }

    /// The log check and the append; says whether it fitted and up to where the log agrees, or else
    /// from where to try again.
    pub(super) fn take(&mut self, prev_index: u64, prev_term: u64, entries: Vec<Entry>) -> (bool, u64) {
        if prev_index < self.snapshot.index {
            // What the snapshot covers is committed here.
            let covered = (self.snapshot.index - prev_index) as usize;
            if entries.len() <= covered {
                return (true, prev_index + entries.len() as u64);
            }
            return self.take(self.snapshot.index, self.snapshot.term, entries[covered..].to_vec());
        }
        match self.term_at(prev_index) {
            Some(t) if t == prev_term => {}
            Some(_) => return (false, self.commit.max(prev_index.saturating_sub(1))),
            None => return (false, self.last_index()),
        }
        let mut write = Write::default();
        let agreed = prev_index + entries.len() as u64;
        for (at, entry) in entries.into_iter().enumerate() {
            let index = prev_index + 1 + at as u64;
            match self.term_at(index) {
                Some(t) if t == entry.term => continue,
                Some(_) => {
                    assert!(index > self.commit, "a committed entry would be dropped");
                    self.log.truncate((index - self.snapshot.index - 1) as usize);
                    self.durable = self.durable.min(index - 1);
                    for (_, last) in &mut self.writing {
                        *last = (*last).min(index - 1);
                    }
                    write.truncate = Some(index);
                }
                None => {}
            }
            self.log.push_back(entry.clone());
            write.entries.push((index, entry));
        }
        if write != Write::default() {
            let touched = |(_, e): &(u64, Entry)| matches!(e.command, Command::Voters { .. });
            if write.truncate.is_some() || write.entries.iter().any(touched) {
                self.find_electorate();
            }
            self.write(write);
        }
        (true, agreed)
    }

    pub(super) fn appended(&mut self, now: Instant, from: Voter, term: u64, round: u64, success: bool, index: u64) {
        if self.role != Role::Leader || term != self.term {
            return;
        }
        let last = self.last_index();
        let Some(peer) = self.leading.peers.get_mut(&from.id) else { return };
        peer.heard = Some(now);
        peer.round = peer.round.max(round);
        peer.ip = from.ip;
        peer.flying = None;
        if success {
            peer.matched = peer.matched.max(index);
            peer.next = peer.next.max(peer.matched + 1);
        } else {
            peer.next = (index + 1).min(peer.next.saturating_sub(1)).max(peer.matched + 1);
        }
        let more = peer.next <= last;
        self.confirm_round(now);
        self.advance(now);
        if self.role == Role::Leader {
            if more {
                self.replicate(now, from.id, false);
            }
            self.settle_membership(now);
        }
    }
}
