//! The platform's entry: which poolers new clients are sent to.

use lichenfield_runtime::Executor;
use lichenfield_runtime::http::{self, OutboundRequest};
use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

const PROBE_INTERVAL: Duration = Duration::from_secs(1);
const PROBE_TIMEOUT: Duration = Duration::from_millis(900);
/// A pooler that missed so many probes in a row gets no new clients.
const MISSES_MAX: u32 = 2;
const STATUS_OK: u16 = 200;

/// The state of all poolers.
pub(super) struct Entry {
    /// Probes in a row that each pooler missed.
    misses: RefCell<Vec<u32>>,
}

impl Entry {
    /// Begins to probe.
    pub(super) fn start(executor: Executor, poolers: Vec<SocketAddrV4>) -> Rc<Self> {
        let entry = Rc::new(Entry { misses: RefCell::new(vec![MISSES_MAX; poolers.len()]) });
        let count = poolers.len() as u32;
        for (number, address) in poolers.into_iter().enumerate() {
            let first = PROBE_INTERVAL * number as u32 / count;
            executor.spawn(Rc::clone(&entry).probe(executor, number, address, first)).detach();
        }
        entry
    }

    async fn probe(self: Rc<Self>, executor: Executor, number: usize, address: SocketAddrV4, first: Duration) {
        smol::Timer::after(first).await;
        loop {
            let request = OutboundRequest {
                address,
                method: "GET",
                path: "/api/ready",
                headers: &[],
                body: Vec::new(),
                timeout: PROBE_TIMEOUT,
            };
            let next_probe = smol::Timer::after(PROBE_INTERVAL);
            let response = http::send(executor, request, || true).await;
            let is_ready = response.is_ok_and(|response| response.status == STATUS_OK);
            self.record_probe(number, is_ready);
            next_probe.await;
        }
    }

    fn record_probe(&self, number: usize, is_ready: bool) {
        if let Some(misses) = self.misses.borrow_mut().get_mut(number) {
            *misses = if is_ready { 0 } else { *misses + 1 };
        }
    }

    fn ready(&self) -> Vec<usize> {
        let misses = self.misses.borrow();
        (0..misses.len()).filter(|number| misses[*number] < MISSES_MAX).collect()
    }

    /// Whether every pooler is ready.
    pub(super) fn all_ready(&self) -> bool {
        self.ready().len() == self.misses.borrow().len()
    }

    /// The pooler for a client: one of those that are ready, or of all while fewer than half are.
    pub(super) fn choose(&self, hash: usize) -> Option<usize> {
        let count = self.misses.borrow().len();
        let ready = self.ready();
        match ready.len() {
            0 => None,
            few if few * 2 < count => Some(hash % count),
            many => Some(ready[hash % many]),
        }
    }
}
