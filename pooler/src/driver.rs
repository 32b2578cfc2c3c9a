//! Joins the state machines to sockets, signals and the clock.

use lichenfield_engine::connection::draining::{CLOSED_AT_ONCE, DrainPhase};
use lichenfield_engine::process::dissemination::partial_view::{PartialView, PeerDescriptor};
use lichenfield_engine::process::dissemination::tree::{DisseminationTree, TreeOptions};
use lichenfield_engine::process::forwarding::{self, ForwardedSession};
use lichenfield_engine::process::peer_message::PeerMessage;
use lichenfield_engine::process::pooler::{ConnectionId, Effect, Pooler, SessionId};
use lichenfield_engine::process::settings::Settings;
use lichenfield_runtime::byte_stream::{self, ByteStream};
use lichenfield_runtime::http::{self, Answer};
use lichenfield_runtime::peer_links::Links;
use lichenfield_runtime::startup::{self, ProcessSignal, SettingsWatcher};
use lichenfield_runtime::{Executor, Shared, TimerHandle, shared};
use smol::{Async, Task};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

/// An instance or client that acknowledges nothing for this long is dark.
const DARK: Duration = Duration::from_millis(2500);
/// What was written last is on its way before the process ends.
const LAST_WORDS: Duration = Duration::from_millis(60);
/// The platform sends new clients for a while after it was told not to.
const LATECOMERS: Duration = Duration::from_millis(2600);
/// While leaving, how often it is looked which sessions may be closed.
const LEAVE_TURN: Duration = Duration::from_millis(50);

/// A carrier that can't be reached within this is passed over, and not tried again for a while.
const CARRIER_DIAL: Duration = Duration::from_millis(250);
const CARRIER_REST: Duration = Duration::from_secs(1);
/// A carrier that acknowledges nothing for this long is gone.
const CARRIER_DARK: Duration = Duration::from_millis(1500);
/// A client's first line is looked at up to this length; a longer one is served here.
const HELLO_MAX: usize = 64 * 1024;

/// A session that another pooler serves.
struct CarrierLink {
    session: ForwardedSession,
    client: Rc<ByteStream>,
    carrier: Option<Rc<ByteStream>>,
    /// What the client has sent, until a carrier answers: another one gets it otherwise.
    early: Option<Vec<u8>>,
}

impl CarrierLink {
    /// The carrier is not waited for any more. Whether the client waited: then it was told.
    fn sever(&mut self) -> bool {
        let last = if self.session.is_carrier_lost() { String::new() } else { self.session.handle_carrier_loss() };
        self.client.write(last.as_bytes());
        if let Some(carrier) = self.carrier.take() {
            carrier.close();
        }
        !last.is_empty()
    }
}

/// Where a client's bytes go.
enum Way {
    Hello(Vec<u8>),
    Here,
    CarrierLink,
}

/// A connection to an instance and the task that reads it.
type Opened = (Rc<ByteStream>, Task<()>);

struct PoolerDriver {
    executor: Executor,
    pooler: Shared<Pooler>,
    relay: Shared<DisseminationTree>,
    links: Links,
    clients: Shared<HashMap<SessionId, Rc<ByteStream>>>,
    far: Shared<HashMap<SessionId, CarrierLink>>,
    forwarding_port: Option<u16>,
    /// Carriers that could not be reached, until then.
    unreached: Shared<HashMap<Ipv4Addr, Instant>>,
    leaving: std::cell::Cell<Option<Instant>>,
    grace: Duration,
    instances: Shared<HashMap<ConnectionId, Opened>>,
    timer: Rc<TimerHandle>,
    window: Shared<Duration>,
    next_session: std::cell::Cell<SessionId>,
}

pub async fn serve(
    executor: Executor,
    settings: Settings,
    session: SocketAddrV4,
    readiness: SocketAddrV4,
    mut reader: SettingsWatcher,
) -> std::io::Result<()> {
    let now = Instant::now();
    let mut rng = fastrand::Rng::new();
    let descriptor = PeerDescriptor {
        name: settings.node_name.clone(),
        ip: settings.ip,
        zone: settings.zone.clone(),
        control: None,
        age: 0,
    };
    let seeds = settings.seed_nodes.iter().map(|s| *s.ip()).collect();
    let bounds = settings.timing_bounds.clone();
    let pooler = Pooler::new(now, &settings.node_name, &settings.zone, bounds.clone(), rng.u64(..));
    let tree_options = TreeOptions {
        partial_view: PartialView::new(descriptor, rng.fork()),
        seeds,
        is_root: false,
        link_mbps: settings.limits.link_mbps,
    };
    let driver = Rc::new(PoolerDriver {
        executor,
        pooler: shared(pooler),
        relay: shared(DisseminationTree::new(now, tree_options)),
        links: Links::new(executor, settings.ip, settings.peer_port()),
        clients: shared(HashMap::new()),
        far: shared(HashMap::new()),
        forwarding_port: settings.forwarding_port(),
        unreached: shared(HashMap::new()),
        leaving: std::cell::Cell::new(None),
        grace: bounds.grace(),
        instances: shared(HashMap::new()),
        timer: TimerHandle::new(),
        window: shared(bounds.usage_window()),
        next_session: std::cell::Cell::new(1),
    });

    let inbox = Rc::clone(&driver);
    driver.links.listen(Rc::new(move |from, message| inbox.handle_peer_message(from, message)))?;
    let probe = Rc::clone(&driver);
    http::serve(executor, readiness, move |call| {
        let found = call.path == "/api/ready";
        let ready = probe.pooler.borrow().ready(Instant::now());
        async move {
            Answer::status(if !found {
                404
            } else if ready {
                200
            } else {
                503
            })
        }
    })?;
    driver.listen(session, false)?;
    if let Some(port) = settings.forwarding_port() {
        driver.listen(SocketAddrV4::new(settings.ip, port), true)?;
    }

    let clock = Rc::clone(&driver);
    executor
        .spawn(async move {
            loop {
                clock.tick();
                clock.timer.wait().await;
            }
        })
        .detach();

    let (leave, left) = smol::channel::bounded::<()>(1);
    let watched = Rc::clone(&driver);
    executor
        .spawn(startup::watch(move |signal| match signal {
            ProcessSignal::Terminate => drop(leave.try_send(())),
            ProcessSignal::DumpLog => lichenfield_runtime::log_ring::dump(),
            ProcessSignal::ReloadSettings => {
                if let Some(settings) = reader.changed() {
                    tracing::info!("settings taken anew");
                    *watched.window.borrow_mut() = settings.timing_bounds.usage_window();
                    watched.pooler.borrow_mut().set_bounds(settings.timing_bounds);
                }
            }
        }))
        .detach();

    let _ = left.recv().await;
    driver.leave().await;
    Ok(())
}

impl PoolerDriver {
    fn window_now(&self) -> u64 {
        let wall = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        (wall.as_secs_f64() / self.window.borrow().as_secs_f64()) as u64
    }

    fn tick(self: &Rc<Self>) {
        let now = Instant::now();
        self.relay.borrow_mut().tick(now);
        self.pass_news(now);
        let window = self.window_now();
        self.pooler.borrow_mut().tick(now, window);
        self.perform(now);
    }

    fn handle_peer_message(self: &Rc<Self>, from: Ipv4Addr, message: PeerMessage) {
        let now = Instant::now();
        let rest = self.relay.borrow_mut().handle_message(now, from, message);
        self.pass_news(now);
        match rest {
            Some(PeerMessage::LeaseGrant(grant)) => {
                self.relay.borrow_mut().note_leader_answer(now, from, grant.digests.as_ref());
                self.pooler.borrow_mut().handle_lease_grant(now, from, grant);
            }
            Some(PeerMessage::RightsGrant { nonce, valid_for, term, transfers }) => {
                self.pooler.borrow_mut().handle_rights_grant(now, nonce, valid_for, term, transfers)
            }
            Some(PeerMessage::LeaderRedirect { leader }) => {
                self.pooler.borrow_mut().handle_leader_redirect(now, leader)
            }
            Some(PeerMessage::LeaseRecall { service, epoch }) => {
                self.pooler.borrow_mut().handle_lease_recall(now, from, &service, epoch)
            }
            _ => {}
        }
        self.perform(now);
    }

    /// What the tree brought goes to the pooler.
    fn pass_news(&self, now: Instant) {
        let mut relay = self.relay.borrow_mut();
        let mut pooler = self.pooler.borrow_mut();
        pooler.observe_tree(now, &relay);
        let news = relay.take_updates();
        if !news.is_empty() {
            pooler.apply_updates(now, &news);
        }
    }

    /// Performs what the machines want done.
    fn perform(self: &Rc<Self>, now: Instant) {
        for (to, message) in self.relay.borrow_mut().take_messages() {
            self.links.send(to, &message);
        }
        loop {
            let effects = {
                let mut pooler = self.pooler.borrow_mut();
                pooler.finish_input(now);
                pooler.effects()
            };
            if effects.is_empty() {
                break;
            }
            for effect in effects {
                self.one(effect);
            }
        }
        let due = self.pooler.borrow().next_due().min(self.relay.borrow().next_due());
        self.timer.set(due);
    }

    fn one(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::ToClient(session_id, text) => {
                if let Some(pipe) = self.clients.borrow().get(&session_id) {
                    pipe.write(text.as_bytes());
                }
            }
            Effect::CloseClient(session_id) => {
                if let Some(pipe) = self.clients.borrow().get(&session_id) {
                    pipe.close();
                }
            }
            Effect::CloseIfIdle(session_id) => {
                let now = Instant::now();
                if self.part(now, session_id) {
                    self.pooler.borrow_mut().handle_client_closed(now, session_id);
                }
            }
            Effect::ToBackend(conn, text) => {
                if let Some((pipe, _)) = self.instances.borrow().get(&conn) {
                    pipe.write(text.as_bytes());
                }
            }
            Effect::OpenBackend(conn, address) => self.open(conn, address),
            Effect::CloseBackend(conn) => {
                if let Some((pipe, task)) = self.instances.borrow_mut().remove(&conn) {
                    pipe.cut();
                    // The task may be the one that runs now; dropped, it ends at its next wait.
                    drop(task);
                }
            }
            Effect::Send(to, message) => self.links.send(to, &message),
            Effect::Log(note) => tracing::info!("{note}"),
        }
    }

    /// Closes a client's session, unless something has come from the client that was not read yet: that
    /// is answered first.
    fn part(&self, now: Instant, session_id: SessionId) -> bool {
        let Some(pipe) = self.clients.borrow().get(&session_id).cloned() else { return true };
        if pipe.is_closed() {
            return true;
        }
        if pipe.has_unread() {
            self.pooler.borrow_mut().note_unread_bytes(now, session_id);
            if let Some(far) = self.far.borrow_mut().get_mut(&session_id) {
                far.session.activity.stirs(now);
            }
            return false;
        }
        pipe.close();
        if let Some(carrier) = self.far.borrow_mut().remove(&session_id).and_then(|f| f.carrier) {
            carrier.close();
        }
        true
    }

    fn phase(&self, now: Instant) -> DrainPhase {
        let spent = |since: Instant| DrainPhase::after(now.duration_since(since), self.grace);
        self.leaving.get().map_or(DrainPhase::Serving, spent)
    }

    /// PoolerShares with a session that is passed on, if it may go now.
    fn part_far(&self, now: Instant, session_id: SessionId, answered: bool) {
        let phase = self.phase(now);
        if !answered && phase < DrainPhase::Closing && !self.pooler.borrow().link_is_free(now) {
            return;
        }
        let may = |f: &CarrierLink| f.session.may_close(now, phase, answered);
        if self.far.borrow().get(&session_id).is_some_and(may) {
            self.part(now, session_id);
        }
    }

    fn open(self: &Rc<Self>, conn: ConnectionId, address: SocketAddrV4) {
        let pipe = ByteStream::pending(self.executor);
        let (driver, inner) = (Rc::clone(self), Rc::clone(&pipe));
        let task = self.executor.spawn(async move {
            if let Ok(stream) = Async::<TcpStream>::connect(address).await {
                byte_stream::tune(stream.get_ref(), DARK);
                inner.attach(stream);
                let reader = Rc::clone(&driver);
                inner
                    .read(move |bytes| {
                        let now = Instant::now();
                        reader.pooler.borrow_mut().handle_backend_bytes(now, conn, bytes);
                        reader.perform(now);
                    })
                    .await;
            }
            let now = Instant::now();
            let known = driver.instances.borrow_mut().remove(&conn);
            driver.pooler.borrow_mut().handle_backend_closed(now, conn);
            driver.perform(now);
            drop(known);
        });
        self.instances.borrow_mut().insert(conn, (pipe, task));
    }

    /// Takes clients, or (`carried`) sessions that other poolers pass on.
    fn listen(self: &Rc<Self>, address: SocketAddrV4, carried: bool) -> std::io::Result<()> {
        let listener = Async::<TcpListener>::bind(address)?;
        let door = Rc::clone(self);
        self.executor
            .spawn(async move {
                loop {
                    match listener.accept().await {
                        Ok((stream, _)) => door.accept(stream, carried),
                        Err(_) => drop(smol::Timer::after(Duration::from_millis(20)).await),
                    }
                }
            })
            .detach();
        Ok(())
    }

    fn client_bytes(self: &Rc<Self>, session_id: SessionId, bytes: &[u8]) {
        let now = Instant::now();
        self.pooler.borrow_mut().handle_client_bytes(now, session_id, bytes);
        self.perform(now);
    }

    /// The client's first line decides where the session is served.
    fn hello(self: &Rc<Self>, session_id: SessionId, pipe: &Rc<ByteStream>, first: &[u8]) -> Way {
        let line = first.split(|b| *b == b'\n').next().unwrap_or_default();
        let mut homes = self.pooler.borrow().carriers_for(&String::from_utf8_lossy(line));
        let now = Instant::now();
        let unreached = self.unreached.borrow();
        homes.retain(|ip| unreached.get(ip).is_none_or(|until| now >= *until));
        drop(unreached);
        if homes.is_empty() || self.forwarding_port.is_none() {
            self.pooler.borrow_mut().accept_session(session_id);
            self.client_bytes(session_id, first);
            return Way::Here;
        }
        let revision = self.pooler.borrow().newest_revision();
        let mut session = ForwardedSession::new(revision);
        session.handle_client_bytes(now, first, revision);
        let far = CarrierLink { session, client: Rc::clone(pipe), carrier: None, early: Some(first.to_vec()) };
        self.far.borrow_mut().insert(session_id, far);
        let driver = Rc::clone(self);
        self.executor.spawn(async move { driver.carry(session_id, homes).await }).detach();
        Way::CarrierLink
    }

    /// Passes a session on to the first carrier that answers; with none, it is served here.
    async fn carry(self: Rc<Self>, session_id: SessionId, homes: Vec<Ipv4Addr>) {
        let Some(port) = self.forwarding_port else { return };
        for ip in homes {
            let dialled =
                lichenfield_runtime::within(CARRIER_DIAL, Async::<TcpStream>::connect(SocketAddrV4::new(ip, port)))
                    .await;
            let Some(Ok(stream)) = dialled else {
                self.unreached.borrow_mut().insert(ip, Instant::now() + CARRIER_REST);
                continue;
            };
            byte_stream::tune(stream.get_ref(), CARRIER_DARK);
            let carrier = ByteStream::connected(self.executor, stream);
            {
                let mut all = self.far.borrow_mut();
                let Some(far) = all.get_mut(&session_id).filter(|f| !f.session.is_carrier_lost()) else { return };
                carrier.write(forwarding::revision_line(self.pooler.borrow().newest_revision()).as_bytes());
                carrier.write(far.early.as_deref().unwrap_or_default());
                far.carrier = Some(Rc::clone(&carrier));
            }
            let driver = Rc::clone(&self);
            Rc::clone(&carrier).read(move |bytes| driver.carrier_said(session_id, bytes)).await;
            carrier.close();
            let heard = {
                let mut all = self.far.borrow_mut();
                let Some(far) = all.get_mut(&session_id) else { return };
                far.carrier = None;
                let told = far.early.is_none() && far.sever();
                far.early.is_none().then_some(told)
            };
            if let Some(mut told) = heard {
                // Its client is to hear of it in an answer, or else to be at rest.
                while self.far.borrow().contains_key(&session_id) {
                    self.part_far(Instant::now(), session_id, std::mem::take(&mut told));
                    smol::Timer::after(LEAVE_TURN * 4).await;
                }
                return;
            }
        }
        let Some(far) = self.far.borrow_mut().remove(&session_id) else { return };
        self.pooler.borrow_mut().accept_session(session_id);
        self.client_bytes(session_id, &far.early.unwrap_or_default());
    }

    fn carrier_said(&self, session_id: SessionId, bytes: &[u8]) {
        let mut all = self.far.borrow_mut();
        let Some(far) = all.get_mut(&session_id) else { return };
        far.early = None;
        let heard = far.session.handle_carrier_bytes(bytes);
        if let Some(revision) = heard.served_revision {
            self.pooler.borrow_mut().require_revision(revision);
        }
        far.client.write(&heard.to_client);
        drop(all);
        let now = Instant::now();
        if heard.may_close && self.pooler.borrow().link_is_free(now) {
            self.part(now, session_id);
        } else if !heard.to_client.is_empty() {
            self.part_far(now, session_id, true);
        }
    }

    fn client_said(&self, session_id: SessionId, bytes: &[u8]) {
        let revision = self.pooler.borrow().newest_revision();
        let mut all = self.far.borrow_mut();
        let Some(far) = all.get_mut(&session_id) else { return };
        let now = Instant::now();
        if far.session.is_carrier_lost() {
            far.client.write(far.session.reject_requests(now, bytes).as_bytes());
            drop(all);
            return self.part_far(now, session_id, true);
        }
        let out = far.session.handle_client_bytes(now, bytes, revision);
        if let Some(carrier) = &far.carrier {
            carrier.write(&out);
        }
        if let Some(early) = &mut far.early {
            early.extend_from_slice(bytes);
        }
    }

    fn accept(self: &Rc<Self>, stream: Async<TcpStream>, carried: bool) {
        byte_stream::tune(stream.get_ref(), DARK * 4);
        let session_id = self.next_session.get();
        self.next_session.set(session_id + 1);
        let pipe = ByteStream::connected(self.executor, stream);
        self.clients.borrow_mut().insert(session_id, Rc::clone(&pipe));
        let mut way = Way::Hello(Vec::new());
        if carried {
            if !self.pooler.borrow_mut().accept_forwarded_session(session_id) {
                self.clients.borrow_mut().remove(&session_id);
                return pipe.cut();
            }
            way = Way::Here;
        }
        let driver = Rc::clone(self);
        self.executor
            .spawn(async move {
                let (reader, client) = (Rc::clone(&driver), Rc::clone(&pipe));
                pipe.read(move |bytes| match &mut way {
                    Way::Here => reader.client_bytes(session_id, bytes),
                    Way::CarrierLink if reader.far.borrow().contains_key(&session_id) => {
                        reader.client_said(session_id, bytes)
                    }
                    Way::CarrierLink => {
                        // No carrier answered: it is served here now.
                        way = Way::Here;
                        reader.client_bytes(session_id, bytes);
                    }
                    Way::Hello(first) => {
                        first.extend_from_slice(bytes);
                        if first.contains(&b'\n') || first.len() > HELLO_MAX {
                            let first = std::mem::take(first);
                            way = reader.hello(session_id, &client, &first);
                        }
                    }
                })
                .await;
                driver.clients.borrow_mut().remove(&session_id);
                if let Some(carrier) = driver.far.borrow_mut().remove(&session_id).and_then(|f| f.carrier) {
                    carrier.close();
                }
                let now = Instant::now();
                driver.pooler.borrow_mut().handle_client_closed(now, session_id);
                driver.perform(now);
            })
            .detach();
    }

    /// SIGTERM: sessions at rest go first, transactions get half the grace, what runs gets a little more,
    /// then whoever still waits hears the true state of its request.
    async fn leave(self: &Rc<Self>) {
        let began = Instant::now();
        self.leaving.set(Some(began));
        self.pooler.borrow_mut().begin_draining(began);
        self.perform(began);
        loop {
            smol::Timer::after(LEAVE_TURN).await;
            let now = Instant::now();
            let phase = self.phase(now);
            let latest = LATECOMERS.min(self.grace / 2);
            if phase == DrainPhase::Finished || (self.clients.borrow().is_empty() && now.duration_since(began) > latest)
            {
                break;
            }
            if phase == DrainPhase::Closing {
                self.end_sessions(now);
            } else {
                self.pooler.borrow_mut().close_idle_sessions(now, phase);
            }
            if phase == DrainPhase::RollingBack {
                self.far.borrow_mut().values_mut().filter(|f| f.session.is_in_transaction()).for_each(|f| {
                    f.sever();
                });
            }
            let may = |f: &CarrierLink| f.session.may_close(now, phase, false);
            let going: Vec<SessionId> = self.far.borrow().iter().filter(|(_, f)| may(f)).map(|(s, _)| *s).collect();
            let most = if phase == DrainPhase::Closing { going.len() } else { CLOSED_AT_ONCE };
            going.into_iter().take(most).for_each(|session_id| self.part_far(now, session_id, false));
            self.perform(now);
        }
        let now = Instant::now();
        self.relay.borrow_mut().leave();
        self.pooler.borrow_mut().send_final_report(now);
        self.perform(now);
        smol::Timer::after(LAST_WORDS).await;
    }

    /// Nothing new is begun, and whoever waits is told so.
    fn end_sessions(&self, now: Instant) {
        self.far.borrow_mut().values_mut().for_each(|f| {
            f.sever();
        });
        self.pooler.borrow_mut().close_all_sessions(now);
        // Those that have not even said what they want.
        let mute: Vec<SessionId> = {
            let (pooler, far) = (self.pooler.borrow(), self.far.borrow());
            self.clients.borrow().keys().filter(|s| !pooler.has_session(**s) && !far.contains_key(s)).copied().collect()
        };
        mute.into_iter().for_each(|session_id| {
            self.part(now, session_id);
        });
    }
}
