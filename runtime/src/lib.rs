//! What both daemons need around `lichenfield_engine`: sockets, links between daemons, HTTP, settings, the log.

pub mod byte_stream;
pub mod http;
pub mod log_ring;
pub mod peer_links;
pub mod startup;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The one thread's executor.
pub type Executor = &'static smol::LocalExecutor<'static>;

/// Runs a daemon's whole incarnation on the calling thread.
pub fn run<F: Future>(main: impl FnOnce(Executor) -> F) -> F::Output {
    let executor: Executor = Box::leak(Box::new(smol::LocalExecutor::new()));
    smol::block_on(executor.run(main(executor)))
}

/// Wakes a state machine at the moment it asks for, however often that moment failovers.
pub struct TimerHandle {
    armed: Cell<Option<Instant>>,
    ping: (smol::channel::Sender<()>, smol::channel::Receiver<()>),
}

impl TimerHandle {
    pub fn new() -> Rc<Self> {
        Rc::new(TimerHandle { armed: Cell::new(None), ping: smol::channel::bounded(1) })
    }

    /// The machine now wants to be woken at `due`.
    pub fn set(&self, due: Instant) {
        if self.armed.get().is_none_or(|armed| due < armed) {
            self.armed.set(Some(due));
            let _ = self.ping.0.try_send(());
        }
    }

    /// Waits for the moment last set.
    pub async fn wait(&self) {
        loop {
            let armed = self.armed.get();
            let pinged = async {
                let _ = self.ping.1.recv().await;
                false
            };
            let rung = async {
                match armed {
                    Some(at) => {
                        smol::Timer::at(at).await;
                    }
                    None => smol::future::pending().await,
                }
                true
            };
            if smol::future::or(rung, pinged).await {
                self.armed.set(None);
                return;
            }
        }
    }
}

/// Waits for `what`, but no longer than `patience`.
pub async fn within<T>(patience: Duration, what: impl Future<Output = T>) -> Option<T> {
    smol::future::or(async { Some(what.await) }, async {
        smol::Timer::after(patience).await;
        None
    })
    .await
}

/// A value shared by the tasks of the one thread.
pub type Shared<T> = Rc<RefCell<T>>;

pub fn shared<T>(value: T) -> Shared<T> {
    Rc::new(RefCell::new(value))
}
