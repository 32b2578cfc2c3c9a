//! Joins the control plane's state machine to the disk, sockets, signals and the clock.
//!
//! Everything but the store's writer thread runs on one thread. Each event (a message, a durable write, a request, a
//! timer) is handed to the [`Controller`]; after it, [`ControllerDriver::perform_effects`] does what that asks for.
//!
//! - `effects` — performs the effects, and holds back messages until the write they rest on is durable;
//! - `health_check` — statements at instances;
//! - `platform_call` — calls to the platform;
//! - `shutdown` — what happens at SIGTERM.

mod effects;
mod health_check;
mod platform_call;
mod shutdown;

use crate::daemon::RequiredSettings;
use crate::store::{NumberedWrite, Store, StoreError};
use effects::HeldMessage;
use lichenfield_engine::process::controller::{Controller, Request, RequestToken, Response};
use lichenfield_engine::process::peer_message::PeerMessage;
use lichenfield_engine::process::settings::Settings;
use lichenfield_runtime::http::{self, HttpRequest, HttpResponse};
use lichenfield_runtime::peer_links::PeerLinks;
use lichenfield_runtime::socket::ListenError;
use lichenfield_runtime::startup::{self, DaemonConfig, ProcessSignal, ProcessSignals, SettingsWatcher};
use lichenfield_runtime::{Executor, Shared, TimerHandle, shared};
use std::cell::Cell;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::sync::mpsc;
use std::time::{Instant, SystemTime};

/// The HTTP status of a request that the state machine leaves without an answer.
const STATUS_UNAVAILABLE: u16 = 503;

/// Why a controller ended by itself.
#[derive(Debug, thiserror::Error)]
pub enum DriverError {
    /// The store can't be opened.
    #[error("store {path}: {error}")]
    OpenStore {
        /// The store's folder.
        path: String,
        /// The reason.
        #[source]
        error: StoreError,
    },
    /// The store can't be written any more.
    #[error("the store can't be written: {0}")]
    WriteStore(#[source] StoreError),
    /// The port for other daemons can't be opened.
    #[error("peer port: {0}")]
    PeerPort(#[source] ListenError),
    /// The HTTP interface can't be opened.
    #[error("control interface: {0}")]
    ControlPort(#[source] ListenError),
}

/// A controller's state machine, and all that its effects need.
struct ControllerDriver {
    executor: Executor,
    controller: Shared<Controller>,
    links: PeerLinks,
    timer: Rc<TimerHandle>,
    /// To the store's writer thread.
    store: mpsc::Sender<NumberedWrite>,
    /// Messages that wait for a write to be durable, in order.
    held_messages: Shared<Vec<HeldMessage>>,
    /// The number of the last durable write.
    durable_write: Cell<u64>,
    /// Where the answers to open requests go.
    replies: Shared<HashMap<RequestToken, smol::channel::Sender<Response>>>,
    next_token: Cell<RequestToken>,
    /// The platform's address, if there is a platform.
    platform: Option<SocketAddrV4>,
    node: String,
    /// Seconds between SIGTERM and SIGKILL.
    grace_s: Cell<f64>,
}

/// How the daemon ends: after a signal, or with an error.
type EndSender = smol::channel::Sender<Result<(), DriverError>>;

/// Runs a controller until a signal or a failed store ends it.
pub async fn serve(executor: Executor, config: DaemonConfig<RequiredSettings>) -> Result<(), DriverError> {
    let DaemonConfig { settings, required: RequiredSettings { control, data_path }, settings_watcher, signals } =
        config;
    let (written_sender, written) = smol::channel::unbounded();
    let driver = ControllerDriver::start(executor, &settings, data_path, written_sender)?;
    driver.listen_to_peers()?;
    driver.serve_http(control)?;
    let (end_sender, end) = smol::channel::bounded(1);
    driver.spawn_store_task(written, end_sender.clone());
    driver.spawn_timer_task();
    driver.spawn_signal_task(signals, settings_watcher, end_sender);
    let result = end.recv().await.unwrap_or(Ok(()));
    if result.is_ok() {
        driver.shut_down(driver.grace_s.get()).await;
    }
    result
}

impl ControllerDriver {
    /// Opens the store and makes the state machine from it. `written` receives the numbers of durable writes.
    fn start(
        executor: Executor,
        settings: &Settings,
        data_path: String,
        written: smol::channel::Sender<Result<u64, StoreError>>,
    ) -> Result<Rc<Self>, DriverError> {
        let mut rng = fastrand::Rng::new();
        let disk_bytes = settings.limits.disk_mb << 20;
        let store = Store::open(&data_path, disk_bytes, rng.u64(1..))
            .map_err(|error| DriverError::OpenStore { path: data_path, error })?;
        let controller = Controller::new(Instant::now(), settings, store.state().clone(), rng);
        Ok(Rc::new(ControllerDriver {
            executor,
            controller: shared(controller),
            links: PeerLinks::new(executor, settings.ip, settings.peer_port()),
            timer: TimerHandle::new(),
            store: store.spawn_writer(written),
            held_messages: shared(Vec::new()),
            durable_write: Cell::new(0),
            replies: shared(HashMap::new()),
            next_token: Cell::new(1),
            platform: settings.platform.as_ref().map(|platform| platform.address),
            node: settings.node_name.clone(),
            grace_s: Cell::new(settings.timing_bounds.grace_s),
        }))
    }

    fn listen_to_peers(self: &Rc<Self>) -> Result<(), DriverError> {
        let driver = Rc::clone(self);
        let inbox = Rc::new(move |from, message| driver.handle_peer_message(from, message));
        self.links.listen(inbox).map_err(DriverError::PeerPort)
    }

    fn serve_http(self: &Rc<Self>, address: SocketAddrV4) -> Result<(), DriverError> {
        let driver = Rc::clone(self);
        http::serve(self.executor, address, move |call| Rc::clone(&driver).handle_call(call))
            .map_err(DriverError::ControlPort)
    }

    /// Follows the store's writer thread; ends the daemon when that fails for good.
    fn spawn_store_task(self: &Rc<Self>, written: smol::channel::Receiver<Result<u64, StoreError>>, end: EndSender) {
        let driver = Rc::clone(self);
        let task = async move {
            while let Ok(result) = written.recv().await {
                match result {
                    Ok(number) => driver.on_write_durable(number),
                    Err(error) => {
                        let _ = end.try_send(Err(DriverError::WriteStore(error)));
                        return;
                    }
                }
            }
        };
        self.executor.spawn(task).detach();
    }

    /// Ticks the state machine when it wants to be woken.
    fn spawn_timer_task(self: &Rc<Self>) {
        let driver = Rc::clone(self);
        let task = async move {
            loop {
                driver.tick();
                driver.timer.wait().await;
            }
        };
        self.executor.spawn(task).detach();
    }

    /// Follows signals. SIGTERM ends [`serve`]'s wait, which then shuts down (see `shutdown`).
    fn spawn_signal_task(
        self: &Rc<Self>,
        signals: ProcessSignals,
        mut settings_watcher: SettingsWatcher,
        end: EndSender,
    ) {
        let driver = Rc::clone(self);
        let handle_signal = move |signal| match signal {
            ProcessSignal::Terminate => drop(end.try_send(Ok(()))),
            ProcessSignal::DumpLog => lichenfield_runtime::log_ring::dump(),
            ProcessSignal::ReloadSettings => driver.reload_settings(&mut settings_watcher),
        };
        self.executor.spawn(startup::watch(signals, handle_signal)).detach();
    }

    /// Takes the timing bounds from the settings file if it has changed; other settings need a restart.
    fn reload_settings(&self, settings_watcher: &mut SettingsWatcher) {
        if let Some(settings) = settings_watcher.changed() {
            tracing::info!("settings reloaded");
            self.grace_s.set(settings.timing_bounds.grace_s);
            self.controller.borrow_mut().set_timing_bounds(settings.timing_bounds);
        }
    }

    fn tick(self: &Rc<Self>) {
        let now = Instant::now();
        let wall_clock = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        self.controller.borrow_mut().tick(now, wall_clock);
        self.perform_effects(now);
    }

    fn handle_peer_message(self: &Rc<Self>, from: Ipv4Addr, message: PeerMessage) {
        let now = Instant::now();
        self.controller.borrow_mut().handle_peer_message(now, from, message);
        self.perform_effects(now);
    }

    fn on_write_durable(self: &Rc<Self>, number: u64) {
        let now = Instant::now();
        self.durable_write.set(number);
        self.controller.borrow_mut().on_write_durable(now, number);
        self.perform_effects(now);
    }

    /// A call of the HTTP interface: hands it to the state machine and waits for its answer.
    async fn handle_call(self: Rc<Self>, call: HttpRequest) -> HttpResponse {
        let token = self.next_token.get();
        self.next_token.set(token + 1);
        let (sender, receiver) = smol::channel::bounded(1);
        self.replies.borrow_mut().insert(token, sender);
        let now = Instant::now();
        let request = Request { method: call.method, path: call.path, if_match: call.if_match, body: call.body };
        self.controller.borrow_mut().request(now, token, request);
        self.perform_effects(now);
        match receiver.recv().await {
            Ok(response) => HttpResponse { status: response.status, location: response.location, body: response.body },
            Err(_) => HttpResponse::status(STATUS_UNAVAILABLE),
        }
    }
}
