//! Elections: pre-votes, candidates, votes, and how a leader stops.

use super::samples::{bound, jitter};
use super::*;

/// Bounds of the candidate's timer.
const CANDIDATE_FLOOR: Duration = Duration::from_millis(20);
/// Up to 2^this times the candidate timer after candidacies that failed.
pub(super) const BACKOFF_MAX: u32 = 4;

impl Raft {
    /// The candidate's timer: at least µ + 2σ of the broadcast times measured here. A vote waits for
    /// the disk twice, at the candidate and at the voter, which heartbeats do not, so two writes are
    /// added, measured alike.
    pub fn candidate_timeout(&self) -> Duration {
        if self.broadcast.is_empty() && self.syncs.is_empty() {
            return self.timing.t;
        }
        let measured = bound(&self.broadcast) + 2 * bound(&self.syncs);
        measured.max(CANDIDATE_FLOOR).min(self.timing.t * 2)
    }

    pub(super) fn arm_candidate(&mut self, now: Instant) {
        let base = self.candidate_timeout() * 2u32.pow(self.backoff);
        self.due = now + jitter(&mut self.rng, base);
    }

    pub(super) fn has_majority(&self, votes: &BTreeSet<VoterId>) -> bool {
        let voters = self.voters();
        voters.iter().filter(|v| votes.contains(&v.id)).count() * 2 > voters.len()
    }

    pub(super) fn ask_pre_votes(&mut self, now: Instant) {
        self.role = Role::PreCandidate;
        self.arm_candidate(now);
        self.pre_votes = BTreeSet::from([self.me.id]);
        let (last_index, last_term) = (self.last_index(), self.last_term());
        for peer in self.others() {
            self.send(peer, Body::PreVote { last_index, last_term });
        }
        if self.has_majority(&self.pre_votes) {
            self.stand(now);
        }
    }

    pub(super) fn stand(&mut self, now: Instant) {
        self.role = Role::Candidate;
        self.term += 1;
        self.vote = Some(self.me.id);
        self.votes = BTreeSet::from([self.me.id]);
        self.write_hard();
        self.arm_candidate(now);
        let (last_index, last_term) = (self.last_index(), self.last_term());
        for peer in self.others() {
            self.send(peer, Body::RequestVote { last_index, last_term });
        }
        if self.has_majority(&self.votes) {
            self.lead(now);
        }
    }

    pub(super) fn lead(&mut self, now: Instant) {
        self.role = Role::Leader;
        self.leader = Some(self.me);
        self.elections.push(now.duration_since(self.election_began));
        let next = self.last_index() + 1;
        self.leading = Leading { first: next, since: Some(now), ..Leading::default() };
        for peer in self.others() {
            self.add_peer(now, peer, next);
        }
        // The electorate goes through the log too, so that a voter which missed some of the founders'
        // greetings learns of it from the others.
        let founding = self.electorate_index == 0 && self.snapshot.index == 0;
        let first = if founding { Command::Voters { voters: self.electorate.clone() } } else { Command::Noop };
        self.append(now, Mark::default(), first);
    }

    pub(super) fn follow(&mut self, now: Instant, term: u64, leader: Option<Voter>) {
        if term > self.term {
            self.term = term;
            self.vote = None;
            self.votes.clear();
            self.write_hard();
        }
        if self.role == Role::Leader {
            for (token, _) in std::mem::take(&mut self.leading.reads) {
                self.out.push(Effect::Unreadable(token));
            }
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.due = now + jitter(&mut self.rng, self.timing.t);
    }

    /// A leader that no majority answers steps down (ours).
    pub(super) fn check_quorum(&mut self, now: Instant) {
        let patience = self.timing.t * 2;
        if self.leading.since.is_some_and(|s| now.duration_since(s) < patience) {
            return;
        }
        let mut heard: BTreeSet<VoterId> = BTreeSet::from([self.me.id]);
        for (id, peer) in &self.leading.peers {
            if peer.heard.is_some_and(|h| now.duration_since(h) < patience) {
                heard.insert(*id);
            }
        }
        if !self.has_majority(&heard) {
            self.follow(now, self.term, None);
        }
    }

    /// A leader whose disk is silent hands the lead on, if the others have what it has (ours).
    pub(super) fn check_disk(&mut self, now: Instant) {
        if self.role != Role::Leader || self.disk_silent(now) <= self.timing.t * 2 {
            return;
        }
        if self.hand_on() {
            self.follow(now, self.term, None);
        }
    }

    /// Names a successor that holds the whole log; false if there is none.
    pub(super) fn hand_on(&mut self) -> bool {
        let last = self.last_index();
        let held = |v: &Voter| self.leading.peers.get(&v.id).is_some_and(|p| p.matched >= last);
        let level: Vec<Voter> = self.others().into_iter().filter(|v| held(v)).collect();
        let enough = level.len() * 2 > self.electorate.len();
        if let Some(heir) = level.first().copied().filter(|_| enough) {
            self.send(heir, Body::Succeed);
            return true;
        }
        false
    }

    /// This daemon ends: a leader hands its lead on first.
    pub fn leave(&mut self, now: Instant) {
        if self.role == Role::Leader && self.hand_on() {
            self.follow(now, self.term, None);
            self.due = now + self.timing.t * 20;
        }
    }

    pub(super) fn up_to_date(&self, last_index: u64, last_term: u64) -> bool {
        (last_term, last_index) >= (self.last_term(), self.last_index())
    }
}
