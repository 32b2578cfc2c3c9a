//! A database group as the pages describe it: a primary, its replicas, their logs, and the platform that promotes.

use crate::daemons::Addresses;
use crate::{http, note};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

pub type Position = (u64, u64);

#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    pub position: Position,
    pub thing: String,
    pub data: String,
}

#[derive(Debug, Default)]
pub struct Instance {
    pub id: String,
    pub primary: bool,
    pub term: u64,
    pub log: Vec<Entry>,
    /// Its process does not run.
    pub down: bool,
    /// It says nothing: nothing is read, run or answered.
    pub dark: bool,
    connections: Vec<TcpStream>,
    /// Since when this primary can reach one of a later term.
    overtaken_since: Option<Instant>,
}

impl Instance {
    pub fn last(&self) -> Position {
        self.log.last().map_or((self.term.min(1), 0), |entry| entry.position)
    }

    fn has(&self, position: Position) -> bool {
        self.last() >= position
    }

    fn read(&self, thing: &str) -> Option<&str> {
        self.log.iter().rev().find(|entry| entry.thing == thing).map(|entry| entry.data.as_str())
    }
}

/// A statement as an instance ran it.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Instant,
    pub id: String,
    pub text: String,
    pub tenant: String,
}

#[derive(Debug, Clone)]
pub struct Promotion {
    pub at: Instant,
    pub id: String,
    pub term: u64,
    pub log: Vec<Entry>,
}

/// A commit that writes, at the instance that made it.
#[derive(Debug, Clone)]
pub struct Commit {
    pub at: Instant,
    pub instance: usize,
    pub term: u64,
    pub data: String,
}

/// A call by which the platform was asked to promote an instance, and took it.
#[derive(Debug, Clone, Copy)]
pub struct AcceptedCall {
    pub at: Instant,
    pub instance: usize,
}

#[derive(Default)]
pub struct State {
    pub instances: Vec<Instance>,
    pub runs: Vec<Run>,
    pub promotions: Vec<Promotion>,
    pub commits: Vec<Commit>,
    pub accepted_calls: Vec<AcceptedCall>,
    stamps: u64,
}

/// The group.
pub struct Group {
    pub service: String,
    /// How many replicas have received a commit before it is answered.
    pub sync_replicas: usize,
    addresses: Addresses,
    controllers: usize,
    state: Mutex<State>,
}

const WORK: Duration = Duration::from_millis(4);
const HANDSHAKE: Duration = Duration::from_millis(12);
const PROMOTE: Duration = Duration::from_millis(1000);
const BEAT: Duration = Duration::from_millis(1200);
const MAX_CONNECTIONS: usize = 60;

impl Group {
    /// Starts the instances, of which the first leads, and the platform.
    pub fn start(
        addresses: Addresses,
        service: &str,
        sync_replicas: usize,
        controllers: usize,
    ) -> std::io::Result<Arc<Self>> {
        let mut state = State::default();
        for number in 0..3 {
            let id = format!("i-{service}-{number}");
            state.instances.push(Instance { id, primary: number == 0, term: 1, ..Instance::default() });
        }
        let group = Arc::new(Group {
            service: service.to_owned(),
            sync_replicas,
            addresses,
            controllers,
            state: Mutex::new(state),
        });
        for number in 0..3 {
            let listener = TcpListener::bind(addresses.instance(number))?;
            let (serving, beating) = (Arc::clone(&group), Arc::clone(&group));
            std::thread::spawn(move || serving.serve(number, listener));
            std::thread::spawn(move || beating.beat(number));
        }
        let replicating = Arc::clone(&group);
        std::thread::spawn(move || replicating.replicate());
        let platform = Arc::clone(&group);
        let listener = TcpListener::bind(addresses.platform())?;
        http::serve(listener, move |request| platform.platform_call(&request));
        Ok(group)
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    // Troubles.

    /// The process ends: its connections break, and its port refuses.
    pub fn crash(&self, number: usize) {
        note!("trouble: instance {number} crashes");
        let mut state = self.lock();
        let instance = &mut state.instances[number];
        instance.down = true;
        for connection in instance.connections.drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
    }

    /// It returns with its log, as replica if another was promoted.
    pub fn restart(&self, number: usize) {
        let mut state = self.lock();
        let newest = state.instances.iter().map(|instance| instance.term).max().unwrap_or(1);
        let instance = &mut state.instances[number];
        instance.primary &= instance.term == newest;
        instance.down = false;
        note!("trouble over: instance {number} is back, primary: {}", instance.primary);
    }

    pub fn set_dark(&self, number: usize, dark: bool) {
        note!("trouble: instance {number} dark: {dark}");
        self.lock().instances[number].dark = dark;
    }

    // Replication.

    fn replicate(&self) {
        loop {
            std::thread::sleep(Duration::from_millis(2));
            let mut state = self.lock();
            let leader = (0..state.instances.len())
                .filter(|number| {
                    let instance = &state.instances[*number];
                    instance.primary && !instance.down && !instance.dark
                })
                .max_by_key(|number| state.instances[*number].term);
            let Some(leader) = leader else { continue };
            let (term, log) = (state.instances[leader].term, state.instances[leader].log.clone());
            for (number, instance) in state.instances.iter_mut().enumerate() {
                if number == leader || instance.down || instance.dark {
                    continue;
                }
                if instance.primary {
                    // An old primary goes on until a second after it can reach the new one.
                    let since = *instance.overtaken_since.get_or_insert_with(Instant::now);
                    if since.elapsed() < Duration::from_secs(1) {
                        continue;
                    }
                    instance.primary = false;
                    note!("instance {number} becomes a replica of term {term}");
                }
                instance.overtaken_since = None;
                instance.term = term;
                let common = instance.log.iter().zip(&log).take_while(|(own, other)| own == other).count();
                if common < instance.log.len() {
                    note!("instance {number} is cut back from {:?}", instance.last());
                    instance.log.truncate(common);
                }
                instance.log.extend_from_slice(&log[common..]);
            }
        }
    }

    // Beats.

    fn beat(&self, number: usize) {
        let mut count = 0;
        let mut controller = number;
        loop {
            let (silent, id, primary) = {
                let state = self.lock();
                let instance = &state.instances[number];
                (instance.down || instance.dark, instance.id.clone(), instance.primary)
            };
            if !silent {
                count += 1;
                let zone = ["hal-emc", "hal-klimaat", "hal-rf"][number % 3];
                let body = format!(
                    "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"revision\":\"v1\",\"capacity\":5,\"status\":\"ready\",\"warmup-left-ms\":0,\"read-from\":\"{}\",\"call-count\":{count}}}",
                    self.service,
                    self.addresses.instance(number),
                    if primary { "primary" } else { "replica" }
                );
                let path = format!("/api/instances/{id}");
                let to = self.addresses.control(controller % self.controllers);
                let answer = http::call(to, "PUT", &path, "", &body, Duration::from_secs(1));
                if !answer.is_ok_and(|(status, ..)| (200..300).contains(&status)) {
                    controller += 1;
                    std::thread::sleep(Duration::from_millis(100));
                    continue;
                }
            }
            let until = Instant::now() + BEAT;
            while Instant::now() < until && self.lock().instances[number].primary == primary {
                std::thread::sleep(Duration::from_millis(20));
            }
        }
    }

    // The platform.

    fn platform_call(self: &Arc<Self>, request: &http::Request) -> u16 {
        note!(
            "platform: {} by {} with fence {}: {}",
            request.path,
            request.header("duty-holder"),
            request.header("fence"),
            request.body
        );
        if request.path != "/failover" {
            return 200;
        }
        let id = http::json_text(&request.body, "id");
        let mut state = self.lock();
        let Some(number) = state.instances.iter().position(|instance| instance.id == id) else { return 409 };
        let instance = &state.instances[number];
        if instance.down || instance.dark {
            return 409;
        }
        if instance.primary {
            return 200;
        }
        state.accepted_calls.push(AcceptedCall { at: Instant::now(), instance: number });
        drop(state);
        let group = Arc::clone(self);
        std::thread::spawn(move || {
            std::thread::sleep(PROMOTE);
            let mut state = group.lock();
            let term = state.instances.iter().map(|instance| instance.term).max().unwrap_or(1) + 1;
            let instance = &mut state.instances[number];
            if instance.down || instance.primary {
                return;
            }
            instance.primary = true;
            instance.term = term;
            let promotion = Promotion { at: Instant::now(), id: instance.id.clone(), term, log: instance.log.clone() };
            note!("instance {number} is promoted to term {term} with the log up to {:?}", instance.last());
            state.promotions.push(promotion);
        });
        200
    }

    // Sessions.

    fn serve(self: Arc<Self>, number: usize, listener: TcpListener) {
        let _ = listener.set_nonblocking(true);
        let mut listener = Some(listener);
        loop {
            if self.lock().instances[number].down {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(self.addresses.instance(number)).ok();
                if let Some(listener) = &listener {
                    let _ = listener.set_nonblocking(true);
                }
            }
            match listener.as_ref().map(TcpListener::accept) {
                Some(Ok((stream, _))) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    if let Ok(copy) = stream.try_clone() {
                        self.lock().instances[number].connections.push(copy);
                    }
                    let group = Arc::clone(&self);
                    std::thread::spawn(move || {
                        let copy = stream.try_clone();
                        Connection::new(group, number).run(stream);
                        if let Ok(copy) = copy {
                            let _ = copy.shutdown(std::net::Shutdown::Both);
                        }
                    });
                }
                _ => std::thread::sleep(Duration::from_millis(1)),
            }
        }
    }
}

/// A connection to an instance.
struct Connection {
    group: Arc<Group>,
    number: usize,
    tenant: String,
    prepared: HashMap<String, (bool, String)>,
    /// Whether a transaction is open, and whether it only reads.
    transaction: Option<bool>,
    failed: bool,
    writes: Vec<(String, String)>,
}

enum Outcome {
    Done(Vec<String>, String),
    Error(String),
    Gone,
}

impl Connection {
    fn new(group: Arc<Group>, number: usize) -> Self {
        Connection {
            group,
            number,
            tenant: String::new(),
            prepared: HashMap::new(),
            transaction: None,
            failed: false,
            writes: Vec::new(),
        }
    }

    /// Waits while the instance is dark; false once it is down.
    fn lives(&self) -> bool {
        loop {
            let state = self.group.lock();
            let instance = &state.instances[self.number];
            if instance.down {
                return false;
            }
            if !instance.dark {
                return true;
            }
            drop(state);
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    fn run(&mut self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        let mut greeted = false;
        loop {
            line.clear();
            if !matches!(reader.read_line(&mut line), Ok(count) if count > 0) || !self.lives() {
                return;
            }
            let text = line.trim_end_matches(['\r', '\n']).to_owned();
            let (word, rest) = text.split_once(' ').unwrap_or((&text, ""));
            let answer = match word {
                "CONNECT" if !greeted => {
                    greeted = true;
                    self.greet(rest)
                }
                "QUERY" => {
                    let (id, text) = rest.split_once(' ').unwrap_or((rest, ""));
                    let outcome = self.statement(id, text);
                    self.render(outcome)
                }
                _ => None,
            };
            let Some(answer) = answer else { return };
            if !self.lives() || writer.write_all(answer.as_bytes()).is_err() || answer.starts_with("ERROR WRONGHOST") {
                return;
            }
        }
    }

    fn greet(&mut self, fields: &str) -> Option<String> {
        std::thread::sleep(HANDSHAKE);
        let fields: Vec<&str> = fields.split(' ').collect();
        let state = self.group.lock();
        let instance = &state.instances[self.number];
        let wrong_id = fields.get(2).is_some_and(|id| *id != instance.id);
        if fields.first() != Some(&self.group.service.as_str()) || wrong_id {
            return Some(format!("ERROR WRONGHOST {}\r\n", instance.id));
        }
        let open = instance.connections.iter().filter(|connection| connection.peer_addr().is_ok()).count();
        if open > MAX_CONNECTIONS {
            return Some("ERROR FULL\r\n".to_owned());
        }
        self.tenant = fields.get(1).unwrap_or(&"-").to_string();
        let (term, last) = instance.last();
        Some(format!("READY I {term}.{last}\r\n"))
    }

    fn render(&self, outcome: Outcome) -> Option<String> {
        let state = match (self.transaction, self.failed) {
            (Some(_), true) => 'E',
            (Some(_), false) => 'T',
            (None, _) => 'I',
        };
        let (term, last) = self.group.lock().instances[self.number].last();
        let head = match outcome {
            Outcome::Done(rows, stamp) => {
                let rows: String = rows.iter().map(|row| format!("ROW {row}\r\n")).collect();
                format!("{rows}DONE {stamp}\r\n")
            }
            Outcome::Error(error) => format!("ERROR {error}\r\n"),
            Outcome::Gone => return None,
        };
        Some(format!("{head}READY {state} {term}.{last}\r\n"))
    }

    fn note_run(&self, id: &str, text: &str) {
        let run = Run { at: Instant::now(), id: id.to_owned(), text: text.to_owned(), tenant: self.tenant.clone() };
        note!("instance {}: runs {id} {text} for tenant {}", self.number, self.tenant);
        self.group.lock().runs.push(run);
    }

    fn stamp(&self) -> String {
        let mut state = self.group.lock();
        state.stamps += 1;
        format!("{}.{:x}", self.number, state.stamps)
    }

    fn read_only_error(&mut self) -> Outcome {
        self.failed = self.transaction.is_some();
        Outcome::Error(format!("READONLY {}", self.group.lock().instances[self.number].id))
    }

    fn is_primary(&self) -> bool {
        self.group.lock().instances[self.number].primary
    }

    fn statement(&mut self, id: &str, text: &str) -> Outcome {
        let text = match text.strip_prefix("WAITFOR ") {
            Some(rest) => {
                let (wanted, rest) = rest.split_once(' ').unwrap_or((rest, ""));
                let wanted =
                    wanted.split_once('.').and_then(|(term, number)| Some((term.parse().ok()?, number.parse().ok()?)));
                if !wanted.is_some_and(|wanted| self.group.lock().instances[self.number].has(wanted)) {
                    return Outcome::Error("LAGGING".to_owned());
                }
                rest
            }
            None => text,
        };
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        if self.failed && !matches!(word, "ROLLBACK" | "COMMIT") {
            return Outcome::Error("MALFORMED the transaction has failed".to_owned());
        }
        let done = || Outcome::Done(Vec::new(), "-".to_owned());
        match word {
            "STATUS" | "STEPDOWN" => self.status(word, rest),
            "SET" => done(),
            "RESET" => {
                self.prepared.clear();
                done()
            }
            "PREPARE" => {
                let fields: Vec<&str> = rest.splitn(3, ' ').collect();
                if let [name, verb, shape] = fields[..] {
                    self.prepared.insert(name.to_owned(), (verb == "WRITE", shape.to_owned()));
                }
                done()
            }
            "BEGIN" if rest.is_empty() && !self.is_primary() => self.read_only_error(),
            "BEGIN" => {
                self.transaction = Some(rest == "READ");
                done()
            }
            "ROLLBACK" => {
                self.end_transaction();
                done()
            }
            "COMMIT" => self.commit(id),
            "READ" => self.read(id, text, rest),
            "WRITE" => {
                let (thing, data) = rest.split_once(' ').unwrap_or((rest, ""));
                self.write(id, text, thing, data)
            }
            "RUN" => {
                let (name, rest) = rest.split_once(' ').unwrap_or((rest, ""));
                let Some((writes, _)) = self.prepared.get(name).cloned() else {
                    return Outcome::Error(format!("UNKNOWN {name}"));
                };
                let (thing, data) = rest.split_once(' ').unwrap_or((rest, ""));
                if writes { self.write(id, text, thing, data) } else { self.read(id, text, thing) }
            }
            _ => Outcome::Error("MALFORMED".to_owned()),
        }
    }

    fn end_transaction(&mut self) {
        self.transaction = None;
        self.failed = false;
        self.writes.clear();
    }

    fn status(&self, word: &str, rest: &str) -> Outcome {
        let mut state = self.group.lock();
        let instance = &mut state.instances[self.number];
        if word == "STEPDOWN" && instance.primary && rest.parse().is_ok_and(|term: u64| instance.term < term) {
            note!("instance {} steps down", self.number);
            instance.primary = false;
        }
        let (term, last) = instance.last();
        let role = if instance.primary { "primary" } else { "replica" };
        let row =
            format!("{role} {} {term}.{last} {} 0 0 {}", instance.term, instance.term, instance.connections.len());
        Outcome::Done(vec![row], "-".to_owned())
    }

    fn read(&mut self, id: &str, text: &str, thing: &str) -> Outcome {
        std::thread::sleep(WORK);
        if !self.lives() {
            return Outcome::Gone;
        }
        if self.transaction == Some(false) && !self.is_primary() {
            return self.read_only_error();
        }
        self.note_run(id, text);
        let own = self.writes.iter().rev().find(|(written, _)| written == thing).map(|(_, data)| data.clone());
        let value = own.or_else(|| self.group.lock().instances[self.number].read(thing).map(str::to_owned));
        Outcome::Done(value.into_iter().collect(), self.stamp())
    }

    fn write(&mut self, id: &str, text: &str, thing: &str, data: &str) -> Outcome {
        std::thread::sleep(WORK);
        if !self.lives() {
            return Outcome::Gone;
        }
        if !self.is_primary() || self.transaction == Some(true) {
            return self.read_only_error();
        }
        self.note_run(id, text);
        let write = (thing.to_owned(), data.to_owned());
        if self.transaction.is_some() {
            self.writes.push(write);
            return Outcome::Done(Vec::new(), self.stamp());
        }
        self.append(vec![write])
    }

    fn commit(&mut self, id: &str) -> Outcome {
        std::thread::sleep(WORK);
        if !self.lives() {
            return Outcome::Gone;
        }
        if self.transaction.is_none() {
            return Outcome::Error("MALFORMED no transaction".to_owned());
        }
        if self.failed {
            self.end_transaction();
            return Outcome::Error("ABORTED the transaction had failed".to_owned());
        }
        let writes = std::mem::take(&mut self.writes);
        if !writes.is_empty() && !self.is_primary() {
            return self.read_only_error();
        }
        self.note_run(id, "COMMIT");
        self.end_transaction();
        if writes.is_empty() { Outcome::Done(Vec::new(), self.stamp()) } else { self.append(writes) }
    }

    /// Appends a commit and waits for the replicas that have to receive it.
    fn append(&mut self, writes: Vec<(String, String)>) -> Outcome {
        let mut state = self.group.lock();
        let instance = &mut state.instances[self.number];
        let position = (instance.term, instance.last().1 + 1);
        let commit = |data: &String| Commit {
            at: Instant::now(),
            instance: self.number,
            term: instance.term,
            data: data.clone(),
        };
        let commits: Vec<Commit> = writes.iter().map(|(_, data)| commit(data)).collect();
        for (thing, data) in writes {
            instance.log.push(Entry { position, thing, data });
        }
        state.commits.extend(commits);
        drop(state);
        loop {
            let state = self.group.lock();
            let received = state.instances.iter().enumerate().filter(|(number, instance)| {
                *number != self.number && instance.log.iter().any(|entry| entry.position == position)
            });
            if received.count() >= self.group.sync_replicas {
                break;
            }
            drop(state);
            if !self.lives() {
                return Outcome::Gone;
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        if self.lives() { Outcome::Done(Vec::new(), self.stamp()) } else { Outcome::Gone }
    }
}
