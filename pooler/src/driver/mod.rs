//! Connects the pooler's state machines to sockets, signals and the clock.
//!
//! - `clock`: the timer task and the number of the usage window.
//! - `effects`: peer messages in, and the effects that the state machines ask for.
//! - `client_session`: clients' connections, and where each session is served.
//! - `carrier_link`: sessions that are forwarded to another pooler, their carrier.
//! - `backend_connection`: connections to the databases' instances.
//! - `shutdown`: draining after SIGTERM.
//!
//! The state machines decide; this module performs. Each input goes to a state machine under a short borrow, then
//! [`PoolerDriver::perform_effects`] performs what it asks for. Borrows follow the rule at
//! [`lichenfield_runtime::Shared`].

mod backend_connection;
mod carrier_link;
mod client_session;
mod clock;
mod effects;
mod shutdown;

use crate::ListenAddresses;
use backend_connection::BackendConnection;
use carrier_link::CarrierLink;
use client_session::{AcceptTask, SessionOrigin};
use lichenfield_engine::connection::shutdown::Shutdown;
use lichenfield_engine::process::dissemination::partial_view::{PartialView, PeerDescriptor};
use lichenfield_engine::process::dissemination::tree::{DisseminationTree, TreeOptions};
use lichenfield_engine::process::pooler::{ConnectionId, Pooler, SessionId};
use lichenfield_engine::process::settings::Settings;
use lichenfield_runtime::byte_stream::ByteStream;
use lichenfield_runtime::http::{self, HttpResponse};
use lichenfield_runtime::peer_links::PeerLinks;
use lichenfield_runtime::signals::{self, ProcessSignal, ProcessSignals};
use lichenfield_runtime::socket::ListenError;
use lichenfield_runtime::startup::{DaemonConfig, SettingsWatcher};
use lichenfield_runtime::{Executor, Shared, TimerHandle, log_ring, shared};
use std::cell::Cell;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The path of the readiness probe.
const READINESS_PATH: &str = "/api/ready";

/// The pooler's state machines and connections.
struct PoolerDriver {
    executor: Executor,
    pooler: Shared<Pooler>,
    tree: Shared<DisseminationTree>,
    peer_links: PeerLinks,
    /// Connections of clients, and of poolers that forward a session here.
    client_streams: Shared<HashMap<SessionId, Rc<ByteStream>>>,
    /// Sessions that another pooler serves.
    carrier_links: Shared<HashMap<SessionId, CarrierLink>>,
    /// The port where every pooler takes forwarded sessions; without one none are forwarded.
    forwarding_port: Option<u16>,
    /// Carriers that could not be reached, with the time of the next attempt.
    unreachable_carriers: Shared<HashMap<Ipv4Addr, Instant>>,
    backend_connections: Shared<HashMap<ConnectionId, BackendConnection>>,
    /// The tasks that accept connections of clients and of poolers.
    accept_tasks: Shared<Vec<AcceptTask>>,
    /// The shutdown, once SIGTERM has come.
    shutdown: Cell<Option<Shutdown>>,
    /// The time between SIGTERM and the end of the process.
    grace: Cell<Duration>,
    timer: Rc<TimerHandle>,
    /// The length of a usage window.
    usage_window: Cell<Duration>,
    next_session_id: Cell<SessionId>,
}

/// Runs the pooler until it has drained after SIGTERM.
pub async fn serve(executor: Executor, config: DaemonConfig<ListenAddresses>) -> Result<(), ListenError> {
    let DaemonConfig { settings, required: addresses, settings_watcher, signals } = config;
    let driver = Rc::new(PoolerDriver::new(executor, &settings));
    driver.listen(&settings, &addresses)?;
    driver.start_clock();
    let (termination_sender, termination) = smol::channel::bounded::<()>(1);
    driver.start_signal_handling(signals, settings_watcher, termination_sender);
    // The sender lives in the signal task. Should that end, the process drains as well.
    let _ = termination.recv().await;
    driver.drain().await;
    Ok(())
}

impl PoolerDriver {
    fn new(executor: Executor, settings: &Settings) -> Self {
        let now = Instant::now();
        let mut rng = fastrand::Rng::new();
        let bounds = &settings.timing_bounds;
        let pooler = Pooler::new(now, &settings.node_name, &settings.zone, bounds.clone(), rng.u64(..));
        let descriptor = PeerDescriptor::of_daemon(settings, None);
        let seeds = settings.seed_nodes.iter().map(|seed| *seed.ip()).collect();
        let tree_options = TreeOptions {
            partial_view: PartialView::new(descriptor, rng.fork()),
            seeds,
            is_root: false,
            link_mbps: settings.limits.link_mbps,
        };
        let tree = DisseminationTree::new(now, tree_options);
        PoolerDriver {
            executor,
            pooler: shared(pooler),
            tree: shared(tree),
            peer_links: PeerLinks::new(executor, settings.ip, settings.peer_port()),
            client_streams: shared(HashMap::new()),
            carrier_links: shared(HashMap::new()),
            forwarding_port: settings.forwarding_port(),
            unreachable_carriers: shared(HashMap::new()),
            backend_connections: shared(HashMap::new()),
            accept_tasks: shared(Vec::new()),
            shutdown: Cell::new(None),
            grace: Cell::new(bounds.grace()),
            timer: TimerHandle::new(),
            usage_window: Cell::new(bounds.usage_window()),
            next_session_id: Cell::new(1),
        }
    }

    /// Listens for peers, readiness probes, clients and forwarded sessions, in this order.
    fn listen(self: &Rc<Self>, settings: &Settings, addresses: &ListenAddresses) -> Result<(), ListenError> {
        let driver = Rc::clone(self);
        self.peer_links.listen(Rc::new(move |from, message| driver.handle_peer_message(from, message)))?;
        self.serve_readiness(addresses.readiness)?;
        self.listen_for_sessions(addresses.session, SessionOrigin::Client)?;
        if let Some(port) = self.forwarding_port {
            self.listen_for_sessions(SocketAddrV4::new(settings.ip, port), SessionOrigin::Pooler)?;
        }
        Ok(())
    }

    /// Answers the readiness probe: 200 while new clients are welcome, else 503.
    fn serve_readiness(self: &Rc<Self>, address: SocketAddrV4) -> Result<(), ListenError> {
        let driver = Rc::clone(self);
        http::serve(self.executor, address, move |request| {
            let ready = driver.pooler.borrow().ready(Instant::now());
            let status = match (request.path == READINESS_PATH, ready) {
                (false, _) => 404,
                (true, true) => 200,
                (true, false) => 503,
            };
            async move { HttpResponse::status(status) }
        })
    }

    /// Starts the signal task, which runs as long as the process.
    fn start_signal_handling(
        self: &Rc<Self>,
        signals: ProcessSignals,
        mut settings_watcher: SettingsWatcher,
        termination_sender: smol::channel::Sender<()>,
    ) {
        let driver = Rc::clone(self);
        let handler = move |signal| match signal {
            // A full channel already holds an earlier SIGTERM.
            ProcessSignal::Terminate => drop(termination_sender.try_send(())),
            ProcessSignal::DumpLog => log_ring::dump(),
            ProcessSignal::ReloadSettings => {
                if let Some(settings) = settings_watcher.changed() {
                    driver.apply_settings(settings);
                }
            }
        };
        self.executor.spawn(signals::watch(signals, handler)).detach();
    }

    /// Of changed settings, only the timing bounds take effect while the process runs.
    fn apply_settings(&self, settings: Settings) {
        tracing::info!("settings reloaded");
        self.usage_window.set(settings.timing_bounds.usage_window());
        self.grace.set(settings.timing_bounds.grace());
        self.pooler.borrow_mut().set_bounds(settings.timing_bounds);
    }
}
