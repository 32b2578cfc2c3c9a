//! Joins the control plane's state machine to the disk, sockets, signals and the clock.

use crate::store::Store;
use lichenfield_engine::process::consensus::Write;
use lichenfield_engine::process::controller::{Controller, Effect, Request, Response, Token};
use lichenfield_engine::process::dissemination::anti_entropy::Instance;
use lichenfield_engine::process::leadership::HealthCheckResult;
use lichenfield_engine::process::peer_message::PeerMessage;
use lichenfield_engine::process::settings::Settings;
use lichenfield_runtime::http::{self, HttpRequest, HttpResponse, OutboundRequest};
use lichenfield_runtime::peer_links::PeerLinks;
use lichenfield_runtime::startup::{self, ProcessSignal, SettingsWatcher};
use lichenfield_runtime::{Executor, Shared, TimerHandle, shared, with_timeout};
use smol::Async;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use std::collections::HashMap;
use std::net::{SocketAddrV4, TcpStream};
use std::rc::Rc;
use std::sync::mpsc;
use std::time::{Duration, Instant, SystemTime};

/// Probes of instances and calls to the platform take this long at most.
const PROBE: Duration = Duration::from_millis(250);
const CALL: Duration = Duration::from_millis(2000);
/// After SIGTERM, the part of its grace in which a controller waits for others to take over what it does.
const LEAVE_SHARE: f64 = 0.5;
/// How often it looks whether they have.
const LEAVE_LOOK: Duration = Duration::from_millis(10);
/// After that, calls under way get this long.
const FINAL_ANSWER_GRACE: Duration = Duration::from_millis(150);
/// Answers of the wire to one probe stay far below this.
const PROBE_BYTES: usize = 16 * 1024;

struct ControllerDriver {
    executor: Executor,
    controller: Shared<Controller>,
    links: PeerLinks,
    timer: Rc<TimerHandle>,
    disk: mpsc::Sender<(u64, Write)>,
    /// Messages that wait for a write, in order.
    held: Shared<Vec<(u64, std::net::Ipv4Addr, PeerMessage)>>,
    durable: std::cell::Cell<u64>,
    replies: Shared<HashMap<Token, smol::channel::Sender<Response>>>,
    next_token: std::cell::Cell<Token>,
    platform: Option<SocketAddrV4>,
    node: String,
}

pub async fn serve(
    executor: Executor,
    settings: Settings,
    control: SocketAddrV4,
    data: String,
    mut reader: SettingsWatcher,
) -> Result<(), String> {
    let mut rng = fastrand::Rng::new();
    let (store, stored) = Store::open(&data, settings.limits.disk_mb << 20, rng.u64(1..))?;
    let (done, durable) = smol::channel::unbounded();
    let driver = Rc::new(ControllerDriver {
        executor,
        controller: shared(Controller::new(Instant::now(), &settings, stored, rng)),
        links: PeerLinks::new(executor, settings.ip, settings.peer_port()),
        timer: TimerHandle::new(),
        disk: store.run(done),
        held: shared(Vec::new()),
        durable: std::cell::Cell::new(0),
        replies: shared(HashMap::new()),
        next_token: std::cell::Cell::new(1),
        platform: settings.platform.as_ref().map(|p| p.address),
        node: settings.node_name.clone(),
    });
    let inbox = Rc::clone(&driver);
    driver
        .links
        .listen(Rc::new(move |from, message| inbox.handle_peer_message(from, message)))
        .map_err(|e| format!("peer port: {e}"))?;
    let front = Rc::clone(&driver);
    http::serve(executor, control, move |call| Rc::clone(&front).answer(call))
        .map_err(|e| format!("control {control}: {e}"))?;

    let (end, ended) = smol::channel::bounded::<Result<(), String>>(1);
    let (disk, failed) = (Rc::clone(&driver), end.clone());
    executor
        .spawn(async move {
            while let Ok(result) = durable.recv().await {
                match result {
                    Ok(number) => disk.wrote(number),
                    Err(why) => {
                        let _ = failed.try_send(Err(format!("the store can't be written: {why}")));
                        return;
                    }
                }
            }
        })
        .detach();
    let clock = Rc::clone(&driver);
    executor
        .spawn(async move {
            loop {
                clock.tick();
                clock.timer.wait().await;
            }
        })
        .detach();
    let watched = Rc::clone(&driver);
    executor
        .spawn(startup::watch(move |signal| match signal {
            ProcessSignal::Terminate => drop(end.try_send(Ok(()))),
            ProcessSignal::DumpLog => lichenfield_runtime::log_ring::dump(),
            ProcessSignal::ReloadSettings => {
                if let Some(settings) = reader.changed() {
                    tracing::info!("settings taken anew");
                    watched.controller.borrow_mut().set_bounds(settings.timing_bounds);
                }
            }
        }))
        .detach();
    let result = ended.recv().await.unwrap_or(Ok(()));
    if result.is_ok() {
        driver.leave();
        let patience = Duration::from_secs_f64(settings.timing_bounds.grace_s * LEAVE_SHARE);
        with_timeout(patience, driver.left()).await;
        smol::Timer::after(FINAL_ANSWER_GRACE).await;
    }
    result
}

impl ControllerDriver {
    fn tick(self: &Rc<Self>) {
        let now = Instant::now();
        let wall = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        self.controller.borrow_mut().tick(now, wall);
        self.perform(now);
    }

    fn leave(self: &Rc<Self>) {
        let now = Instant::now();
        self.controller.borrow_mut().leave(now);
        self.perform(now);
    }

    /// Waits until nothing here is needed any more.
    async fn left(&self) {
        while !self.controller.borrow().may_end() {
            smol::Timer::after(LEAVE_LOOK).await;
        }
    }

    fn handle_peer_message(self: &Rc<Self>, from: std::net::Ipv4Addr, message: PeerMessage) {
        let now = Instant::now();
        self.controller.borrow_mut().handle_peer_message(now, from, message);
        self.perform(now);
    }

    fn wrote(self: &Rc<Self>, number: u64) {
        let now = Instant::now();
        self.durable.set(number);
        self.controller.borrow_mut().durable(now, number);
        self.perform(now);
    }

    async fn answer(self: Rc<Self>, call: HttpRequest) -> HttpResponse {
        let token = self.next_token.get();
        self.next_token.set(token + 1);
        let (sender, receiver) = smol::channel::bounded(1);
        self.replies.borrow_mut().insert(token, sender);
        let now = Instant::now();
        let request = Request { method: call.method, path: call.path, if_match: call.if_match, body: call.body };
        self.controller.borrow_mut().request(now, token, request);
        self.perform(now);
        match receiver.recv().await {
            Ok(response) => HttpResponse { status: response.status, location: response.location, body: response.body },
            Err(_) => HttpResponse::status(503),
        }
    }

    /// Performs what the machine wants done; a message that rests on a write waits until that is durable.
    fn perform(self: &Rc<Self>, now: Instant) {
        let effects = self.controller.borrow_mut().effects();
        for effect in effects {
            match effect {
                Effect::Write(number, write) => {
                    let _ = self.disk.send((number, write));
                }
                Effect::Send(to, message, after) if after > self.durable.get() => {
                    self.held.borrow_mut().push((after, to, message))
                }
                effect => self.one(effect),
            }
        }
        let ready: Vec<_> = {
            let mut held = self.held.borrow_mut();
            let (ready, waiting) = held.drain(..).partition(|(after, ..)| *after <= self.durable.get());
            *held = waiting;
            ready
        };
        for (_, to, message) in ready {
            self.links.send(to, &message);
        }
        let due = self.controller.borrow().next_wakeup(now);
        self.timer.set(due);
    }

    fn one(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Write(..) => {}
            Effect::Send(to, message, _) => self.links.send(to, &message),
            Effect::Reply(token, response) => {
                if let Some(sender) = self.replies.borrow_mut().remove(&token) {
                    let _ = sender.try_send(response);
                }
            }
            Effect::HealthCheck { token, instance, text } => {
                let driver = Rc::clone(self);
                self.executor
                    .spawn(async move {
                        let result = with_timeout(PROBE, probe(&instance, &text))
                            .await
                            .flatten()
                            .unwrap_or(HealthCheckResult::Failed);
                        let now = Instant::now();
                        driver.controller.borrow_mut().health_check_finished(now, token, result);
                        driver.tick();
                    })
                    .detach();
            }
            Effect::PlatformCall { token, path, fence, body } => {
                let driver = Rc::clone(self);
                self.executor.spawn(async move { driver.call(token, path, fence, body).await }).detach();
            }
            Effect::Log(note) => tracing::info!("{note}"),
            Effect::LogError(note) => tracing::error!("{note}"),
        }
    }

    async fn call(self: Rc<Self>, token: u64, path: &'static str, fence: u64, body: String) {
        let headers = [("duty-holder", self.node.clone()), ("fence", fence.to_string())];
        let driver = Rc::clone(&self);
        let permit = move || driver.controller.borrow().may_call(Instant::now(), fence);
        let Some(address) = self.platform else {
            tracing::info!("platform {path}: no platform");
            self.controller.borrow_mut().platform_call_finished(Instant::now(), token, None);
            return self.tick();
        };
        let (method, body, timeout) = ("POST", body.into_bytes(), CALL);
        let request = OutboundRequest { address, method, path, headers: &headers, body, timeout };
        let status = http::send(self.executor, request, permit).await;
        match &status {
            Ok(answer) => tracing::info!("platform {path}: {}", answer.status),
            Err(why) => tracing::info!("platform {path}: {why}"),
        }
        self.controller.borrow_mut().platform_call_finished(Instant::now(), token, status.ok().map(|a| a.status));
        self.tick();
    }
}

/// One statement of our own at an instance, on a connection of its own.
async fn probe(instance: &Instance, text: &str) -> Option<HealthCheckResult> {
    let address: SocketAddrV4 = instance.address.parse().ok()?;
    let mut stream = Async::<TcpStream>::connect(address).await.ok()?;
    lichenfield_runtime::byte_stream::configure_socket(stream.get_ref(), PROBE);
    let hello = format!("CONNECT {} - {}\r\n", instance.service, instance.id);
    stream.write_all(hello.as_bytes()).await.ok()?;
    let mut seen = String::new();
    if !until_ready(&mut stream, &mut seen).await? {
        return Some(if seen.starts_with("ERROR FULL") { HealthCheckResult::Busy } else { HealthCheckResult::Failed });
    }
    seen.clear();
    stream.write_all(format!("QUERY - {text}\r\n").as_bytes()).await.ok()?;
    until_ready(&mut stream, &mut seen).await?;
    let _ = stream.write_all(b"BYE\r\n").await;
    match seen.strip_prefix("ROW ") {
        Some(rest) => Some(HealthCheckResult::read(rest.split("\r\n").next().unwrap_or_default())),
        None if seen.starts_with("ERROR BUSY") => Some(HealthCheckResult::Busy),
        None => Some(HealthCheckResult::Failed),
    }
}

/// Reads an answer up to its `READY`; false if it is an error that ends the connection.
async fn until_ready(stream: &mut Async<TcpStream>, seen: &mut String) -> Option<bool> {
    let mut buffer = [0; 1024];
    loop {
        let n = stream.read(&mut buffer).await.ok()?;
        if n == 0 {
            return Some(false);
        }
        seen.push_str(std::str::from_utf8(&buffer[..n]).ok()?);
        if seen.len() > PROBE_BYTES {
            return None;
        }
        let Some(whole) = seen.strip_suffix("\r\n") else { continue };
        let last = whole.rsplit("\r\n").next().unwrap_or_default();
        if last.starts_with("READY ") {
            return Some(true);
        }
    }
}
