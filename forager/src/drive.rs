//! Joins the state machines to sockets, signals and the clock.

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
/// Share of the grace in which open transactions may end, and in which the process ends.
const GRACE_OPEN: f64 = 0.5;
const GRACE_END: f64 = 0.85;
/// What was written last is on its way before the process ends.
const LAST_WORDS: Duration = Duration::from_millis(60);
/// The platform sends new clients for a while after it was told not to.
const LATECOMERS: Duration = Duration::from_millis(2600);

/// A connection to an instance and the task that reads it.
type Opened = (Rc<Pipe>, Task<()>);

struct Cell {
    hive: Hive,
    field: Shared<Field>,
    relay: Shared<Relay>,
    links: Links,
    clients: Shared<HashMap<SessionId, Rc<Pipe>>>,
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
        relay: shared(Relay::new(now, Views::new(card, rng.fork()), seeds, false)),
        links: Links::new(hive, settings.ip, settings.hive_port()),
        clients: shared(HashMap::new()),
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
    let listener = Async::<TcpListener>::bind(session)?;
    let door = Rc::clone(&cell);
    hive.spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => door.accept(stream),
                Err(_) => drop(smol::Timer::after(Duration::from_millis(20)).await),
            }
        }
    })
    .detach();

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
    cell.leave(bounds.grace()).await;
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
            Some(Dance::Grant(grant)) => self.field.borrow_mut().granted(now, from, grant),
            Some(Dance::Recall { service, epoch }) => self.field.borrow_mut().recalled(now, from, &service, epoch),
            _ => {}
        }
        self.perform(now);
    }

    /// What the tree brought goes to the field.
    fn pass_news(&self, now: Instant) {
        let mut relay = self.relay.borrow_mut();
        let mut field = self.field.borrow_mut();
        field.heard_news(now, relay.age(now), relay.leader(), relay.roots());
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
                if let Some(pipe) = self.clients.borrow_mut().remove(&sid) {
                    pipe.close();
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

    fn accept(self: &Rc<Self>, stream: Async<TcpStream>) {
        pipe::tune(stream.get_ref(), DARK * 4);
        let sid = self.next_session.get();
        self.next_session.set(sid + 1);
        let pipe = Pipe::connected(self.hive, stream);
        self.clients.borrow_mut().insert(sid, Rc::clone(&pipe));
        self.field.borrow_mut().accept(sid);
        let cell = Rc::clone(self);
        self.hive
            .spawn(async move {
                let reader = Rc::clone(&cell);
                pipe.read(move |bytes| {
                    let now = Instant::now();
                    reader.field.borrow_mut().client_bytes(now, sid, bytes);
                    reader.perform(now);
                })
                .await;
                cell.clients.borrow_mut().remove(&sid);
                let now = Instant::now();
                cell.field.borrow_mut().client_gone(now, sid);
                cell.perform(now);
            })
            .detach();
    }

    /// SIGTERM: transactions get half the grace, what runs gets a little more, then the end.
    async fn leave(self: &Rc<Self>, grace: Duration) {
        let began = Instant::now();
        self.field.borrow_mut().leave(began);
        self.perform(began);
        loop {
            smol::Timer::after(Duration::from_millis(50)).await;
            let now = Instant::now();
            let spent = now.duration_since(began);
            let empty = self.field.borrow().empty();
            if (empty && spent > LATECOMERS.min(grace.mul_f64(GRACE_OPEN))) || spent > grace.mul_f64(GRACE_END) {
                break;
            }
            if spent > grace.mul_f64(GRACE_OPEN) {
                self.field.borrow_mut().cut_transactions(now);
            } else {
                self.field.borrow_mut().close_resting(now);
            }
            self.perform(now);
        }
        let now = Instant::now();
        self.field.borrow_mut().finish(now);
        self.relay.borrow_mut().leave();
        self.field.borrow_mut().farewell(now);
        self.perform(now);
        smol::Timer::after(LAST_WORDS).await;
    }
}
