//! A pooler with one service, whose instance, client and leader are played by the test.

use lichenfield_engine::connection::draining::DrainPhase;
use lichenfield_engine::process::dissemination::anti_entropy::{Instance as InstanceDescription, Update, UpdateValue};
use lichenfield_engine::process::forwarding::PoolerShare;
use lichenfield_engine::process::peer_message::{GrantedLease, LeaseGrant, PeerMessage};
use lichenfield_engine::process::pooler::{ConnectionId, Effect, Pooler, SessionId};
use lichenfield_engine::process::settings::TimingBounds;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

const LEADER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const EPOCH: u64 = 1;
const USAGE_WINDOW: u64 = 1;
/// How long leases are valid.
pub const LEASE_DURATION: Duration = Duration::from_millis(1800);
/// The only client's session.
pub const SESSION: SessionId = 1;

const CONFIG: &str = r#"{"revision":2,
    "routes":[{"name":"r","hostname":"orders","type":"primary","deadline-ms":1000,"target-ms":200,"service":"db"}],
    "backends":[{"name":"db","max-connections":20}],
    "customers":[{"name":"acme","api-keys":["key"]}]}"#;

/// What the pooler has sent to an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SentLine {
    /// The connection.
    pub connection_id: ConnectionId,
    /// The line, without its end.
    pub line: String,
}

/// The pooler, the time, and what it has sent so far.
pub struct Harness {
    pooler: Pooler,
    now: Instant,
    /// Lines sent to the instance, in order.
    pub to_instance: Vec<SentLine>,
    /// Text sent to the client.
    pub to_client: String,
    /// Connections that the pooler has closed.
    pub closed: Vec<ConnectionId>,
    /// Whether the pooler has asked for the client's connection to be closed.
    pub close_requested: bool,
    /// Usage reported last, of the only tenant.
    pub usage: u64,
}

impl Harness {
    /// A pooler that holds the lease on the primary, and a client that has connected.
    pub fn new() -> Self {
        let now = Instant::now();
        let pooler = Pooler::new(now, "edge-1", "zone", TimingBounds::default(), 1);
        let mut harness = Harness {
            pooler,
            now,
            to_instance: vec![],
            to_client: String::new(),
            closed: vec![],
            close_requested: false,
            usage: 0,
        };
        harness.pooler.handle_leader_redirect(now, LEADER);
        harness.pooler.apply_updates(now, &updates());
        harness.pooler.accept_session(SESSION);
        harness.send("CONNECT orders key");
        harness.advance(Duration::from_millis(1));
        assert_eq!(harness.take_answer(), "READY I -\r\n");
        harness
    }

    /// The pooler drains, and has come to this phase. Its client's connection stays open.
    pub fn drain(&mut self, phase: DrainPhase) {
        self.pooler.begin_draining(self.now);
        self.pooler.close_idle_sessions(self.now, phase);
        self.perform_effects();
        self.close_requested = false;
    }

    /// The client sends a line.
    pub fn send(&mut self, line: &str) {
        self.pooler.handle_client_bytes(self.now, SESSION, format!("{line}\r\n").as_bytes());
        self.perform_effects();
    }

    /// The instance answers the oldest request of a connection.
    pub fn answer(&mut self, connection_id: ConnectionId, lines: &str) {
        self.pooler.handle_backend_bytes(self.now, connection_id, format!("{lines}\r\n").as_bytes());
        self.perform_effects();
    }

    /// Time passes, and the pooler does what has become due.
    pub fn advance(&mut self, by: Duration) {
        self.advance_clock(by);
        self.pooler.tick(self.now, USAGE_WINDOW);
        self.perform_effects();
    }

    /// Time passes without a chance for the pooler to do anything.
    pub fn advance_clock(&mut self, by: Duration) {
        self.now += by;
    }

    /// What was sent to the client since the last call.
    pub fn take_answer(&mut self) -> String {
        std::mem::take(&mut self.to_client)
    }

    /// What was sent to the instance since the last call.
    pub fn take_sent(&mut self) -> Vec<SentLine> {
        std::mem::take(&mut self.to_instance)
    }

    /// The connection on which a line was sent since the last call of [`Harness::take_sent`].
    pub fn connection_of(&self, line: &str) -> ConnectionId {
        let sent = self.to_instance.iter().rev().find(|sent| sent.line == line);
        sent.unwrap_or_else(|| panic!("{line:?} is not among {:?}", self.to_instance)).connection_id
    }

    /// Begins a transaction and has its first statement answered. Returns its connection.
    pub fn answered_transaction(&mut self) -> ConnectionId {
        self.send("QUERY a BEGIN");
        self.send("QUERY b WRITE thing first");
        let connection_id = self.connection_of("CONNECT db acme i-1");
        self.answer(connection_id, "READY I 1.1");
        self.answer(connection_id, "DONE -\r\nREADY T 1.1");
        self.answer(connection_id, "DONE stamp\r\nREADY T 1.1");
        assert_eq!(self.take_answer(), "DONE -\r\nREADY T -\r\nDONE stamp\r\nREADY T 1.1\r\n");
        self.take_sent();
        connection_id
    }

    fn perform_effects(&mut self) {
        loop {
            self.pooler.finish_input(self.now);
            let effects = self.pooler.take_effects();
            if effects.is_empty() {
                return;
            }
            effects.into_iter().for_each(|effect| self.perform(effect));
        }
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::SendToClient(_, text) => self.to_client.push_str(&text),
            Effect::SendToBackend(connection_id, text) => {
                let lines = text.lines().map(|line| SentLine { connection_id, line: line.to_owned() });
                self.to_instance.extend(lines);
            }
            Effect::CloseClientIfIdle(_) => self.close_requested = true,
            Effect::CloseBackend(connection_id) => self.closed.push(connection_id),
            Effect::SendToPeer(_, PeerMessage::LeaseRequest(request)) => {
                let usage = request.usage.values().filter_map(|counts| counts.get("acme"));
                self.usage = usage.sum();
                self.grant(request.nonce);
            }
            _ => {}
        }
    }

    /// The leader grants the lease.
    fn grant(&mut self, nonce: u64) {
        let grant = LeaseGrant {
            nonce,
            leases: vec![GrantedLease { service: "db".into(), epoch: EPOCH }],
            valid_for: LEASE_DURATION,
            reported_through: None,
            digests: None,
            term: 1,
            transfers: vec![],
        };
        self.pooler.handle_lease_grant(self.now, LEADER, grant);
    }
}

fn updates() -> Vec<Update> {
    let instance = InstanceDescription {
        id: "i-1".into(),
        service: "db".into(),
        address: "10.0.1.1:8080".into(),
        zone: "zone".into(),
        capacity: 5,
        draining: false,
        gone: false,
        primary: true,
        warmup_left_ms: 0,
    };
    let epoch =
        UpdateValue::Epoch { service: "db".into(), epoch: EPOCH, primary: "i-1".into(), term: 1, closed: false };
    let share = PoolerShare { ip: Ipv4Addr::LOCALHOST, zone: "zone".into() };
    let values = [
        ("c/", UpdateValue::Config(CONFIG.into())),
        ("i/i-1", UpdateValue::Instance(instance)),
        ("e/db", epoch),
        ("s/edge-1", UpdateValue::PoolerShare { name: "edge-1".into(), share: Some(share) }),
    ];
    values.into_iter().map(|(key, value)| Update { key: key.into(), version: 2, value }).collect()
}
