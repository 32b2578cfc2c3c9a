//! Shrinks a failing schedule.

use super::Schedule;
use std::time::Duration;

impl Schedule {
    /// Shrinks a failing schedule: drops ever smaller parts of it as long as it fails in the same
    /// way. `fails` returns when it failed, if it did.
    pub fn shrink(mut self, mut tries: usize, fails: impl Fn(&Schedule) -> Option<Duration>) -> Self {
        self.fault_periods.clear();
        let Some(failed) = fails(&self) else { return self };
        self.steps.retain(|s| s.at <= failed);
        let mut left = self;
        loop {
            let before = left.steps.len() + left.fates.len();
            let mut size = before.div_ceil(2);
            while size > 0 {
                let mut from = 0;
                while from < left.steps.len() + left.fates.len() {
                    if tries == 0 {
                        return left;
                    }
                    tries -= 1;
                    let shorter = left.without(from, size);
                    if fails(&shorter).is_some() {
                        left = shorter;
                    } else {
                        from += size;
                    }
                }
                size /= 2;
            }
            if left.steps.len() + left.fates.len() == before {
                return left;
            }
        }
    }

    /// The schedule without `size` of its parts from the one at `from` on; the fates come first.
    fn without(&self, from: usize, size: usize) -> Self {
        let dropped = |at: usize| at >= from && at < from + size;
        let fates = self.fates.iter().enumerate().filter(|(at, _)| !dropped(*at)).map(|(_, (t, f))| (*t, *f));
        let offset = self.fates.len();
        let steps = self.steps.iter().enumerate().filter(|(at, _)| !dropped(at + offset)).map(|(_, s)| s.clone());
        Schedule { fates: fates.collect(), steps: steps.collect(), ..self.clone() }
    }
}
