//! Joins the state machines to sockets, signals and the clock.

use brood::connection::parting::{CLOSED_AT_ONCE, Phase};
use brood::process::carry::{self, Splice};
use brood::process::dance::Dance;
use brood::process::field::{ConnId, Effect, Field, SessionId};
use brood::process::relay::Relay;
use brood::process::settings::Settings;
use brood::process::views::{Card, Views};
use comb::boot::{self, Reader, Wish};
use comb::http::{self, Answer};
use comb::links::Links;
use comb::pipe::{self, Pipe};
use comb::{Alarm, Hive, Shared, shared};
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

/// A session that another forager serves.
struct Far {
    splice: Splice,
    client: Rc<Pipe>,
    carrier: Option<Rc<Pipe>>,
    /// What the client has sent, until a carrier answers: another one gets it otherwise.
    early: Option<Vec<u8>>,
}

impl Far {
    /// The carrier is not waited for any more. Whether the client waited: then it was told.
    fn sever(&mut self) -> bool {
        let last = if self.splice.is_severed() { String::new() } else { self.splice.sever() };
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
    Far,
}

/// A connection to an instance and the task that reads it.
type Opened = (Rc<Pipe>, Task<()>);

struct Cell {
    hive: Hive,
    field: Shared<Field>,
    relay: Shared<Relay>,
    links: Links,
    clients: Shared<HashMap<SessionId, Rc<Pipe>>>,
    far: Shared<HashMap<SessionId, Far>>,
    carry_port: Option<u16>,
    /// Carriers that could not be reached, until then.
    unreached: Shared<HashMap<Ipv4Addr, Instant>>,
    leaving: std::cell::Cell<Option<Instant>>,
    grace: Duration,
    instances: Shared<HashMap<ConnId, Opened>>,
    alarm: Rc<Alarm>,
    window: Shared<Duration>,
    next_session: std::cell::Cell<SessionId>,
}

pub async fn serve(
    hive: Hive,
    settings: Settings,
    session: SocketAddrV4,
    readiness: SocketAddrV4,
    mut reader: Reader,
) -> std::io::Result<()> {
    let now = Instant::now();
    let mut rng = fastrand::Rng::new();
    let card =
        Card { name: settings.node_name.clone(), ip: settings.ip, zone: settings.zone.clone(), control: None, age: 0 };
    let seeds = settings.seed_nodes.iter().map(|s| *s.ip()).collect();
    let bounds = settings.timing_bounds.clone();
    let field = Field::new(now, &settings.node_name, &settings.zone, bounds.clone(), rng.u64(..));
    let cell = Rc::new(Cell {
        hive,
        field: shared(field),
        relay: shared(Relay::new(now, Views::new(card, rng.fork()), seeds, false, settings.limits.link_mbps)),
        links: Links::new(hive, settings.ip, settings.hive_port()),
        clients: shared(HashMap::new()),
        far: shared(HashMap::new()),
        carry_port: settings.carry_port(),
        unreached: shared(HashMap::new()),
        leaving: std::cell::Cell::new(None),
        grace: bounds.grace(),
        instances: shared(HashMap::new()),
        alarm: Alarm::new(),
        window: shared(bounds.usage_window()),
        next_session: std::cell::Cell::new(1),
    });

    let inbox = Rc::clone(&cell);
    cell.links.listen(Rc::new(move |from, dance| inbox.dance(from, dance)))?;
    let probe = Rc::clone(&cell);
    http::serve(hive, readiness, move |call| {
        let found = call.path == "/api/ready";
        let ready = probe.field.borrow().ready(Instant::now());
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
    cell.listen(session, false)?;
    if let Some(port) = settings.carry_port() {
        cell.listen(SocketAddrV4::new(settings.ip, port), true)?;
    }

    let clock = Rc::clone(&cell);
    hive.spawn(async move {
        loop {
            clock.tick();
            clock.alarm.wait().await;
        }
    })
    .detach();

    let (leave, left) = smol::channel::bounded::<()>(1);
    let watched = Rc::clone(&cell);
    hive.spawn(boot::watch(move |wish| match wish {
        Wish::Leave => drop(leave.try_send(())),
        Wish::Dump => comb::ring::dump(),
        Wish::Reread => {
            if let Some(settings) = reader.changed() {
                tracing::info!("settings taken anew");
                *watched.window.borrow_mut() = settings.timing_bounds.usage_window();
                watched.field.borrow_mut().set_bounds(settings.timing_bounds);
            }
        }
    }))
    .detach();

    let _ = left.recv().await;
    cell.leave().await;
    Ok(())
}

impl Cell {
    fn window_now(&self) -> u64 {
        let wall = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        (wall.as_secs_f64() / self.window.borrow().as_secs_f64()) as u64
    }

    fn tick(self: &Rc<Self>) {
        let now = Instant::now();
        self.relay.borrow_mut().tick(now);
        self.pass_news(now);
        let window = self.window_now();
        self.field.borrow_mut().tick(now, window);
        self.perform(now);
    }

    fn dance(self: &Rc<Self>, from: Ipv4Addr, dance: Dance) {
        let now = Instant::now();
        let rest = self.relay.borrow_mut().receive(now, from, dance);
        self.pass_news(now);
        match rest {
            Some(Dance::Grant(grant)) => {
                self.relay.borrow_mut().leader_answered(now, from, grant.digests.as_ref());
                self.field.borrow_mut().granted(now, from, grant);
            }
            Some(Dance::Poured { nonce, span, term, pours }) => {
                self.field.borrow_mut().poured(now, nonce, span, term, pours)
            }
            Some(Dance::Led { leader }) => self.field.borrow_mut().led(now, leader),
            Some(Dance::Recall { service, epoch }) => self.field.borrow_mut().recalled(now, from, &service, epoch),
            _ => {}
        }
        self.perform(now);
    }

    /// What the tree brought goes to the field.
    fn pass_news(&self, now: Instant) {
        let mut relay = self.relay.borrow_mut();
        let mut field = self.field.borrow_mut();
        field.heard_news(now, &relay);
        let news = relay.news();
        if !news.is_empty() {
            field.learn(now, &news);
        }
    }

    /// Performs what the machines want done.
    fn perform(self: &Rc<Self>, now: Instant) {
        for (to, dance) in self.relay.borrow_mut().messages() {
            self.links.send(to, &dance);
        }
        loop {
            let effects = {
                let mut field = self.field.borrow_mut();
                field.settle(now);
                field.effects()
            };
            if effects.is_empty() {
                break;
            }
            for effect in effects {
                self.one(effect);
            }
        }
        let due = self.field.borrow().next_due().min(self.relay.borrow().next_due());
        self.alarm.set(due);
    }

    fn one(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::ToClient(sid, text) => {
                if let Some(pipe) = self.clients.borrow().get(&sid) {
                    pipe.write(text.as_bytes());
                }
            }
            Effect::CloseClient(sid) => {
                if let Some(pipe) = self.clients.borrow().get(&sid) {
                    pipe.close();
                }
            }
            Effect::Part(sid) => {
                let now = Instant::now();
                if self.part(now, sid) {
                    self.field.borrow_mut().client_gone(now, sid);
                }
            }
            Effect::ToInstance(conn, text) => {
                if let Some((pipe, _)) = self.instances.borrow().get(&conn) {
                    pipe.write(text.as_bytes());
                }
            }
            Effect::Open(conn, address) => self.open(conn, address),
            Effect::CloseInstance(conn) => {
                if let Some((pipe, task)) = self.instances.borrow_mut().remove(&conn) {
                    pipe.cut();
                    // The task may be the one that runs now; dropped, it ends at its next wait.
                    drop(task);
                }
            }
            Effect::Send(to, dance) => self.links.send(to, &dance),
            Effect::Note(note) => tracing::info!("{note}"),
        }
    }

    /// Closes a client's session, unless something has come from the client that was not read yet: that
    /// is answered first.
    fn part(&self, now: Instant, sid: SessionId) -> bool {
        let Some(pipe) = self.clients.borrow().get(&sid).cloned() else { return true };
        if pipe.is_closed() {
            return true;
        }
        if pipe.has_unread() {
            self.field.borrow_mut().stirs(now, sid);
            if let Some(far) = self.far.borrow_mut().get_mut(&sid) {
                far.splice.gait.stirs(now);
            }
            return false;
        }
        pipe.close();
        if let Some(carrier) = self.far.borrow_mut().remove(&sid).and_then(|f| f.carrier) {
            carrier.close();
        }
        true
    }

    fn phase(&self, now: Instant) -> Phase {
        let spent = |since: Instant| Phase::after(now.duration_since(since), self.grace);
        self.leaving.get().map_or(Phase::Serves, spent)
    }

    /// Parts with a session that is passed on, if it may go now.
    fn part_far(&self, now: Instant, sid: SessionId, answered: bool) {
        let phase = self.phase(now);
        if !answered && phase < Phase::Ends && !self.field.borrow().link_is_free(now) {
            return;
        }
        let may = |f: &Far| f.splice.may_close(now, phase, answered);
        if self.far.borrow().get(&sid).is_some_and(may) {
            self.part(now, sid);
        }
    }

    fn open(self: &Rc<Self>, conn: ConnId, address: SocketAddrV4) {
        let pipe = Pipe::pending(self.hive);
        let (cell, inner) = (Rc::clone(self), Rc::clone(&pipe));
        let task = self.hive.spawn(async move {
            if let Ok(stream) = Async::<TcpStream>::connect(address).await {
                pipe::tune(stream.get_ref(), DARK);
                inner.attach(stream);
                let reader = Rc::clone(&cell);
                inner
                    .read(move |bytes| {
                        let now = Instant::now();
                        reader.field.borrow_mut().instance_bytes(now, conn, bytes);
                        reader.perform(now);
                    })
                    .await;
            }
            let now = Instant::now();
            let known = cell.instances.borrow_mut().remove(&conn);
            cell.field.borrow_mut().instance_gone(now, conn);
            cell.perform(now);
            drop(known);
        });
        self.instances.borrow_mut().insert(conn, (pipe, task));
    }

    /// Takes clients, or (`carried`) sessions that other foragers pass on.
    fn listen(self: &Rc<Self>, address: SocketAddrV4, carried: bool) -> std::io::Result<()> {
        let listener = Async::<TcpListener>::bind(address)?;
        let door = Rc::clone(self);
        self.hive
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

    fn client_bytes(self: &Rc<Self>, sid: SessionId, bytes: &[u8]) {
        let now = Instant::now();
        self.field.borrow_mut().client_bytes(now, sid, bytes);
        self.perform(now);
    }

    /// The client's first line decides where the session is served.
    fn hello(self: &Rc<Self>, sid: SessionId, pipe: &Rc<Pipe>, first: &[u8]) -> Way {
        let line = first.split(|b| *b == b'\n').next().unwrap_or_default();
        let mut homes = self.field.borrow().homes(&String::from_utf8_lossy(line));
        let now = Instant::now();
        let unreached = self.unreached.borrow();
        homes.retain(|ip| unreached.get(ip).is_none_or(|until| now >= *until));
        drop(unreached);
        if homes.is_empty() || self.carry_port.is_none() {
            self.field.borrow_mut().accept(sid);
            self.client_bytes(sid, first);
            return Way::Here;
        }
        let revision = self.field.borrow().newest();
        let mut splice = Splice::new(revision);
        splice.client_said(now, first, revision);
        let far = Far { splice, client: Rc::clone(pipe), carrier: None, early: Some(first.to_vec()) };
        self.far.borrow_mut().insert(sid, far);
        let cell = Rc::clone(self);
        self.hive.spawn(async move { cell.carry(sid, homes).await }).detach();
        Way::Far
    }

    /// Passes a session on to the first carrier that answers; with none, it is served here.
    async fn carry(self: Rc<Self>, sid: SessionId, homes: Vec<Ipv4Addr>) {
        let Some(port) = self.carry_port else { return };
        for ip in homes {
            let dialled = comb::within(CARRIER_DIAL, Async::<TcpStream>::connect(SocketAddrV4::new(ip, port))).await;
            let Some(Ok(stream)) = dialled else {
                self.unreached.borrow_mut().insert(ip, Instant::now() + CARRIER_REST);
                continue;
            };
            pipe::tune(stream.get_ref(), CARRIER_DARK);
            let carrier = Pipe::connected(self.hive, stream);
            {
                let mut all = self.far.borrow_mut();
                let Some(far) = all.get_mut(&sid).filter(|f| !f.splice.is_severed()) else { return };
                carrier.write(carry::revision_line(self.field.borrow().newest()).as_bytes());
                carrier.write(far.early.as_deref().unwrap_or_default());
                far.carrier = Some(Rc::clone(&carrier));
            }
            let cell = Rc::clone(&self);
            Rc::clone(&carrier).read(move |bytes| cell.carrier_said(sid, bytes)).await;
            carrier.close();
            let heard = {
                let mut all = self.far.borrow_mut();
                let Some(far) = all.get_mut(&sid) else { return };
                far.carrier = None;
                let told = far.early.is_none() && far.sever();
                far.early.is_none().then_some(told)
            };
            if let Some(mut told) = heard {
                // Its client is to hear of it in an answer, or else to be at rest.
                while self.far.borrow().contains_key(&sid) {
                    self.part_far(Instant::now(), sid, std::mem::take(&mut told));
                    smol::Timer::after(LEAVE_TURN * 4).await;
                }
                return;
            }
        }
        let Some(far) = self.far.borrow_mut().remove(&sid) else { return };
        self.field.borrow_mut().accept(sid);
        self.client_bytes(sid, &far.early.unwrap_or_default());
    }

    fn carrier_said(&self, sid: SessionId, bytes: &[u8]) {
        let mut all = self.far.borrow_mut();
        let Some(far) = all.get_mut(&sid) else { return };
        far.early = None;
        let heard = far.splice.carrier_said(bytes);
        if let Some(revision) = heard.seen {
            self.field.borrow_mut().require(revision);
        }
        far.client.write(&heard.down);
        drop(all);
        let now = Instant::now();
        if heard.part && self.field.borrow().link_is_free(now) {
            self.part(now, sid);
        } else if !heard.down.is_empty() {
            self.part_far(now, sid, true);
        }
    }

    fn client_said(&self, sid: SessionId, bytes: &[u8]) {
        let revision = self.field.borrow().newest();
        let mut all = self.far.borrow_mut();
        let Some(far) = all.get_mut(&sid) else { return };
        let now = Instant::now();
        if far.splice.is_severed() {
            far.client.write(far.splice.refuse(now, bytes).as_bytes());
            drop(all);
            return self.part_far(now, sid, true);
        }
        let out = far.splice.client_said(now, bytes, revision);
        if let Some(carrier) = &far.carrier {
            carrier.write(&out);
        }
        if let Some(early) = &mut far.early {
            early.extend_from_slice(bytes);
        }
    }

    fn accept(self: &Rc<Self>, stream: Async<TcpStream>, carried: bool) {
        pipe::tune(stream.get_ref(), DARK * 4);
        let sid = self.next_session.get();
        self.next_session.set(sid + 1);
        let pipe = Pipe::connected(self.hive, stream);
        self.clients.borrow_mut().insert(sid, Rc::clone(&pipe));
        let mut way = Way::Hello(Vec::new());
        if carried {
            if !self.field.borrow_mut().accept_carried(sid) {
                self.clients.borrow_mut().remove(&sid);
                return pipe.cut();
            }
            way = Way::Here;
        }
        let cell = Rc::clone(self);
        self.hive
            .spawn(async move {
                let (reader, client) = (Rc::clone(&cell), Rc::clone(&pipe));
                pipe.read(move |bytes| match &mut way {
                    Way::Here => reader.client_bytes(sid, bytes),
                    Way::Far if reader.far.borrow().contains_key(&sid) => reader.client_said(sid, bytes),
                    Way::Far => {
                        // No carrier answered: it is served here now.
                        way = Way::Here;
                        reader.client_bytes(sid, bytes);
                    }
                    Way::Hello(first) => {
                        first.extend_from_slice(bytes);
                        if first.contains(&b'\n') || first.len() > HELLO_MAX {
                            let first = std::mem::take(first);
                            way = reader.hello(sid, &client, &first);
                        }
                    }
                })
                .await;
                cell.clients.borrow_mut().remove(&sid);
                if let Some(carrier) = cell.far.borrow_mut().remove(&sid).and_then(|f| f.carrier) {
                    carrier.close();
                }
                let now = Instant::now();
                cell.field.borrow_mut().client_gone(now, sid);
                cell.perform(now);
            })
            .detach();
    }

    /// SIGTERM: sessions at rest go first, transactions get half the grace, what runs gets a little more,
    /// then whoever still waits hears the true state of its request.
    async fn leave(self: &Rc<Self>) {
        let began = Instant::now();
        self.leaving.set(Some(began));
        self.field.borrow_mut().leave(began);
        self.perform(began);
        loop {
            smol::Timer::after(LEAVE_TURN).await;
            let now = Instant::now();
            let phase = self.phase(now);
            let latest = LATECOMERS.min(self.grace / 2);
            if phase == Phase::Over || (self.clients.borrow().is_empty() && now.duration_since(began) > latest) {
                break;
            }
            if phase == Phase::Ends {
                self.end_sessions(now);
            } else {
                self.field.borrow_mut().close_resting(now, phase);
            }
            if phase == Phase::Cuts {
                self.far.borrow_mut().values_mut().filter(|f| f.splice.is_open()).for_each(|f| {
                    f.sever();
                });
            }
            let may = |f: &Far| f.splice.may_close(now, phase, false);
            let going: Vec<SessionId> = self.far.borrow().iter().filter(|(_, f)| may(f)).map(|(s, _)| *s).collect();
            let most = if phase == Phase::Ends { going.len() } else { CLOSED_AT_ONCE };
            going.into_iter().take(most).for_each(|sid| self.part_far(now, sid, false));
            self.perform(now);
        }
        let now = Instant::now();
        self.relay.borrow_mut().leave();
        self.field.borrow_mut().farewell(now);
        self.perform(now);
        smol::Timer::after(LAST_WORDS).await;
    }

    /// Nothing new is begun, and whoever waits is told so.
    fn end_sessions(&self, now: Instant) {
        self.far.borrow_mut().values_mut().for_each(|f| {
            f.sever();
        });
        self.field.borrow_mut().finish(now);
        // Those that have not even said what they want.
        let mute: Vec<SessionId> = {
            let (field, far) = (self.field.borrow(), self.far.borrow());
            self.clients.borrow().keys().filter(|s| !field.knows(**s) && !far.contains_key(s)).copied().collect()
        };
        mute.into_iter().for_each(|sid| {
            self.part(now, sid);
        });
    }
}
