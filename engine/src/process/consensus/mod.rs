//! Consensus: the Raft algorithm as a state machine without I/O.
//!
//! "Raft" in the comments stands for Ongaro and Ousterhout, "In Search of an Understandable Consensus
//! Algorithm"; "Raft dissertation" for Ongaro, "Consensus: Bridging Theory and Practice"; "Raft Refloated" for
//! Howard et al., "Raft Refloated: Do We Have Consensus?". `docs/raft.md` lists what was kept of them, what
//! was changed and why.
//!
//! Inputs are the calls of [`Raft::tick`], [`Raft::handle_message`], [`Raft::on_write_durable`] and those of
//! the local client; outputs are the [`Effect`]s, which the caller takes after each input and performs in order.
//!
//! | Concern | Module |
//! |---|---|
//! | Inputs: time and messages | `step` |
//! | Elections, terms, votes | `election` |
//! | Appending and sending entries, at the leader | `replication` |
//! | AppendEntries, at a follower | `append` |
//! | Advancing the commit index | `commit` |
//! | Confirmed leadership and reads | `read_index` |
//! | The leader's state; its peers' progress | `leader_state`, `progress` |
//! | Membership changes | `membership_change`, `voter_plan` |
//! | Leadership transfer; shutdown | `leadership_transfer`, `shutdown` |
//! | Snapshots; their transfer | `snapshot`, `snapshot_transfer` |
//! | The log in memory | `log` |
//! | Persistent state; what waits for the disk | `storage`, `durability` |
//! | A follower's evidence of its leader's quorum | `quorum_contact` |
//! | Messages, effects, parameters | `message`, `effect`, `parameters` |
//! | Measured durations; bounded queues | `duration_samples`, `bounded_queue` |

mod append;
mod bounded_queue;
mod commit;
mod durability;
mod duration_samples;
mod effect;
mod election;
mod leader_state;
mod leadership_transfer;
mod log;
mod membership_change;
mod message;
mod parameters;
mod progress;
mod quorum_contact;
mod read_index;
mod replication;
mod shutdown;
mod snapshot;
mod snapshot_transfer;
mod step;
mod storage;
mod voter_plan;

pub use effect::{Effect, ReadToken, WriteNumber};
pub use message::{Message, MessageBody, SnapshotId};
pub use parameters::{LEADER_CONFIRMATION, Parameters};
pub use snapshot::{RetainedLog, SnapshotProgress};
pub use storage::{Entry, HardState, IndexedEntry, PersistentState, Snapshot, Write};

use crate::version::electorate::{Voter, VoterId};
use durability::Durability;
use duration_samples::{DurationSamples, jitter};
use election::ElectionState;
use leader_state::LeaderState;
use log::Log;
use quorum_contact::QuorumContact;
use shutdown::ShutdownState;
use snapshot_transfer::{EncodedSnapshot, IncomingSnapshot};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The role of a daemon in its term (Raft §5.1). Learners are followers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether it would be elected, before it raises its term (Raft dissertation §9.6).
    PreCandidate,
    /// Asks for votes in a new term.
    Candidate,
    /// Was elected in its term.
    Leader,
}

/// One daemon's part in the consensus (Raft, figure 2).
pub struct Raft {
    me: Voter,
    parameters: Parameters,
    rng: fastrand::Rng,
    /// The time of the latest input.
    clock: Instant,
    effects: Vec<Effect>,

    // Persistent state: changed here first, then written; see `durability` for what waits until then.
    term: u64,
    vote: Option<VoterId>,
    log: Log,
    durability: Durability,

    // Applied state.
    commit_index: u64,
    last_applied: u64,
    /// Bytes of the entries applied since the last snapshot.
    bytes_since_snapshot: usize,

    // Role and elections.
    role: Role,
    leader: Option<Voter>,
    last_leader_contact: Option<Instant>,
    election: ElectionState,
    /// From the start of a round to the response that completes a majority (Raft Refloated §4.3).
    broadcast_times: DurationSamples,
    /// How long the elections took that this daemon won, from its election timeout on; oldest first.
    pub election_durations: Vec<Duration>,

    // As a leader.
    leader_state: LeaderState,
    /// The latest snapshot as it is sent, once a peer needed it.
    encoded_snapshot: Option<Rc<EncodedSnapshot>>,

    // As a follower.
    quorum_contact: QuorumContact,
    /// All that was acknowledged before this moment is applied here; `None` after a start, when nothing
    /// but the latest snapshot is.
    follower_contact_at: Option<Instant>,
    incoming_snapshot: Option<IncomingSnapshot>,

    shutdown: ShutdownState,
}

impl Raft {
    /// Starts as a follower from what is on disk. `rng` draws the timeouts and the nonces.
    pub fn new(
        now: Instant,
        ip: Ipv4Addr,
        parameters: Parameters,
        stored: PersistentState,
        mut rng: fastrand::Rng,
    ) -> Self {
        let election_deadline = now + jitter(&mut rng, parameters.election_timeout);
        let (id, term, vote) = (stored.id, stored.term, stored.vote);
        let log = Log::new(stored);
        let snapshot_index = log.snapshot().index;
        let mut effects = Vec::new();
        if snapshot_index > 0 {
            effects.push(Effect::Restore(log.snapshot().clone()));
        }
        Raft {
            me: Voter { id, ip },
            parameters,
            rng,
            clock: now,
            effects,
            term,
            vote,
            durability: Durability::new(log.last_index()),
            log,
            commit_index: snapshot_index,
            last_applied: snapshot_index,
            bytes_since_snapshot: 0,
            role: Role::Follower,
            leader: None,
            last_leader_contact: None,
            election: ElectionState::new(now, election_deadline),
            broadcast_times: DurationSamples::default(),
            election_durations: Vec::new(),
            leader_state: LeaderState::default(),
            encoded_snapshot: None,
            quorum_contact: QuorumContact::default(),
            follower_contact_at: None,
            incoming_snapshot: None,
            shutdown: ShutdownState::default(),
        }
    }

    /// Takes the effects of the inputs so far.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// This daemon's identity and address.
    pub fn me(&self) -> Voter {
        self.me
    }

    /// The latest term seen.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// The role in that term.
    pub fn role(&self) -> Role {
        self.role
    }

    /// The leader of the current term, if known.
    pub fn leader(&self) -> Option<Voter> {
        self.leader
    }

    /// The index up to which the log is known to be committed.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// The index of the last entry of the log.
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// The entry at an index, unless it is compacted or not there yet.
    pub fn entry(&self, index: u64) -> Option<&Entry> {
        self.log.entry(index)
    }

    /// When this daemon was elected, while it leads.
    pub fn leading_since(&self) -> Option<Instant> {
        (self.role == Role::Leader).then_some(self.leader_state.elected_at).flatten()
    }

    /// All that was acknowledged before this moment is applied here, by this daemon's own clock and however
    /// long messages were on their way: a leader of whom that is true was in contact with a majority
    /// after that moment.
    pub fn last_quorum_contact(&self) -> Option<Instant> {
        let is_current_leader = self.role == Role::Leader && self.has_committed_in_term();
        self.follower_contact_at.max(self.leader_state.confirmed_at.filter(|_| is_current_leader))
    }

    /// Whether the applied state has been current at some moment since the start.
    pub fn has_had_quorum_contact(&self) -> bool {
        self.last_quorum_contact().is_some()
    }
}
