//! State shared by the tasks of one thread.

use std::cell::RefCell;
use std::rc::Rc;

/// A value shared by the tasks of the daemon's only thread.
///
/// The rule for every `RefCell` in the daemons: a borrow ends before the next `await` and before any call that may
/// borrow the same value again. All tasks run on one thread and switch only at an `await`, so under this rule no
/// borrow ever meets another and `borrow_mut` cannot panic. Clippy checks the first half: every crate that uses
/// `Shared` denies `clippy::await_holding_refcell_ref`.
pub type Shared<T> = Rc<RefCell<T>>;

/// Wraps `value` so that several tasks can hold it.
pub fn shared<T>(value: T) -> Shared<T> {
    Rc::new(RefCell::new(value))
}
