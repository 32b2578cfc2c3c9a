//! What the instances tell the controllers, and the platform's API, which promotes them.

use super::instances::{INSTANCES, InstanceGroup};
use crate::database::{self, IsolationChange};
use lichenfield_runtime::http::{self, HttpResponse, OutboundRequest};
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1000);
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(900);
/// Controllers that a heartbeat is sent to until one takes it.
const HEARTBEAT_ATTEMPTS: usize = 3;
/// From a call of the platform to the promotion.
const PROMOTION_TIME: Duration = Duration::from_millis(300);
/// An instance that is isolated for its promotion is back after this at the latest.
const ISOLATED_AT_MOST: Duration = Duration::from_secs(7);
const STATUS_OK: u16 = 200;
const STATUS_CONFLICT: u16 = 409;

impl InstanceGroup {
    pub(super) async fn send_heartbeats(self: Rc<Self>, index: usize) {
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

    pub(super) fn serve_platform(self: &Rc<Self>, address: SocketAddrV4) -> io::Result<()> {
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
        self.isolate_candidate_if_due(index);
        let group = Rc::clone(self);
        let promotion = async move {
            smol::Timer::after(PROMOTION_TIME).await;
            group.promote(index);
        };
        self.executor.spawn(promotion).detach();
        STATUS_OK
    }

    /// An instance is about to be promoted: it is isolated, or the one before it is not any more.
    fn isolate_candidate_if_due(self: &Rc<Self>, index: usize) {
        let mut state = self.state.borrow_mut();
        match state.candidate_isolation.promotion_accepted(index) {
            IsolationChange::Begins(index) => state.instances[index].isolated = true,
            IsolationChange::Ends(index) => return state.end_isolation(index),
            IsolationChange::None => return,
        }
        let group = Rc::clone(self);
        let end = async move {
            smol::Timer::after(ISOLATED_AT_MOST).await;
            let mut state = group.state.borrow_mut();
            if state.candidate_isolation.end(index) {
                state.end_isolation(index);
            }
        };
        self.executor.spawn(end).detach();
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
