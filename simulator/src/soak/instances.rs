//! The database group over real sockets, and the platform's API.

use super::addresses::Addresses;
use super::observations::Observations;
use crate::database::{self, DatabaseInstance, GroupContext, GroupLog, Response};
use lichenfield_engine::connection::client_session::Position;
use lichenfield_runtime::byte_stream::ByteStream;
use lichenfield_runtime::http::{self, HttpResponse, OutboundRequest};
use lichenfield_runtime::{Executor, Shared, shared};
use smol::Async;
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The service that clients use.
pub(super) const SERVICE: &str = "records";
const INSTANCES: usize = 3;
const FIRST_ID: usize = 1000;
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1000);
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(900);
/// Controllers that a heartbeat is sent to until one takes it.
const HEARTBEAT_ATTEMPTS: usize = 3;
/// From a call of the platform to the promotion.
const PROMOTION_TIME: Duration = Duration::from_millis(300);
/// How long an instance takes to answer, in milliseconds.
const WORK_MILLIS: std::ops::Range<u64> = 2..30;
/// One answer in this many is lost while answers are dropped.
const DROPPED_ANSWER_ODDS: u32 = 6;
/// An instance that is isolated for its promotion is back after this at the latest.
const ISOLATED_AT_MOST: Duration = Duration::from_secs(7);
/// Begins a client's statement.
const CLIENT_STATEMENT: &str = "QUERY c";
const STATUS_OK: u16 = 200;
const STATUS_CONFLICT: u16 = 409;

/// The instances, and what is wrong with them.
struct GroupState {
    instances: Vec<DatabaseInstance>,
    log: GroupLog,
    /// Open connections, by instance.
    streams: Vec<HashMap<u64, Rc<ByteStream>>>,
    last_connection: u64,
    rng: fastrand::Rng,
    refuse_setup_until: Option<Instant>,
    drop_answers_until: Option<Instant>,
    candidate_isolation: CandidateIsolation,
}

/// Whether an instance is isolated while it is promoted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CandidateIsolation {
    /// None is.
    Off,
    /// The next one will be.
    Next,
    /// This one is, until another one is to be promoted.
    Isolated(usize),
}

/// An answer on its way.
struct DelayedAnswer {
    response: Response,
    delay: Duration,
}

/// The database group.
pub(super) struct InstanceGroup {
    executor: Executor,
    addresses: Addresses,
    observations: Shared<Observations>,
    state: Shared<GroupState>,
}

impl InstanceGroup {
    /// Starts the instances and the platform.
    pub(super) fn start(
        executor: Executor,
        addresses: Addresses,
        observations: Shared<Observations>,
        seed: u64,
    ) -> io::Result<Rc<Self>> {
        let instance =
            |number| DatabaseInstance::new(format!("i-{}", FIRST_ID + number), SERVICE, "zone-a".into(), number == 0);
        let state = GroupState {
            instances: (0..INSTANCES).map(instance).collect(),
            log: GroupLog::new(),
            streams: (0..INSTANCES).map(|_| HashMap::new()).collect(),
            last_connection: 0,
            rng: fastrand::Rng::with_seed(seed),
            refuse_setup_until: None,
            drop_answers_until: None,
            candidate_isolation: CandidateIsolation::Off,
        };
        let group = Rc::new(InstanceGroup { executor, addresses, observations, state: shared(state) });
        for number in 0..INSTANCES {
            let listener = Async::<TcpListener>::bind(addresses.instance(number))?;
            executor.spawn(Rc::clone(&group).accept(number, listener)).detach();
            executor.spawn(Rc::clone(&group).send_heartbeats(number)).detach();
        }
        group.serve_platform(addresses.platform())?;
        Ok(group)
    }

    // Troubles.

    /// The primary ends; it starts again with its log.
    pub(super) fn crash_primary(self: &Rc<Self>, time: Duration) {
        let mut state = self.state.borrow_mut();
        let term = state.log.term;
        let is_primary = |instance: &DatabaseInstance| instance.up && instance.is_primary && instance.term == term;
        let Some(index) = state.instances.iter().position(is_primary) else { return };
        state.instances[index].up = false;
        state.instances[index].close_all_connections();
        state.streams[index].drain().for_each(|(_, stream)| stream.abort());
        let group = Rc::clone(self);
        let recovery = async move {
            smol::Timer::after(time).await;
            group.state.borrow_mut().recover(index);
        };
        self.executor.spawn(recovery).detach();
    }

    /// The primary ends, and the instance that is promoted in its place is seen by nobody until another one is to be
    /// promoted.
    pub(super) fn isolate_candidate(self: &Rc<Self>, time: Duration) {
        self.state.borrow_mut().candidate_isolation = CandidateIsolation::Next;
        self.crash_primary(time);
    }

    fn candidate_accepted(self: &Rc<Self>, index: usize) {
        let mut state = self.state.borrow_mut();
        match state.candidate_isolation {
            CandidateIsolation::Next => {
                state.instances[index].isolated = true;
                state.candidate_isolation = CandidateIsolation::Isolated(index);
            }
            CandidateIsolation::Isolated(before) if before != index => return state.end_isolation(before),
            CandidateIsolation::Isolated(_) | CandidateIsolation::Off => return,
        }
        let group = Rc::clone(self);
        let end = async move {
            smol::Timer::after(ISOLATED_AT_MOST).await;
            group.state.borrow_mut().end_isolation(index);
        };
        self.executor.spawn(end).detach();
    }

    /// Statements that prepare a connection are refused.
    pub(super) fn refuse_setup(&self, time: Duration) {
        let mut state = self.state.borrow_mut();
        state.refuse_setup_until = state.refuse_setup_until.max(Some(Instant::now() + time));
    }

    /// Answers get lost.
    pub(super) fn drop_answers(&self, time: Duration) {
        let mut state = self.state.borrow_mut();
        state.drop_answers_until = state.drop_answers_until.max(Some(Instant::now() + time));
    }

    // Connections.

    async fn accept(self: Rc<Self>, index: usize, listener: Async<TcpListener>) {
        while let Ok((socket, _)) = listener.accept().await {
            let _ = socket.get_ref().set_nodelay(true);
            self.executor.spawn(Rc::clone(&self).serve_connection(index, socket)).detach();
        }
    }

    async fn serve_connection(self: Rc<Self>, index: usize, socket: Async<TcpStream>) {
        let stream = ByteStream::connected(self.executor, socket);
        let Some(connection) = self.state.borrow_mut().open_connection(index, &stream) else {
            return stream.abort();
        };
        let (answers, queued_answers) = smol::channel::unbounded::<DelayedAnswer>();
        let writer = self.executor.spawn(write_answers(Rc::clone(&stream), queued_answers));
        let group = Rc::clone(&self);
        let on_bytes = move |bytes: &[u8]| {
            let text = String::from_utf8_lossy(bytes);
            if let Some(answer) = group.answer(index, connection, &text) {
                let _ = answers.try_send(answer);
            }
        };
        Rc::clone(&stream).read(on_bytes).await;
        drop(writer);
        let mut state = self.state.borrow_mut();
        state.streams[index].remove(&connection);
        state.instances[index].close_connection(connection);
        stream.abort();
    }

    /// Lets an instance handle bytes. None if there is no answer, or if it is lost.
    fn answer(&self, index: usize, connection: u64, text: &str) -> Option<DelayedAnswer> {
        let mut observations = self.observations.borrow_mut();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        if state.instances[index].isolated {
            return None;
        }
        let now = observations.now();
        for statement in text.split(CLIENT_STATEMENT).skip(1) {
            let id = statement.split(' ').next().unwrap_or_default();
            observations.judge.record_statement_arrival(&format!("c{id}"));
        }
        let lasts = |until: Option<Instant>| until.is_some_and(|until| Instant::now() < until);
        let instance = &mut state.instances[index];
        instance.refuses_setup = lasts(state.refuse_setup_until);
        instance.replicate(now, &state.log);
        let mut context = GroupContext { now, log: &mut state.log, judge: &mut observations.judge };
        let response = instance.receive(connection, text, &mut context);
        let drops = lasts(state.drop_answers_until) && text.contains(CLIENT_STATEMENT);
        let is_lost = drops && state.rng.u32(0..DROPPED_ANSWER_ODDS) == 0;
        let delay = Duration::from_millis(state.rng.u64(WORK_MILLIS));
        let is_empty = response.text.is_empty() && !response.closes;
        (!is_lost && !is_empty).then_some(DelayedAnswer { response, delay })
    }

    // Heartbeats and the platform.

    async fn send_heartbeats(self: Rc<Self>, index: usize) {
        let mut controller = index;
        loop {
            for _ in 0..HEARTBEAT_ATTEMPTS {
                if self.send_heartbeat(index, self.addresses.control(controller % INSTANCES)).await {
                    break;
                }
                controller += 1;
            }
            smol::Timer::after(HEARTBEAT_INTERVAL).await;
        }
    }

    /// Whether the controller acknowledged it. An instance that is down sends none.
    async fn send_heartbeat(&self, index: usize, controller: SocketAddrV4) -> bool {
        let (path, mut body) = {
            let instance = &mut self.state.borrow_mut().instances[index];
            if !instance.up || instance.isolated {
                return true;
            }
            (format!("/api/instances/{}", instance.id), instance.next_heartbeat())
        };
        body["address"] = self.addresses.instance(index).to_string().into();
        let request = OutboundRequest {
            address: controller,
            method: "PUT",
            path: &path,
            headers: &[],
            body: body.to_string().into_bytes(),
            timeout: HEARTBEAT_TIMEOUT,
        };
        let response = http::send(self.executor, request, || true).await;
        response.is_ok_and(|response| response.status == STATUS_OK)
    }

    fn serve_platform(self: &Rc<Self>, address: SocketAddrV4) -> io::Result<()> {
        let group = Rc::clone(self);
        http::serve(self.executor, address, move |call| {
            let body: serde_json::Value = serde_json::from_slice(&call.body).unwrap_or_default();
            let status = group.handle_platform_call(&call.path, &body);
            async move { HttpResponse::status(status) }
        })?;
        Ok(())
    }

    fn handle_platform_call(self: &Rc<Self>, path: &str, body: &serde_json::Value) -> u16 {
        if path == "/usage" {
            let window = body["window-number"].as_u64().unwrap_or_default();
            let mut observations = self.observations.borrow_mut();
            let now = observations.now();
            observations.judge.record_usage(now, window, &body["counts"].to_string());
            return STATUS_OK;
        }
        let id = body["id"].as_str().unwrap_or_default();
        let index = self.state.borrow().instances.iter().position(|instance| instance.id == id && instance.up);
        let Some(index) = index else { return STATUS_CONFLICT };
        self.candidate_accepted(index);
        let group = Rc::clone(self);
        let promotion = async move {
            smol::Timer::after(PROMOTION_TIME).await;
            group.promote(index);
        };
        self.executor.spawn(promotion).detach();
        STATUS_OK
    }

    fn promote(&self, index: usize) {
        let mut observations = self.observations.borrow_mut();
        let now = observations.now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let Some(kept) = database::promote(&mut state.instances, index, now, &mut state.log) else { return };
        for commit in observations.judge.commits.iter_mut().filter(|commit| commit.position > kept) {
            commit.truncated = true;
        }
        observations.judge.promotions += 1;
    }
}

impl GroupState {
    /// The number of a new connection; none if the instance is down.
    fn open_connection(&mut self, index: usize, stream: &Rc<ByteStream>) -> Option<u64> {
        if !self.instances[index].up {
            return None;
        }
        self.last_connection += 1;
        self.streams[index].insert(self.last_connection, Rc::clone(stream));
        Some(self.last_connection)
    }

    /// An isolated instance is seen again. Its connections have lost what was sent meanwhile.
    fn end_isolation(&mut self, index: usize) {
        if self.candidate_isolation != CandidateIsolation::Isolated(index) {
            return;
        }
        self.candidate_isolation = CandidateIsolation::Off;
        self.instances[index].isolated = false;
        self.instances[index].close_all_connections();
        self.streams[index].drain().for_each(|(_, stream)| stream.abort());
    }

    /// An instance that was down is back; a deposed primary as an empty replica.
    fn recover(&mut self, index: usize) {
        let term = self.log.term;
        let instance = &mut self.instances[index];
        instance.up = true;
        if instance.is_primary && instance.term < term {
            instance.is_primary = false;
            instance.term = term;
            instance.received = Position { term: 0, number: 0 };
        }
    }
}

/// Writes the answers of a connection in their order, each after its delay.
async fn write_answers(stream: Rc<ByteStream>, answers: smol::channel::Receiver<DelayedAnswer>) {
    while let Ok(DelayedAnswer { response, delay }) = answers.recv().await {
        smol::Timer::after(delay).await;
        stream.write(response.text.as_bytes());
        if response.closes {
            stream.close();
        }
    }
}
