//! Calls to the platform: promotions and usage reports.

use super::ControllerDriver;
use lichenfield_engine::process::leadership::PlatformCallOutcome;
use lichenfield_runtime::http::{self, HttpClientError, HttpResponse, OutboundRequest};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A call takes this long at most; then its outcome is unknown.
const PLATFORM_CALL_TIMEOUT: Duration = Duration::from_millis(2000);

/// Why a call has no answer.
#[derive(Debug, thiserror::Error)]
enum PlatformCallError {
    #[error("no platform")]
    NoPlatform,
    #[error(transparent)]
    Http(#[from] HttpClientError),
}

impl ControllerDriver {
    /// Starts a call, and hands its status to the state machine.
    pub(super) fn spawn_platform_call(self: &Rc<Self>, token: u64, path: &'static str, fence: u64, body: String) {
        let driver = Rc::clone(self);
        let task = async move {
            let answer = driver.call_platform(path, fence, body).await;
            match &answer {
                Ok(answer) => tracing::info!("platform {path}: {}", answer.status),
                Err(error) => tracing::info!("platform {path}: {error}"),
            }
            let outcome = PlatformCallOutcome::from_status(answer.ok().map(|answer| answer.status));
            driver.controller.borrow_mut().platform_call_finished(Instant::now(), token, outcome);
            driver.tick();
        };
        self.executor.spawn(task).detach();
    }

    /// Calls the platform. Right before anything is sent it is asked once more whether this daemon still leads in the
    /// term that the fencing token names.
    async fn call_platform(
        self: &Rc<Self>,
        path: &'static str,
        fence: u64,
        body: String,
    ) -> Result<HttpResponse, PlatformCallError> {
        let platform = self.platform.ok_or(PlatformCallError::NoPlatform)?;
        let headers = [("duty-holder", self.node.clone()), ("fence", fence.to_string())];
        let driver = Rc::clone(self);
        let may_send = move || driver.controller.borrow().may_call(Instant::now(), fence);
        let request = OutboundRequest {
            address: platform,
            method: "POST",
            path,
            headers: &headers,
            body: body.into_bytes(),
            timeout: PLATFORM_CALL_TIMEOUT,
        };
        Ok(http::send(self.executor, request, may_send).await?)
    }
}
