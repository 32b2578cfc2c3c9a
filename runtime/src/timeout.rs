//! Bounded waiting.

use std::time::Duration;

/// Waits for `future`, but no longer than `timeout`; `None` if the time ran out, in which case `future` is dropped.
pub async fn with_timeout<T>(timeout: Duration, future: impl Future<Output = T>) -> Option<T> {
    smol::future::or(async { Some(future.await) }, async {
        smol::Timer::after(timeout).await;
        None
    })
    .await
}
