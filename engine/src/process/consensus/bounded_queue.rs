//! A queue that forgets its oldest items.

use std::collections::VecDeque;

/// Appends an item and drops the oldest one if there are then more than `capacity`.
pub(super) fn push_bounded<T>(queue: &mut VecDeque<T>, item: T, capacity: usize) {
    queue.push_back(item);
    if queue.len() > capacity {
        queue.pop_front();
    }
}
