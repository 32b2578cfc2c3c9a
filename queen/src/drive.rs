//! Joins the control plane's state machine to the disk, sockets, signals and the clock.

use crate::store::Store;
use brood::process::dance::Dance;
use brood::process::duties::Probed;
use brood::process::raft::Write;
use brood::process::repair::Instance;
use brood::process::royal::{Effect, Request, Response, Royal, Token};
use brood::process::settings::Settings;
use comb::boot::{self, Reader, Wish};
use comb::http::{self, Answer, Call};
use comb::links::Links;
use comb::{Alarm, Hive, Shared, shared, within};
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
/// After SIGTERM, the part of its grace in which a queen waits for others to take over what it does.
const LEAVE_SHARE: f64 = 0.5;
/// How often it looks whether they have.
const LEAVE_LOOK: Duration = Duration::from_millis(10);
/// After that, calls under way get this long.
const FAREWELL: Duration = Duration::from_millis(150);
/// Answers of the wire to one probe stay far below this.
const PROBE_BYTES: usize = 16 * 1024;

struct Court {
    hive: Hive,
    royal: Shared<Royal>,
    links: Links,
    alarm: Rc<Alarm>,
    disk: mpsc::Sender<(u64, Write)>,
    /// Messages that wait for a write, in order.
    held: Shared<Vec<(u64, std::net::Ipv4Addr, Dance)>>,
    durable: std::cell::Cell<u64>,
    replies: Shared<HashMap<Token, smol::channel::Sender<Response>>>,
    next_token: std::cell::Cell<Token>,
    platform: Option<SocketAddrV4>,
    node: String,
}

pub async fn serve(
    hive: Hive,
    settings: Settings,
    control: SocketAddrV4,
    data: String,
    mut reader: Reader,
) -> Result<(), String> {
    let mut rng = fastrand::Rng::new();
    let (store, stored) = Store::open(&data, settings.limits.disk_mb << 20, rng.u64(1..))?;
    let (done, durable) = smol::channel::unbounded();
    let court = Rc::new(Court {
        hive,
        royal: shared(Royal::new(Instant::now(), &settings, stored, rng)),
        links: Links::new(hive, settings.ip, settings.hive_port()),
        alarm: Alarm::new(),
        disk: store.run(done),
        held: shared(Vec::new()),
        durable: std::cell::Cell::new(0),
        replies: shared(HashMap::new()),
        next_token: std::cell::Cell::new(1),
        platform: settings.platform.as_ref().map(|p| p.address),
        node: settings.node_name.clone(),
    });
    let inbox = Rc::clone(&court);
    court.links.listen(Rc::new(move |from, dance| inbox.dance(from, dance))).map_err(|e| format!("hive port: {e}"))?;
    let front = Rc::clone(&court);
    http::serve(hive, control, move |call| Rc::clone(&front).answer(call))
        .map_err(|e| format!("control {control}: {e}"))?;

    let (end, ended) = smol::channel::bounded::<Result<(), String>>(1);
    let (disk, failed) = (Rc::clone(&court), end.clone());
    hive.spawn(async move {
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
    let clock = Rc::clone(&court);
    hive.spawn(async move {
        loop {
            clock.tick();
            clock.alarm.wait().await;
        }
    })
    .detach();
    let watched = Rc::clone(&court);
    hive.spawn(boot::watch(move |wish| match wish {
        Wish::Leave => drop(end.try_send(Ok(()))),
        Wish::Dump => comb::ring::dump(),
        Wish::Reread => {
            if let Some(settings) = reader.changed() {
                tracing::info!("settings taken anew");
                watched.royal.borrow_mut().set_bounds(settings.timing_bounds);
            }
        }
    }))
    .detach();
    let result = ended.recv().await.unwrap_or(Ok(()));
    if result.is_ok() {
        court.leave();
        let patience = Duration::from_secs_f64(settings.timing_bounds.grace_s * LEAVE_SHARE);
        within(patience, court.left()).await;
        smol::Timer::after(FAREWELL).await;
    }
    result
}

impl Court {
    fn tick(self: &Rc<Self>) {
        let now = Instant::now();
        let wall = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        self.royal.borrow_mut().tick(now, wall);
        self.perform(now);
    }

    fn leave(self: &Rc<Self>) {
        let now = Instant::now();
        self.royal.borrow_mut().leave(now);
        self.perform(now);
    }

    /// Waits until nothing here is needed any more.
    async fn left(&self) {
        while !self.royal.borrow().may_end() {
            smol::Timer::after(LEAVE_LOOK).await;
        }
    }

    fn dance(self: &Rc<Self>, from: std::net::Ipv4Addr, dance: Dance) {
        let now = Instant::now();
        self.royal.borrow_mut().dance(now, from, dance);
        self.perform(now);
    }

    fn wrote(self: &Rc<Self>, number: u64) {
        let now = Instant::now();
        self.durable.set(number);
        self.royal.borrow_mut().durable(now, number);
        self.perform(now);
    }

    async fn answer(self: Rc<Self>, call: Call) -> Answer {
        let token = self.next_token.get();
        self.next_token.set(token + 1);
        let (sender, receiver) = smol::channel::bounded(1);
        self.replies.borrow_mut().insert(token, sender);
        let now = Instant::now();
        let request = Request { method: call.method, path: call.path, if_match: call.if_match, body: call.body };
        self.royal.borrow_mut().request(now, token, request);
        self.perform(now);
        match receiver.recv().await {
            Ok(response) => Answer { status: response.status, location: response.location, body: response.body },
            Err(_) => Answer::status(503),
        }
    }

    /// Performs what the machine wants done; a message that rests on a write waits until that is durable.
    fn perform(self: &Rc<Self>, now: Instant) {
        let effects = self.royal.borrow_mut().effects();
        for effect in effects {
            match effect {
                Effect::Write(number, write) => {
                    let _ = self.disk.send((number, write));
                }
                Effect::Send(to, dance, after) if after > self.durable.get() => {
                    self.held.borrow_mut().push((after, to, dance))
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
        for (_, to, dance) in ready {
            self.links.send(to, &dance);
        }
        let due = self.royal.borrow().wake(now);
        self.alarm.set(due);
    }

    fn one(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Write(..) => {}
            Effect::Send(to, dance, _) => self.links.send(to, &dance),
            Effect::Reply(token, response) => {
                if let Some(sender) = self.replies.borrow_mut().remove(&token) {
                    let _ = sender.try_send(response);
                }
            }
            Effect::Probe { token, instance, text } => {
                let court = Rc::clone(self);
                self.hive
                    .spawn(async move {
                        let result = within(PROBE, probe(&instance, &text)).await.flatten().unwrap_or(Probed::Failed);
                        let now = Instant::now();
                        court.royal.borrow_mut().probed(now, token, result);
                        court.tick();
                    })
                    .detach();
            }
            Effect::Call { token, path, fence, body } => {
                let court = Rc::clone(self);
                self.hive.spawn(async move { court.call(token, path, fence, body).await }).detach();
            }
            Effect::Note(note) => tracing::info!("{note}"),
            Effect::Alarm(note) => tracing::error!("{note}"),
        }
    }

    async fn call(self: Rc<Self>, token: u64, path: &'static str, fence: u64, body: String) {
        let headers = [("duty-holder", self.node.clone()), ("fence", fence.to_string())];
        let court = Rc::clone(&self);
        let permit = move || court.royal.borrow().may_call(Instant::now(), fence);
        let status = match self.platform {
            Some(to) => http::call(self.hive, to, ("POST", path), &headers, body.into_bytes(), CALL, permit).await,
            None => Err("no platform".to_owned()),
        };
        match &status {
            Ok(answer) => tracing::info!("platform {path}: {}", answer.status),
            Err(why) => tracing::info!("platform {path}: {why}"),
        }
        self.royal.borrow_mut().called(Instant::now(), token, status.ok().map(|a| a.status));
        self.tick();
    }
}

/// One statement of our own at an instance, on a connection of its own.
async fn probe(instance: &Instance, text: &str) -> Option<Probed> {
    let address: SocketAddrV4 = instance.address.parse().ok()?;
    let mut stream = Async::<TcpStream>::connect(address).await.ok()?;
    comb::pipe::tune(stream.get_ref(), PROBE);
    let hello = format!("CONNECT {} - {}\r\n", instance.service, instance.id);
    stream.write_all(hello.as_bytes()).await.ok()?;
    let mut seen = String::new();
    if !until_ready(&mut stream, &mut seen).await? {
        return Some(if seen.starts_with("ERROR FULL") { Probed::Busy } else { Probed::Failed });
    }
    seen.clear();
    stream.write_all(format!("QUERY - {text}\r\n").as_bytes()).await.ok()?;
    until_ready(&mut stream, &mut seen).await?;
    let _ = stream.write_all(b"BYE\r\n").await;
    match seen.strip_prefix("ROW ") {
        Some(rest) => Some(Probed::read(rest.split("\r\n").next().unwrap_or_default())),
        None if seen.starts_with("ERROR BUSY") => Some(Probed::Busy),
        None => Some(Probed::Failed),
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
