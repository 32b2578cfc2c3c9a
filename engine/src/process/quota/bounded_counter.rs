//! The bounded counter CRDT with the operations of its paper: increment, decrement, transfer, local rights,
//! value and merge.

use std::collections::BTreeMap;

/// A holder of rights: the incarnation of a process, or the term of a leader. A restarted process is another
/// holder.
pub type HolderId = u64;

/// The entry of the matrix R for rights that one holder transferred to another.
type MatrixIndex = (HolderId, HolderId);

/// A counter with the lower bound 0. The state is the paper's matrix R (rights created, on the diagonal, and
/// transferred) and vector U (rights consumed). It is sparse: an absent entry is 0. Entries only grow, and
/// the counter's value is derived from them, never stored.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct BoundedCounter {
    /// R by sender, then by receiver; the diagonal holds the rights created.
    by_sender: BTreeMap<MatrixIndex, u64>,
    /// The same entries by receiver, then by sender.
    by_receiver: BTreeMap<MatrixIndex, u64>,
    /// U: rights consumed by each holder.
    consumed: BTreeMap<HolderId, u64>,
}

impl BoundedCounter {
    /// Raises an entry of R to at least `total`.
    pub(super) fn raise_rights(&mut self, sender: HolderId, receiver: HolderId, total: u64) {
        let entry = self.by_sender.entry((sender, receiver)).or_default();
        *entry = (*entry).max(total);
        self.by_receiver.insert((receiver, sender), *entry);
    }

    /// Raises an entry of U to at least `total`.
    pub(super) fn raise_consumed(&mut self, holder: HolderId, total: u64) {
        let entry = self.consumed.entry(holder).or_default();
        *entry = (*entry).max(total);
    }

    /// All rights that `sender` has transferred to `receiver` so far; for equal ids, all that it created.
    pub fn transferred(&self, sender: HolderId, receiver: HolderId) -> u64 {
        self.by_sender.get(&(sender, receiver)).copied().unwrap_or(0)
    }

    /// All rights that the holder has consumed so far.
    pub fn consumed(&self, holder: HolderId) -> u64 {
        self.consumed.get(&holder).copied().unwrap_or(0)
    }

    /// The holder's row of R: receivers and the totals sent to them, with its own creations.
    pub(super) fn sent_by(&self, holder: HolderId) -> impl Iterator<Item = (HolderId, u64)> {
        row(&self.by_sender, holder)
    }

    /// The holder's column of R: senders and the totals received from them, with its own creations.
    pub(super) fn received_by(&self, holder: HolderId) -> impl Iterator<Item = (HolderId, u64)> {
        row(&self.by_receiver, holder)
    }

    /// Rights created and received, less those transferred away and consumed. Negative in a copy that knows
    /// of consumption and not yet of the rights behind it.
    pub fn local_rights(&self, holder: HolderId) -> i64 {
        let received: u64 = self.received_by(holder).map(|(_, total)| total).sum();
        let sent: u64 = self.sent_by(holder).filter(|(receiver, _)| *receiver != holder).map(|(_, total)| total).sum();
        received as i64 - sent as i64 - self.consumed(holder) as i64
    }

    /// All rights created less all rights consumed; the lower bound is 0.
    pub fn value(&self) -> i64 {
        let diagonal = self.by_sender.iter().filter(|((sender, receiver), _)| sender == receiver);
        let created: u64 = diagonal.map(|(_, total)| total).sum();
        created as i64 - self.consumed.values().sum::<u64>() as i64
    }

    /// Creates rights, which the holder then holds.
    pub fn increment(&mut self, holder: HolderId, rights: u64) {
        self.raise_rights(holder, holder, self.transferred(holder, holder) + rights);
    }

    /// Consumes rights of the holder: all of them, or none if it holds fewer. Whether it did.
    pub fn decrement(&mut self, holder: HolderId, rights: u64) -> bool {
        let sufficient = self.local_rights(holder) >= rights as i64;
        if sufficient {
            self.raise_consumed(holder, self.consumed(holder) + rights);
        }
        sufficient
    }

    /// Moves rights: all of them, or none if the sender holds fewer. The sender is debited at once; the
    /// receiver has the rights when a merge brings it the entry. Whether they moved.
    pub fn transfer(&mut self, sender: HolderId, receiver: HolderId, rights: u64) -> bool {
        let sufficient = sender != receiver && self.local_rights(sender) >= rights as i64;
        if sufficient && rights > 0 {
            self.raise_rights(sender, receiver, self.transferred(sender, receiver) + rights);
        }
        sufficient
    }

    /// Consumes all that the holder holds: its rights have expired.
    pub(super) fn forfeit(&mut self, holder: HolderId) {
        let remaining = self.local_rights(holder).max(0) as u64;
        self.decrement(holder, remaining);
    }

    /// Takes the maximum, entry by entry. Lost, late and repeated copies do no harm.
    pub fn merge(&mut self, other: &BoundedCounter) {
        other.by_sender.iter().for_each(|((sender, receiver), total)| self.raise_rights(*sender, *receiver, *total));
        other.consumed.iter().for_each(|(holder, total)| self.raise_consumed(*holder, *total));
    }
}

/// The entries whose first index is `holder`, by their second.
fn row(matrix: &BTreeMap<MatrixIndex, u64>, holder: HolderId) -> impl Iterator<Item = (HolderId, u64)> {
    matrix.range((holder, 0)..=(holder, HolderId::MAX)).map(|((_, other), total)| (*other, *total))
}
