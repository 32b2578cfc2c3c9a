//! What happens at SIGTERM (or SIGINT) of a controller.
//!
//! 1. The signal task ends the wait of [`super::serve`].
//! 2. The state machine begins to shut down: a leader takes no more proposals, lets another voter catch up and hands
//!    its lead on; then the daemon asks to be removed from the electorate. Changes are answered 503 from here on.
//! 3. [`ControllerDriver::shut_down`] waits until the others can go on without this daemon, but no longer than a part
//!    of the grace that the platform leaves between SIGTERM and SIGKILL.
//! 4. Requests under way get a last moment to be answered, then the process ends with code 0.

use super::ControllerDriver;
use lichenfield_runtime::with_timeout;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The part of the grace in which a controller waits for others to take over.
const HANDOVER_GRACE_FRACTION: f64 = 0.5;
/// How often it is polled whether they have.
const HANDOVER_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Requests under way get this long after that.
const FINAL_ANSWER_GRACE: Duration = Duration::from_millis(150);

impl ControllerDriver {
    /// Hands over to the other controllers. `grace_s`: seconds between SIGTERM and SIGKILL.
    pub(super) async fn shut_down(self: &Rc<Self>, grace_s: f64) {
        let now = Instant::now();
        self.controller.borrow_mut().begin_shutdown(now);
        self.perform_effects(now);
        let timeout = Duration::from_secs_f64(grace_s * HANDOVER_GRACE_FRACTION);
        with_timeout(timeout, self.handed_over()).await;
        smol::Timer::after(FINAL_ANSWER_GRACE).await;
    }

    /// Waits until nothing here is needed any more.
    async fn handed_over(&self) {
        while !self.controller.borrow().may_exit() {
            smol::Timer::after(HANDOVER_POLL_INTERVAL).await;
        }
    }
}
