//! What [`Raft`](super::Raft) asks its caller to do.

use super::{Entry, Message, Snapshot, Write};
use std::net::Ipv4Addr;

/// Numbers the writes of one process, from 1 on; 0 stands for no write.
pub type WriteNumber = u64;

/// Names a read, chosen by the caller of [`Raft::read`](super::Raft::read).
pub type ReadToken = u64;

/// Something for the caller to do, in the order given.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Make a change durable and report it with
    /// [`Raft::on_write_durable`](super::Raft::on_write_durable). Writes become durable in order.
    Write {
        /// The number to report.
        number: WriteNumber,
        /// The change.
        write: Write,
    },
    /// Send a message once the write `after` is durable; 0: at once. Safety depends on this: what a
    /// message promises, such as a vote, must survive a crash of its sender.
    Send {
        /// The receiver's address.
        to: Ipv4Addr,
        /// The message.
        message: Message,
        /// The write that must be durable first.
        after: WriteNumber,
    },
    /// Replace the state machine's state by that of a snapshot.
    Restore(Snapshot),
    /// Apply a committed entry to the state machine.
    Apply {
        /// The entry's index.
        index: u64,
        /// The entry.
        entry: Entry,
    },
    /// A read may be served from the applied state now.
    ReadReady(ReadToken),
    /// This daemon ceased to be the leader before the read was confirmed; ask the new leader.
    ReadFailed(ReadToken),
}
