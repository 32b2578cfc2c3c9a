//! The clock: wakes the state machines when they are due.

use super::PoolerDriver;
use std::rc::Rc;
use std::time::{Instant, SystemTime};

impl PoolerDriver {
    /// Starts the timer task, which runs as long as the process.
    pub(super) fn start_clock(self: &Rc<Self>) {
        let driver = Rc::clone(self);
        let clock = async move {
            loop {
                driver.tick();
                driver.timer.wait().await;
            }
        };
        self.executor.spawn(clock).detach();
    }

    fn tick(self: &Rc<Self>) {
        let now = Instant::now();
        self.tree.borrow_mut().tick(now);
        self.apply_tree_updates(now);
        let window = self.usage_window_number();
        self.pooler.borrow_mut().tick(now, window);
        self.perform_effects(now);
    }

    /// The number of the current usage window, counted from the Unix epoch so that all daemons agree on it.
    fn usage_window_number(&self) -> u64 {
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        (since_epoch.as_secs_f64() / self.usage_window.get().as_secs_f64()) as u64
    }
}
