//! Everything both daemons need around the state machines of `lichenfield_engine`: a single-threaded executor,
//! timers, sockets, links between daemons, HTTP, the settings file, signals, the log ring and the common
//! start-up sequence.
//!
//! A daemon runs on one thread. Its tasks share state through [`Shared`], whose documentation states the one
//! rule that keeps that safe.

#![warn(missing_docs)]
#![deny(clippy::await_holding_refcell_ref)]

pub mod byte_stream;
pub mod http;
pub mod log_ring;
pub mod peer_links;
pub mod settings_file;
pub mod signals;
pub mod socket;
pub mod startup;

mod shared;
mod timeout;
mod timer;

pub use shared::{Shared, shared};
pub use timeout::with_timeout;
pub use timer::TimerHandle;

/// The executor of the daemon's only thread. It lives as long as the process.
pub type Executor = &'static smol::LocalExecutor<'static>;

/// Runs `main` on the calling thread until it completes, together with every task it spawns. Tasks that are still
/// running when `main` completes are abandoned: the process exits next.
pub fn run<F: Future>(main: impl FnOnce(Executor) -> F) -> F::Output {
    let executor: Executor = Box::leak(Box::new(smol::LocalExecutor::new()));
    smol::block_on(executor.run(main(executor)))
}
