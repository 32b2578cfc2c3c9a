//! Who votes: the electorate in the log, learners, and one change at a time.

use super::*;

/// A voter silent for this long is replaced where somebody stands ready to take its place.
const RETIRE_AFTER: Duration = Duration::from_millis(1500);
/// A newcomer counts as ready while it was heard within this and lacks no more entries than that.
const READY_WITHIN: Duration = Duration::from_millis(500);
const READY_GAP: u64 = 2;
/// Outsiders silent for this long are no longer sent the log; they ask again.
const OUTSIDER_GONE: Duration = Duration::from_secs(10);
/// The electorate does not outgrow this.
const VOTERS_MAX: usize = 9;

impl Raft {
    /// The electorate: the newest in the log, committed or not.
    pub fn voters(&self) -> &[Voter] {
        &self.electorate
    }

    pub fn is_voter(&self) -> bool {
        self.votes_here(self.me.id)
    }

    pub(super) fn votes_here(&self, id: VoterId) -> bool {
        self.electorate.iter().any(|v| v.id == id)
    }

    /// To be called whenever the log's end or the snapshot changed.
    pub(super) fn find_electorate(&mut self) {
        let found = self.log.iter().enumerate().rev().find_map(|(at, e)| match &e.command {
            Command::Voters { voters } => Some((self.snapshot.index + 1 + at as u64, voters.clone())),
            _ => None,
        });
        (self.electorate_index, self.electorate) = found.unwrap_or((0, self.snapshot.voters.clone()));
    }

    /// How many voters must hold an entry durably before it counts as committed: a majority, and more
    /// than may be lost at once.
    pub(super) fn quorum(&self) -> usize {
        (self.electorate.len() / 2).max(self.timing.tolerance) + 1
    }

    pub(super) fn others(&self) -> Vec<Voter> {
        self.electorate.iter().copied().filter(|v| v.id != self.me.id).collect()
    }

    /// A daemon outside the electorate is sent the log, and may be admitted later.
    pub(super) fn admit(&mut self, now: Instant, from: Voter, wants: bool) {
        if self.role != Role::Leader || from.id == self.me.id {
            return;
        }
        if !self.leading.peers.contains_key(&from.id) {
            let next = self.last_index() + 1;
            self.add_peer(now, from, next);
            self.replicate(now, from.id, true);
        }
        if let Some(peer) = self.leading.peers.get_mut(&from.id) {
            peer.wants |= wants;
            peer.ip = from.ip;
        }
        self.settle_membership(now);
    }

    /// One step towards the electorate that should be: all that stand ready, in odd numbers, and
    /// nobody who is gone for good. One change at a time, each committed before the next, so that
    /// majorities of consecutive electorates overlap; `docs/raft.md` tells why this is safe.
    pub(super) fn settle_membership(&mut self, now: Instant) {
        if self.role != Role::Leader || self.commit < self.leading.first || self.commit < self.electorate_index {
            return;
        }
        let voters = self.electorate.clone();
        let votes = |id: &VoterId| voters.iter().any(|v| v.id == *id);
        let silent = |p: &Peer| now.duration_since(p.heard.unwrap_or(p.since));
        self.leading.peers.retain(|id, p| votes(id) || silent(p) < OUTSIDER_GONE);
        let (peers, commit) = (&self.leading.peers, self.commit);
        let outside = || peers.iter().filter(|(id, p)| p.wants && !votes(id));
        let ready: Vec<Voter> = outside()
            .filter(|(_, p)| {
                p.heard.is_some_and(|h| now.duration_since(h) < READY_WITHIN) && p.matched + READY_GAP >= commit
            })
            .map(|(id, p)| Voter { id: *id, ip: p.ip })
            .collect();
        // Two identities at one address: the disk there is new, and the voter that was on it is no more.
        let voter_silence = |v: &Voter| peers.get(&v.id).map_or(Duration::ZERO, &silent);
        let wiped = voters.iter().find(|v| {
            voter_silence(v) > self.timing.t * 2 && outside().any(|(_, p)| p.ip == v.ip && p.heard.is_some())
        });
        let longest = voters
            .iter()
            .filter(|v| v.id != self.me.id)
            .max_by_key(|v| voter_silence(v))
            .filter(|v| voter_silence(v) > RETIRE_AFTER);
        let even = voters.len().is_multiple_of(2);
        let full = voters.len() >= VOTERS_MAX;
        let spare = voters.len() > 2 * self.timing.tolerance + 1;
        let newcomer = ready.iter().find(|r| voters.iter().all(|v| v.ip != r.ip));
        let retired = match (wiped, longest) {
            (Some(old), _) => Some(old),
            (None, Some(old)) if !even && (ready.len() == 1 || (full && !ready.is_empty())) => Some(old),
            (None, Some(old)) if even && ready.is_empty() && spare => Some(old),
            _ => None,
        };
        let next: Vec<Voter> = if let Some(old) = retired {
            voters.iter().copied().filter(|v| v.id != old.id).collect()
        } else if let Some(new) = newcomer.filter(|_| (even || ready.len() > 1) && !full) {
            let mut next = voters.clone();
            next.push(*new);
            next.sort_unstable();
            next
        } else {
            return;
        };
        if let Some(old) = retired.map(|o| o.id) {
            self.leading.peers.remove(&old);
        }
        self.append(now, Mark::default(), Command::Voters { voters: next });
    }

    /// What a daemon outside the electorate sends to be sent the log.
    pub fn join(&mut self, to: Ipv4Addr, voter: bool) {
        self.send(Voter { id: 0, ip: to }, Body::Join { voter });
    }

    /// The very first electorate, fixed before the first election and written with the identity.
    pub fn found(&mut self, voters: Vec<Voter>) {
        if self.last_index() == 0 && self.snapshot.voters.is_empty() {
            self.snapshot.voters = voters;
            self.find_electorate();
            let snapshot = Some(self.snapshot.clone());
            self.write(Write { snapshot, ..Write::default() });
        }
    }
}
