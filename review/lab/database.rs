//! A stand-in for a database group and for the platform, as the pages describe them.
//!
//! Every instance keeps its own log. A replica that can hear receives what the primary commits at once and applies it
//! 60 ms later. With `sync` the primary answers a commit once one replica has received it.

use crate::record::{note, say};
use crate::wire::{Lines, call, split};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

const HANDSHAKE: Duration = Duration::from_millis(12);
const APPLY_LAG: Duration = Duration::from_millis(60);
const BEAT: Duration = Duration::from_millis(1200);
const PROMOTE: Duration = Duration::from_millis(600);

/// A position in a log.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct Position(pub u64, pub u64);

impl std::fmt::Display for Position {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.0, self.1)
    }
}

/// A commit: its position, the ids of the statements whose writes it holds, and when it was received.
#[derive(Clone)]
struct Entry {
    position: Position,
    writes: Vec<String>,
    received_at: Instant,
}

pub struct Instance {
    pub id: String,
    pub address: SocketAddr,
    zone: String,
    pub up: bool,
    pub primary: bool,
    term: u64,
    log: Vec<Entry>,
    /// It receives nothing.
    pub deaf: bool,
    /// The share of its requests that it fails.
    pub grey: f64,
    busy: usize,
    connections: BTreeMap<u64, TcpStream>,
    beats: u64,
    steps_down_at: Option<Instant>,
}

impl Instance {
    /// The last position received.
    fn received(&self) -> Position {
        Position(self.term, self.log.last().map_or(0, |entry| entry.position.1))
    }

    /// The last position that a read sees.
    fn applied(&self) -> Position {
        if self.primary {
            return self.received();
        }
        let applied = self.log.iter().rev().find(|entry| entry.received_at.elapsed() >= APPLY_LAG);
        Position(self.term, applied.map_or(0, |entry| entry.position.1))
    }
}

/// A commit as the instance made it.
#[derive(Clone)]
pub struct Commit {
    pub connection: String,
    pub id: String,
    /// The statements that ran in the transaction, the commit left out.
    pub ran: Vec<String>,
}

pub struct State {
    pub service: String,
    pub sync: bool,
    pub slots: usize,
    pub max_connections: usize,
    pub read_work: (u64, u64),
    pub instances: Vec<Instance>,
    pub commits: Vec<Commit>,
    /// Ids of the reads, writes and commits that arrived.
    pub arrived: BTreeSet<String>,
    /// Reads and writes that ran: the statement's id, and the tenant that the connection was opened for.
    pub ran: Vec<(String, String)>,
    /// The instances that were promoted: the id, and the ids of all writes in its log then.
    pub promoted: Vec<(String, Vec<String>)>,
    pub failover_calls: usize,
    next_connection: u64,
    seed: u64,
    controllers: Vec<SocketAddr>,
}

impl State {
    /// A number from 0 up to 1, drawn by a generator with a fixed seed.
    fn draw(&mut self) -> f64 {
        self.seed ^= self.seed << 13;
        self.seed ^= self.seed >> 7;
        self.seed ^= self.seed << 17;
        (self.seed >> 11) as f64 / (1u64 << 53) as f64
    }

    fn leader(&self) -> Option<usize> {
        let up = self.instances.iter().enumerate().filter(|(_, instance)| instance.primary && instance.up);
        up.max_by_key(|(_, instance)| instance.term).map(|(index, _)| index)
    }

    /// The replicas that can hear take over what the newest primary has, and are cut back where they were ahead.
    fn replicate(&mut self) {
        let Some(leader) = self.leader() else { return };
        let (term, log) = (self.instances[leader].term, self.instances[leader].log.clone());
        let now = Instant::now();
        for (index, instance) in self.instances.iter_mut().enumerate() {
            if index == leader || !instance.up || instance.deaf || instance.primary {
                continue;
            }
            instance.term = term;
            let same = instance.log.iter().zip(&log).take_while(|(own, other)| own.position == other.position).count();
            instance.log.truncate(same);
            instance.log.extend(log[same..].iter().map(|entry| Entry { received_at: now, ..entry.clone() }));
        }
    }

    fn status_row(&self, index: usize) -> String {
        let instance = &self.instances[index];
        let role = if instance.primary { "primary" } else { "replica" };
        let lag = if instance.primary { 0 } else { APPLY_LAG.as_millis() };
        format!(
            "ROW {role} {} {} 0 {lag} {} {}\r\nDONE -\r\n",
            instance.term,
            instance.received(),
            instance.busy,
            instance.connections.len()
        )
    }
}

/// A database group and the platform.
pub struct Group {
    pub state: Mutex<State>,
    changed: Condvar,
}

pub struct Options {
    pub service: &'static str,
    pub sync: bool,
    pub slots: usize,
    pub max_connections: usize,
    /// The least and the most time that a read takes, in milliseconds.
    pub read_work: (u64, u64),
}

/// How a connection's transaction stands.
struct Transaction {
    read: bool,
    failed: bool,
    writes: Vec<String>,
    ran: Vec<String>,
}

impl Group {
    pub fn start(
        options: &Options,
        addresses: &[(SocketAddr, String)],
        platform: SocketAddr,
        controllers: Vec<SocketAddr>,
    ) -> Arc<Group> {
        let instance = |(number, (address, zone)): (usize, &(SocketAddr, String))| Instance {
            id: format!("i-{}", number + 1),
            address: *address,
            zone: zone.clone(),
            up: true,
            primary: number == 0,
            term: 1,
            log: Vec::new(),
            deaf: false,
            grey: 0.0,
            busy: 0,
            connections: BTreeMap::new(),
            beats: 0,
            steps_down_at: None,
        };
        let state = State {
            service: options.service.to_owned(),
            sync: options.sync,
            slots: options.slots,
            max_connections: options.max_connections,
            read_work: options.read_work,
            instances: addresses.iter().enumerate().map(instance).collect(),
            commits: Vec::new(),
            arrived: BTreeSet::new(),
            ran: Vec::new(),
            promoted: Vec::new(),
            failover_calls: 0,
            next_connection: 0,
            seed: 0x9e37_79b9_7f4a_7c15,
            controllers,
        };
        let group = Arc::new(Group { state: Mutex::new(state), changed: Condvar::new() });
        for index in 0..addresses.len() {
            let accepting = Arc::clone(&group);
            thread::spawn(move || accepting.accept(index));
            let beating = Arc::clone(&group);
            thread::spawn(move || beating.beat(index));
        }
        let replicating = Arc::clone(&group);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(2));
                let mut state = replicating.lock();
                state.replicate();
                replicating.end_old_primaries(&mut state);
            }
        });
        let promoting = Arc::clone(&group);
        let listener = TcpListener::bind(platform).expect("the platform's address is free");
        thread::spawn(move || promoting.platform(listener));
        group
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// The primary carries on until a second after it can reach its successor.
    fn end_old_primaries(&self, state: &mut State) {
        let Some(leader) = state.leader() else { return };
        let term = state.instances[leader].term;
        for instance in state.instances.iter_mut().filter(|instance| instance.up && instance.primary) {
            if instance.term < term {
                let at = *instance.steps_down_at.get_or_insert(Instant::now() + Duration::from_secs(1));
                if Instant::now() >= at {
                    (instance.primary, instance.steps_down_at) = (false, None);
                }
            }
        }
    }

    /// An instance's process ends at once; its log is kept.
    pub fn crash(&self, index: usize) {
        let mut state = self.lock();
        let instance = &mut state.instances[index];
        instance.up = false;
        for (_, stream) in std::mem::take(&mut instance.connections) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        say(format!("{} crashes", instance.id));
        drop(state);
        self.changed.notify_all();
    }

    /// A crashed instance returns: as replica if another was promoted.
    pub fn restart(&self, index: usize) {
        let mut state = self.lock();
        let newest = state.instances.iter().map(|instance| instance.term).max().unwrap_or(0);
        let instance = &mut state.instances[index];
        instance.up = true;
        instance.primary &= instance.term == newest;
        say(format!("{} returns", instance.id));
    }

    // Connections.

    fn accept(self: Arc<Self>, index: usize) {
        let address = self.lock().instances[index].address;
        let mut listener = None;
        loop {
            thread::sleep(Duration::from_millis(1));
            if !self.lock().instances[index].up {
                listener = None;
                continue;
            }
            if listener.is_none() {
                let Ok(bound) = TcpListener::bind(address) else { continue };
                bound.set_nonblocking(true).expect("a listener can be set not to block");
                listener = Some(bound);
            }
            while let Some(Ok((stream, _))) = listener.as_ref().map(TcpListener::accept) {
                stream.set_nonblocking(false).expect("a connection can be set to block");
                let group = Arc::clone(&self);
                thread::spawn(move || group.converse(index, stream));
            }
        }
    }

    fn converse(self: Arc<Self>, index: usize, stream: TcpStream) {
        let number = {
            let mut state = self.lock();
            state.next_connection += 1;
            let number = state.next_connection;
            let (full, up) = {
                let instance = &state.instances[index];
                (instance.connections.len() >= state.max_connections, instance.up)
            };
            if !up {
                return;
            }
            if full {
                drop(state);
                let _ = Lines::new(stream).send("ERROR FULL connections\r\n");
                return;
            }
            let Ok(copy) = stream.try_clone() else { return };
            state.instances[index].connections.insert(number, copy);
            number
        };
        let mut connection = Connection {
            group: &self,
            index,
            name: format!("{}/{number}", self.lock().instances[index].id),
            tenant: String::new(),
            transaction: None,
            values: BTreeMap::new(),
            prepared: BTreeMap::new(),
        };
        let mut lines = Lines::new(stream);
        let _ = connection.run(&mut lines);
        let _ = lines.stream.shutdown(Shutdown::Both);
        self.lock().instances[index].connections.remove(&number);
    }

    /// Takes a slot of the instance for this long; fails if the instance ends meanwhile.
    fn work(&self, index: usize, time: Duration) -> bool {
        let mut state = self.lock();
        while state.instances[index].up && state.instances[index].busy >= state.slots {
            state = self.changed.wait_timeout(state, Duration::from_millis(50)).unwrap().0;
        }
        if !state.instances[index].up {
            return false;
        }
        state.instances[index].busy += 1;
        drop(state);
        thread::sleep(time);
        let mut state = self.lock();
        state.instances[index].busy -= 1;
        let up = state.instances[index].up;
        drop(state);
        self.changed.notify_all();
        up
    }

    /// Commits at the primary; with `sync`, waits until a replica has received it. The position, unless the instance
    /// ends meanwhile.
    fn commit(&self, index: usize, commit: Commit, writes: Vec<String>) -> Option<Position> {
        let mut state = self.lock();
        if !state.instances[index].up {
            return None;
        }
        let term = state.instances[index].term;
        let position = Position(term, state.instances[index].received().1 + 1);
        state.instances[index].log.push(Entry { position, writes, received_at: Instant::now() });
        state.commits.push(commit);
        state.replicate();
        let received = |state: &State| {
            let others = state.instances.iter().enumerate().filter(|(other, _)| *other != index);
            others.clone().any(|(_, other)| other.log.iter().rev().any(|entry| entry.position == position))
        };
        while state.sync && !received(&state) {
            if !state.instances[index].up {
                return None;
            }
            state = self.changed.wait_timeout(state, Duration::from_millis(5)).unwrap().0;
        }
        state.instances[index].up.then_some(position)
    }

    // Heartbeats.

    fn beat(self: Arc<Self>, index: usize) {
        let mut turn = index;
        let mut role = None;
        let mut due = Instant::now();
        loop {
            thread::sleep(Duration::from_millis(20));
            let (path, body, controllers) = {
                let mut state = self.lock();
                let (service, controllers) = (state.service.clone(), state.controllers.clone());
                let slots = state.slots;
                let instance = &mut state.instances[index];
                if !instance.up || (Instant::now() < due && role == Some(instance.primary)) {
                    continue;
                }
                role = Some(instance.primary);
                due = Instant::now() + BEAT;
                instance.beats += 1;
                let body = format!(
                    "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{}\",\"revision\":\"v1\",\
                     \"capacity\":{slots},\"status\":\"ready\",\"warmup-left-ms\":0,\"read-from\":\"{}\",\
                     \"call-count\":{}}}",
                    instance.address,
                    instance.zone,
                    if instance.primary { "primary" } else { "replica" },
                    instance.beats
                );
                (format!("/api/instances/{}", instance.id), body, controllers)
            };
            for _ in 0..controllers.len() {
                let controller = controllers[turn % controllers.len()];
                match call(controller, "PUT", &path, "", &body, Duration::from_secs(1)) {
                    Ok((200..=299, ..)) => break,
                    _ => turn += 1,
                }
            }
        }
    }

    // The platform.

    fn platform(self: Arc<Self>, listener: TcpListener) {
        for stream in listener.incoming().flatten() {
            let group = Arc::clone(&self);
            thread::spawn(move || {
                let mut lines = Lines::new(stream);
                while let Ok((path, holder, fence, body)) = read_call(&mut lines) {
                    note(format!("platform: {path} by {holder}, fence {fence}: {body}"));
                    let status = if path == "/failover" { group.failover(&body) } else { 200 };
                    if lines.send(&format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n")).is_err() {
                        return;
                    }
                }
            });
        }
    }

    /// Promotes the instance that the body names, some hundred ms later.
    fn failover(self: &Arc<Self>, body: &str) -> u16 {
        let id = body.split("\"id\":\"").nth(1).and_then(|rest| rest.split('"').next()).unwrap_or("").to_owned();
        let mut state = self.lock();
        state.failover_calls += 1;
        let Some(index) = state.instances.iter().position(|instance| instance.id == id) else { return 409 };
        if !state.instances[index].up {
            return 409;
        }
        if state.leader() == Some(index) {
            return 200;
        }
        drop(state);
        let group = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(PROMOTE);
            let mut state = group.lock();
            let term = state.instances.iter().map(|instance| instance.term).max().unwrap_or(0) + 1;
            let instance = &mut state.instances[index];
            if !instance.up || instance.primary {
                return;
            }
            (instance.primary, instance.term, instance.deaf) = (true, term, false);
            let received = instance.received();
            let writes = instance.log.iter().flat_map(|entry| entry.writes.clone()).collect();
            say(format!("{id} leads term {term} with {received}"));
            state.promoted.push((id, writes));
        });
        200
    }
}

/// Reads a call of the platform: path, holder, fence and body.
fn read_call(lines: &mut Lines) -> std::io::Result<(String, String, String, String)> {
    let path = lines.line()?.split(' ').nth(1).unwrap_or("").to_owned();
    let (mut holder, mut fence, mut length) = (String::new(), String::new(), 0);
    loop {
        let line = lines.line()?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').unwrap_or((&line, ""));
        match name.to_ascii_lowercase().as_str() {
            "duty-holder" => holder = value.trim().to_owned(),
            "fence" => fence = value.trim().to_owned(),
            "content-length" => length = value.trim().parse().unwrap_or(0),
            _ => {}
        }
    }
    let body = lines.bytes(length)?;
    Ok((path, holder, fence, String::from_utf8_lossy(&body).into_owned()))
}

/// One connection to an instance.
struct Connection<'a> {
    group: &'a Arc<Group>,
    index: usize,
    name: String,
    tenant: String,
    transaction: Option<Transaction>,
    values: BTreeMap<String, String>,
    prepared: BTreeMap<String, String>,
}

impl Connection<'_> {
    fn run(&mut self, lines: &mut Lines) -> std::io::Result<()> {
        let first = lines.line()?;
        let fields: Vec<&str> = first.split(' ').collect();
        let (service, id) = {
            let state = self.group.lock();
            (state.service.clone(), state.instances[self.index].id.clone())
        };
        if fields[0] != "CONNECT" || fields.get(1) != Some(&service.as_str()) || fields.get(3).is_some_and(|f| *f != id)
        {
            return lines.send("ERROR WRONGHOST another\r\n");
        }
        self.tenant = fields.get(2).unwrap_or(&"").to_string();
        thread::sleep(HANDSHAKE);
        let ready = self.ready();
        lines.send(&ready)?;
        loop {
            let line = lines.line()?;
            let (word, rest) = split(&line);
            match word {
                "QUERY" => {
                    let (id, text) = split(rest);
                    let Some(answer) = self.answer(id, text) else { return Ok(()) };
                    let answer = answer + &self.ready();
                    lines.send(&answer)?;
                }
                _ => return Ok(()),
            }
        }
    }

    fn ready(&self) -> String {
        let position = self.group.lock().instances[self.index].applied();
        let state = match &self.transaction {
            None => 'I',
            Some(transaction) if transaction.failed => 'E',
            Some(_) => 'T',
        };
        format!("READY {state} {position}\r\n")
    }

    fn fail(&mut self, code: &str) -> Option<String> {
        if let Some(transaction) = &mut self.transaction {
            transaction.failed = true;
        }
        let id = self.group.lock().instances[self.index].id.clone();
        Some(format!("ERROR {code} {id}\r\n"))
    }

    /// The answer without its `READY`; none if the instance has ended.
    fn answer(&mut self, id: &str, text: &str) -> Option<String> {
        let answer = self.execute(id, text)?;
        let up = self.group.lock().instances[self.index].up;
        let shown = answer.lines().last().unwrap_or("").to_owned();
        note(format!("{} for {}: QUERY {id} {text} -> {shown}", self.name, self.tenant));
        up.then_some(answer)
    }

    fn execute(&mut self, id: &str, whole: &str) -> Option<String> {
        let mut text = whole;
        if let Some(rest) = whole.strip_prefix("WAITFOR ") {
            let (position, rest) = split(rest);
            let (term, number) = position.split_once('.').unwrap_or(("0", "0"));
            let wanted = Position(term.parse().unwrap_or(0), number.parse().unwrap_or(0));
            if self.group.lock().instances[self.index].received() < wanted {
                return Some("ERROR LAGGING behind\r\n".to_owned());
            }
            while self.group.lock().instances[self.index].applied() < wanted {
                thread::sleep(Duration::from_millis(2));
            }
            text = rest;
        }
        let (word, rest) = split(text);
        // The instance's own calls.
        match word {
            "STATUS" => {
                let state = self.group.lock();
                let has_slot = state.instances[self.index].busy < state.slots;
                return Some(if has_slot { state.status_row(self.index) } else { "ERROR BUSY slots\r\n".to_owned() });
            }
            "STEPDOWN" => {
                let mut state = self.group.lock();
                let term: u64 = rest.parse().unwrap_or(0);
                let instance = &mut state.instances[self.index];
                if instance.primary && instance.term < term {
                    instance.primary = false;
                }
                return Some(state.status_row(self.index));
            }
            "PAUSE" | "RESUME" => return Some(self.group.lock().status_row(self.index)),
            _ => {}
        }
        self.group.lock().arrived.insert(id.to_owned());
        // An instance that fails part of its requests: this one was run, and fails.
        let fails = {
            let mut state = self.group.lock();
            let share = state.instances[self.index].grey;
            share > 0.0 && state.draw() < share
        };
        let primary = self.group.lock().instances[self.index].primary;
        match &self.transaction {
            Some(transaction) if transaction.failed && !matches!(word, "COMMIT" | "ROLLBACK") => {
                return Some("ERROR MALFORMED the transaction has failed\r\n".to_owned());
            }
            Some(transaction) if !transaction.read && !primary && !matches!(word, "ROLLBACK") => {
                let wrote = !transaction.writes.is_empty();
                if word == "COMMIT" {
                    let transaction = self.transaction.take();
                    if wrote || transaction.is_some_and(|transaction| transaction.failed) {
                        return self.fail("READONLY");
                    }
                } else {
                    return self.fail("READONLY");
                }
            }
            _ => {}
        }
        if fails && word != "ROLLBACK" {
            if word == "COMMIT" {
                self.transaction = None;
            }
            return self.fail("FAILED");
        }
        match word {
            "SET" => {
                let (name, value) = split(rest);
                self.values.insert(name.to_owned(), value.to_owned());
            }
            "PREPARE" => {
                let (name, shape) = split(rest);
                self.prepared.insert(name.to_owned(), shape.to_owned());
            }
            "FORGET" => drop(self.prepared.remove(rest)),
            "RESET" => {
                self.values.clear();
                self.prepared.clear();
            }
            "BEGIN" => {
                let read = rest == "READ";
                if !read && !primary {
                    return self.fail("READONLY");
                }
                self.transaction = Some(Transaction { read, failed: false, writes: Vec::new(), ran: Vec::new() });
            }
            "ROLLBACK" => self.transaction = None,
            "COMMIT" => {
                let Some(transaction) = self.transaction.take() else { return self.fail("MALFORMED") };
                if transaction.failed {
                    return self.fail("ABORTED");
                }
                if !self.group.work(self.index, Duration::from_millis(3)) {
                    return None;
                }
                let commit = Commit { connection: self.name.clone(), id: id.to_owned(), ran: transaction.ran };
                if transaction.writes.is_empty() {
                    self.group.lock().commits.push(commit);
                } else {
                    self.group.commit(self.index, commit, transaction.writes)?;
                }
                return Some("DONE stamp\r\n".to_owned());
            }
            "READ" => return self.data(id, false),
            "WRITE" => return self.data(id, true),
            "RUN" => {
                let shape = self.prepared.get(split(rest).0).cloned();
                let Some(shape) = shape else { return self.fail("UNKNOWN") };
                return self.data(id, shape.starts_with("WRITE"));
            }
            _ => return self.fail("MALFORMED"),
        }
        Some("DONE -\r\n".to_owned())
    }

    /// A read or a write.
    fn data(&mut self, id: &str, write: bool) -> Option<String> {
        if write && !self.group.lock().instances[self.index].primary {
            return self.fail("READONLY");
        }
        let time = if write {
            6
        } else {
            let mut state = self.group.lock();
            let (least, most) = state.read_work;
            least + (state.draw() * (most - least) as f64) as u64
        };
        if !self.group.work(self.index, Duration::from_millis(time)) {
            return None;
        }
        self.group.lock().ran.push((id.to_owned(), self.tenant.clone()));
        match &mut self.transaction {
            Some(transaction) => {
                transaction.ran.push(id.to_owned());
                if write {
                    transaction.writes.push(id.to_owned());
                }
            }
            None if write => {
                let ran = vec![id.to_owned()];
                let commit = Commit { connection: self.name.clone(), id: id.to_owned(), ran };
                self.group.commit(self.index, commit, vec![id.to_owned()])?;
            }
            None => {}
        }
        Some(if write { "DONE stamp\r\n".to_owned() } else { "ROW data\r\nDONE stamp\r\n".to_owned() })
    }
}
