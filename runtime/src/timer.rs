//! The wake-up timer of a state machine.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

/// Wakes the task that drives a state machine at the deadline the machine asks for. The deadline may be brought
/// forward while the task waits; a later deadline is ignored until the earlier one has passed.
pub struct TimerHandle {
    deadline: Cell<Option<Instant>>,
    /// Signals the waiting task that `deadline` has changed; a capacity of one is enough.
    change_sender: smol::channel::Sender<()>,
    change_receiver: smol::channel::Receiver<()>,
}

impl TimerHandle {
    /// A timer without a deadline.
    pub fn new() -> Rc<Self> {
        let (change_sender, change_receiver) = smol::channel::bounded(1);
        Rc::new(TimerHandle { deadline: Cell::new(None), change_sender, change_receiver })
    }

    /// Requests a wake-up at `due`, unless an earlier one is already set.
    pub fn set(&self, due: Instant) {
        if self.deadline.get().is_none_or(|deadline| due < deadline) {
            self.deadline.set(Some(due));
            // A full channel already holds a notification.
            let _ = self.change_sender.try_send(());
        }
    }

    /// Waits for the earliest deadline set, then clears it.
    pub async fn wait(&self) {
        loop {
            let deadline = self.deadline.get();
            let changed = async {
                let _ = self.change_receiver.recv().await;
                false
            };
            let expired = async {
                match deadline {
                    Some(at) => {
                        smol::Timer::at(at).await;
                    }
                    None => smol::future::pending().await,
                }
                true
            };
            if smol::future::or(expired, changed).await {
                self.deadline.set(None);
                return;
            }
        }
    }
}
