//! The operator: configurations and calls of the controllers' API.

use super::actions::Action;
use super::client::ClientRoute;
use super::events::FollowUp;
use super::reads::MAX_STALENESS;
use super::{HostIndex, InstanceIndex, SERVICE, World};
use crate::judge::AcknowledgedLimit;
use crate::trace::Party;
use lichenfield_engine::process::controller::Request;
use std::time::Duration;

/// The operator sends a change again after this time without an acknowledgement.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);
/// From change to change in quick succession.
const QUICK_CHANGE_INTERVAL: Duration = Duration::from_millis(8);
/// Each change raises the revision by this, so that a race has a number between.
const REVISION_STEP: u64 = 2;
/// Names invalid configurations in calls. Were one acknowledged, no daemon could reach this revision.
const INVALID_REVISION: u64 = 999_999;
/// Configurations that must be refused: no JSON, and one without a route.
const INVALID_CONFIGURATIONS: [&[u8]; 2] = [b"{", br#"{"revision":1,"routes":[],"backends":[]}"#];
/// Tokens of calls: 0 for heartbeats, a revision for configurations, and from these on racing changes and notices
/// of instances that drain or end.
const FIRST_RACE_TOKEN: u64 = 2_000_000;
const FIRST_NOTICE_TOKEN: u64 = 3_000_000;
const MAX_REVISION: u64 = 1_000_000;

/// What a call of a controller's API is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ApiCall {
    /// An instance's heartbeat.
    Heartbeat,
    /// A configuration of the operator's.
    SetConfig { revision: u64 },
    /// One of two changes that race.
    RacingChange { number: u64 },
    /// An instance announces that it drains or ends.
    DrainNotice { instance: InstanceIndex },
}

impl ApiCall {
    fn token(self) -> u64 {
        match self {
            ApiCall::Heartbeat => 0,
            ApiCall::SetConfig { revision } => revision,
            ApiCall::RacingChange { number } => FIRST_RACE_TOKEN + number,
            ApiCall::DrainNotice { instance } => FIRST_NOTICE_TOKEN + instance as u64,
        }
    }

    fn from_token(token: u64) -> Self {
        match token {
            1..MAX_REVISION => ApiCall::SetConfig { revision: token },
            FIRST_NOTICE_TOKEN.. => ApiCall::DrainNotice { instance: (token - FIRST_NOTICE_TOKEN) as InstanceIndex },
            FIRST_RACE_TOKEN.. => ApiCall::RacingChange { number: token - FIRST_RACE_TOKEN },
            _ => ApiCall::Heartbeat,
        }
    }
}

/// A call of a controller's API.
#[derive(Debug)]
pub(super) struct ApiRequest<'a> {
    pub(super) call: ApiCall,
    pub(super) method: &'a str,
    pub(super) path: &'a str,
    /// The revision that a change is conditional on.
    pub(super) if_match: Option<u64>,
    pub(super) body: Vec<u8>,
}

/// What the operator wants and has achieved.
#[derive(Debug)]
pub(super) struct Operator {
    /// Newest revision sent.
    pub(super) revision: u64,
    pub(super) acknowledged_revision: u64,
    /// Changes that were refused.
    pub(super) refused: usize,
    /// Racing changes that were acknowledged.
    pub(super) races_won: usize,
    /// The tenants' API keys.
    pub(super) keys: Vec<String>,
    /// Operations a second for each tenant; none for no limit.
    rate_limit: Option<u32>,
    pub(super) acknowledged_limits: Vec<AcknowledgedLimit>,
}

impl Operator {
    /// One that has sent nothing yet.
    pub(super) fn new() -> Self {
        Operator {
            revision: 0,
            acknowledged_revision: 0,
            refused: 0,
            races_won: 0,
            keys: vec!["key-a".into(), "key-b".into()],
            rate_limit: None,
            acknowledged_limits: Vec::new(),
        }
    }
}

/// A route of the configuration, as JSON.
fn route_json(name: &str, consistency: &str, max_staleness: Option<Duration>) -> String {
    let staleness =
        max_staleness.map(|staleness| format!(r#","stale_ms":{}"#, staleness.as_millis())).unwrap_or_default();
    format!(
        r#"{{"name":"{name}","hostname":"{name}","path-prefix":"/","type":"{consistency}","deadline-ms":800,"target-ms":150,"rank":1,"service":"{SERVICE}"{staleness}}}"#
    )
}

/// Name of a route that no client uses. The multiplier spreads the names over their order.
fn idle_route_name(number: usize) -> String {
    format!("db{:x}", number.wrapping_mul(2_654_435_761) % 0xffff_fff1)
}

impl World {
    /// A controller that is up, at random.
    pub(super) fn random_controller(&mut self) -> Option<HostIndex> {
        let is_running = |index: &HostIndex| self.hosts[*index].up && !self.hosts[*index].frozen;
        let running: Vec<HostIndex> = (0..self.controllers).filter(is_running).collect();
        (!running.is_empty()).then(|| running[self.rng.usize(0..running.len())])
    }

    /// Calls a controller's API; the call arrives at once.
    pub(super) fn call_api(&mut self, controller: HostIndex, request: ApiRequest) {
        let ApiRequest { call, method, path, if_match, body } = request;
        let now = self.instant();
        let token = call.token();
        let bytes = [format!("{method} {path} {if_match:?} ").as_bytes(), &body[..]].concat();
        self.trace_sent(Party::Caller(token), Party::Daemon(self.hosts[controller].ip), &bytes);
        let if_match = if_match.map(|revision| revision.to_string());
        let request = Request { method: method.into(), path: path.into(), if_match, body };
        if let Some(running) = self.hosts[controller].running_controller_mut() {
            running.request(now, token, request);
        }
        self.process_effects(controller);
    }

    /// A controller has answered a call.
    pub(super) fn api_call_answered(&mut self, token: u64, status: u16) {
        let succeeded = status == 200;
        match ApiCall::from_token(token) {
            ApiCall::Heartbeat => {}
            ApiCall::SetConfig { revision } if succeeded => self.config_acknowledged(revision),
            ApiCall::SetConfig { .. } => self.operator.refused += usize::from((400..500).contains(&status)),
            ApiCall::RacingChange { .. } => self.operator.races_won += usize::from(succeeded),
            ApiCall::DrainNotice { instance } if succeeded => {
                self.instances[instance].drain_acknowledged_at.get_or_insert(self.now);
            }
            ApiCall::DrainNotice { .. } => {}
        }
    }

    fn config_acknowledged(&mut self, revision: u64) {
        let at = self.now;
        let operator = &mut self.operator;
        operator.acknowledged_revision = operator.acknowledged_revision.max(revision);
        if let Some(per_second) = operator.rate_limit {
            operator.acknowledged_limits.push(AcknowledgedLimit { at, per_second });
        }
    }

    /// The operator makes a change.
    pub(super) fn change_config(&mut self) {
        self.operator.revision += REVISION_STEP;
        self.send_config(self.operator.revision);
    }

    /// Sends a change, unless it was acknowledged, and again after a while.
    pub(super) fn send_config(&mut self, revision: u64) {
        if self.operator.acknowledged_revision >= revision {
            return;
        }
        self.follow_up(RESEND_INTERVAL, FollowUp::SendConfig { revision });
        if let Some(controller) = self.random_controller() {
            let body = self.configuration(revision);
            let if_match = Some(revision - REVISION_STEP);
            self.put_config(controller, ApiCall::SetConfig { revision }, if_match, body);
        }
    }

    fn put_config(&mut self, controller: HostIndex, call: ApiCall, if_match: Option<u64>, body: Vec<u8>) {
        self.call_api(controller, ApiRequest { call, method: "PUT", path: "/api/config", if_match, body });
    }

    /// Plans changes in quick succession.
    pub(super) fn change_config_repeatedly(&mut self, count: u32) {
        for number in 0..count {
            self.plan(self.now + QUICK_CHANGE_INTERVAL * number, Action::ChangeConfig);
        }
    }

    /// Sends configurations that must be refused.
    pub(super) fn send_invalid_configs(&mut self) {
        for body in INVALID_CONFIGURATIONS {
            let current = self.operator.revision;
            if let Some(controller) = self.random_controller() {
                let call = ApiCall::SetConfig { revision: INVALID_REVISION };
                self.put_config(controller, call, Some(current), body.to_vec());
            }
        }
    }

    /// Sends two changes of one revision, to the first two controllers.
    pub(super) fn race_config_changes(&mut self) {
        let current = self.operator.revision;
        for number in 0..2 {
            let body = self.configuration(current + 1 + number);
            self.put_config(number as HostIndex, ApiCall::RacingChange { number }, Some(current), body);
        }
        self.operator.revision = current + REVISION_STEP;
    }

    /// Gives the first tenant a new API key.
    pub(super) fn rotate_key(&mut self) {
        if let Some(key) = self.operator.keys.first_mut() {
            key.push_str("-new");
        }
        self.change_config();
    }

    /// Changes the tenants' rate limit.
    pub(super) fn set_rate_limit(&mut self, per_second: Option<u32>) {
        self.operator.rate_limit = per_second;
        self.change_config();
    }

    /// The configuration as it stands, as JSON.
    fn configuration(&self, revision: u64) -> Vec<u8> {
        let max_connections = self.config.max_connections;
        let routes = self.routes_json();
        let idle_services = self
            .idle_instances
            .iter()
            .map(|instance| format!(r#",{{"name":"{}","max-connections":{max_connections}}}"#, instance.service))
            .collect::<String>();
        let tenants = self.tenants_json();
        format!(
            r#"{{"revision":{revision},"routes":[{routes}],"backends":[{{"name":"{SERVICE}","max-connections":{max_connections}}}{idle_services}],"limits":{{"tx-rest-ms":3000}},"customers":[{tenants}]}}"#
        )
        .into_bytes()
    }

    fn routes_json(&self) -> String {
        let idle = (0..self.config.idle_routes)
            .map(|number| route_json(&idle_route_name(number), "bounded", Some(MAX_STALENESS)));
        let used = ClientRoute::ALL.into_iter().map(|route| match route {
            ClientRoute::Primary => route_json(route.name(), "primary", None),
            ClientRoute::BoundedStaleness => route_json(route.name(), "bounded", Some(MAX_STALENESS)),
            ClientRoute::ReadYourWrites => route_json(route.name(), "own_writes", Some(MAX_STALENESS)),
        });
        idle.chain(used).collect::<Vec<String>>().join(",")
    }

    fn tenants_json(&self) -> String {
        let limit = self.operator.rate_limit;
        let limit = limit.map(|rate| format!(r#","rate-per-s":{rate},"burst":{rate}"#)).unwrap_or_default();
        let tenants = self.operator.keys.iter().enumerate();
        let tenants = tenants.map(|(number, key)| format!(r#"{{"name":"t{number}","api-keys":["{key}"]{limit}}}"#));
        tenants.collect::<Vec<String>>().join(",")
    }
}
