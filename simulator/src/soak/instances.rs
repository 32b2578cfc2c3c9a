//! The database group over real sockets.

use super::addresses::Addresses;
use super::observations::Observations;
use crate::database::{CandidateIsolation, DatabaseInstance, GroupContext, GroupLog, Response};
use lichenfield_engine::connection::client_session::Position;
use lichenfield_runtime::byte_stream::ByteStream;
use lichenfield_runtime::{Executor, Shared, shared};
use smol::Async;
use std::collections::HashMap;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The service that clients use.
pub(super) const SERVICE: &str = "records";
pub(super) const INSTANCES: usize = 3;
const FIRST_ID: usize = 1000;
/// How long an instance takes to answer, in milliseconds.
const WORK_MILLIS: std::ops::Range<u64> = 2..30;
/// One answer in this many is lost while answers are dropped.
const DROPPED_ANSWER_ODDS: u32 = 6;
/// Begins a client's statement.
const CLIENT_STATEMENT: &str = "QUERY c";

/// The instances, and what is wrong with them.
pub(super) struct GroupState {
    pub(super) instances: Vec<DatabaseInstance>,
    pub(super) log: GroupLog,
    /// Open connections, by instance.
    streams: Vec<HashMap<u64, Rc<ByteStream>>>,
    last_connection: u64,
    rng: fastrand::Rng,
    refuse_setup_until: Option<Instant>,
    drop_answers_until: Option<Instant>,
    pub(super) candidate_isolation: CandidateIsolation,
}

/// An answer on its way.
struct DelayedAnswer {
    response: Response,
    delay: Duration,
}

/// The database group.
pub(super) struct InstanceGroup {
    pub(super) executor: Executor,
    pub(super) addresses: Addresses,
    pub(super) observations: Shared<Observations>,
    pub(super) state: Shared<GroupState>,
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
    pub(super) fn end_isolation(&mut self, index: usize) {
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
