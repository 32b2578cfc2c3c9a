//! A leader's duties, with a log that commits at once, instances that answer as told, and a platform whose answers and
//! effects the test decides.

use lichenfield_engine::connection::client_session::Position;
use lichenfield_engine::process::instance_registry::{InstanceHeartbeat, InstanceRegistry};
use lichenfield_engine::process::leadership::outbox::Effect;
use lichenfield_engine::process::leadership::{HealthCheckResult, LeaderContext, Leadership, PlatformCallOutcome};
use lichenfield_engine::process::settings::{Platform, TimingBounds};
use lichenfield_engine::version::control_state::{Command, ControlState, Epoch, ProposalId};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

pub const SERVICE: &str = "orders";
/// Interval of the leader's duties.
const STEP: Duration = Duration::from_millis(10);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time in which any failover gets as far as its first call.
const UNTIL_CALL: Duration = Duration::from_secs(12);

/// A call to promote an instance that the platform has not answered.
#[derive(Debug)]
pub struct Call {
    token: u64,
    pub candidate: String,
}

/// An instance as it answers; a dark one does not.
#[derive(Debug, Clone, Copy)]
struct InstanceState {
    leads: Option<u64>,
    dark: bool,
}

pub struct World {
    now: Instant,
    term: u64,
    control_state: ControlState,
    registry: InstanceRegistry,
    leadership: Leadership,
    instances: BTreeMap<&'static str, InstanceState>,
    /// Heartbeats sent by all instances.
    heartbeats: u64,
    /// Calls in flight.
    pub calls: Vec<Call>,
    /// Whether the log decides nothing, and what waits for it.
    pub log_stalls: bool,
    undecided: Vec<Command>,
}

fn platform() -> Platform {
    Platform { address: "127.0.0.1:1".parse().expect("address"), duty_per_s: 50.0 }
}

fn leadership(now: Instant, node: &str, platform: Option<Platform>) -> Leadership {
    Leadership::new(now, node, TimingBounds::default(), HEARTBEAT_INTERVAL, platform)
}

impl World {
    /// Instance `p` leads term 1 in epoch 1; `a` and `b` follow. The leader has led for a while.
    pub fn new() -> Self {
        World::with_platform(Some(platform()))
    }

    /// The same where nobody but an operator promotes instances.
    pub fn without_platform() -> Self {
        World::with_platform(None)
    }

    fn with_platform(platform: Option<Platform>) -> Self {
        let now = Instant::now();
        let mut world = World {
            now,
            term: 1,
            control_state: ControlState::default(),
            registry: InstanceRegistry::default(),
            leadership: leadership(now, "first", platform),
            instances: BTreeMap::new(),
            heartbeats: 0,
            calls: Vec::new(),
            log_stalls: false,
            undecided: Vec::new(),
        };
        for (id, leads) in [("p", Some(1)), ("a", None), ("b", None)] {
            world.instances.insert(id, InstanceState { leads, dark: false });
            world.heartbeat(id);
        }
        world.run(Duration::from_secs(3));
        assert_eq!(world.epoch().primary, "p");
        world
    }

    /// The instance tells what it leads.
    pub fn heartbeat(&mut self, id: &str) {
        self.heartbeats += 1;
        let state = self.instances[id];
        let read_from = if state.leads.is_some() { "primary" } else { "replica" };
        let heartbeat = InstanceHeartbeat {
            service: SERVICE.into(),
            address: "127.0.0.1:2".into(),
            zone: "z".into(),
            capacity: 10,
            status: "ready".into(),
            warmup_left_ms: 0,
            read_from: read_from.into(),
            call_count: self.heartbeats,
        };
        self.registry.record_heartbeat(self.now, id, &heartbeat);
    }

    pub fn epoch(&self) -> &Epoch {
        &self.control_state.epochs[SERVICE]
    }

    /// The epoch is open for an instance that leads this term.
    #[track_caller]
    pub fn assert_installed(&self, id: &str, term: u64) {
        let epoch = self.epoch();
        assert_eq!((epoch.primary.as_str(), epoch.term, epoch.closed), (id, term, false));
    }

    /// Nobody reaches the instance any more.
    pub fn go_dark(&mut self, id: &str) {
        self.instances.get_mut(id).expect("instance").dark = true;
    }

    pub fn come_back(&mut self, id: &str) {
        self.instances.get_mut(id).expect("instance").dark = false;
    }

    /// A promotion has its effect, whether or not the instance is seen.
    pub fn promote(&mut self, id: &str, term: u64) {
        self.instances.get_mut(id).expect("instance").leads = Some(term);
    }

    /// The instance announces its end.
    pub fn drain(&mut self, id: &str) {
        self.apply(&Command::DrainInstance { id: id.to_owned() });
    }

    /// Another controller leads, which knows the log alone.
    pub fn change_leader(&mut self, node: &str) {
        self.term += 1;
        self.calls.clear();
        self.undecided.clear();
        self.leadership = leadership(self.now, node, Some(platform()));
    }

    /// The leader loses its lead, and wins it again under a later term.
    pub fn lead_again(&mut self) {
        self.term += 1;
        self.leadership.step_down();
    }

    pub fn run(&mut self, duration: Duration) {
        let until = self.now + duration;
        while self.now < until {
            self.now += STEP;
            self.step();
        }
    }

    /// Runs until the platform is called, and gives whom the call names.
    pub fn run_until_call(&mut self) -> String {
        let until = self.now + UNTIL_CALL;
        while self.calls.is_empty() && self.now < until {
            self.run(STEP);
        }
        self.calls.last().expect("no call to the platform").candidate.clone()
    }

    /// The platform answers the oldest call in flight, or its time is over without an answer.
    pub fn answer(&mut self, status: Option<u16>) {
        let call = self.calls.remove(0);
        self.answer_call(&call, status);
    }

    /// The platform answers a call.
    pub fn answer_call(&mut self, call: &Call, status: Option<u16>) {
        self.leadership.platform_call_finished(self.now, call.token, PlatformCallOutcome::from_status(status));
    }

    /// The log decides what waited.
    pub fn log_goes_on(&mut self) {
        self.log_stalls = false;
        for command in std::mem::take(&mut self.undecided) {
            self.apply(&command);
        }
    }

    /// The changes of the epoch that the log has not decided.
    pub fn undecided(&self) -> &[Command] {
        &self.undecided
    }

    fn apply(&mut self, command: &Command) {
        let index = self.control_state.applied_index + 1;
        self.control_state.apply(index, ProposalId::default(), command);
        self.leadership.on_applied(command);
    }

    fn step(&mut self) {
        let context = LeaderContext {
            now: self.now,
            term: self.term,
            control_state: &self.control_state,
            registry: &self.registry,
            time_of_day: Duration::ZERO,
        };
        self.leadership.step(&context);
        for effect in self.leadership.effects() {
            self.perform(effect);
        }
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Propose(command) if self.log_stalls => self.undecided.push(command),
            Effect::Propose(command) => self.apply(&command),
            Effect::HealthCheck { token, instance, text } => {
                let result = self.health_check(&instance.id, &text);
                self.leadership.health_check_finished(self.now, token, result);
            }
            Effect::PlatformCall { token, path: "/failover", body, .. } => {
                let body: serde_json::Value = serde_json::from_str(&body).expect("body");
                let candidate = body["id"].as_str().expect("id").to_owned();
                self.calls.push(Call { token, candidate });
            }
            Effect::PlatformCall { .. } | Effect::Send(..) | Effect::Log(_) => {}
        }
    }

    fn health_check(&mut self, id: &str, text: &str) -> HealthCheckResult {
        let state = self.instances.iter_mut().find(|(known, _)| **known == id).expect("instance").1;
        if state.dark {
            return HealthCheckResult::Failed;
        }
        if text.starts_with("STEPDOWN") {
            state.leads = None;
        }
        let term = state.leads.unwrap_or(1);
        let received = Position { term, number: 7 };
        HealthCheckResult::Status { primary: state.leads.is_some(), term, received }
    }
}
