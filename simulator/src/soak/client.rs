//! Clients. Half of them keep a session for as long as it is open, the others take a new one for each operation.

use super::Soak;
use super::operation::{Operation, OperationEnd};
use super::wire::WireSession;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Databases by which clients reach the service; the first one takes writes only at the primary.
pub(super) const DATABASES: [&str; 3] = ["writes", "reads", "own"];
/// Tenants that clients belong to.
const TENANTS: usize = super::plan::TENANTS;
const RECONNECT_PAUSE: Duration = Duration::from_millis(40);
/// Pause between operations, in milliseconds.
const OPERATION_PAUSE_MILLIS: std::ops::Range<u64> = 0..150;

/// A client and what it remembers.
pub(super) struct Client {
    pub(super) number: usize,
    pub(super) database: &'static str,
    pub(super) rng: fastrand::Rng,
    /// Operations begun.
    pub(super) operations: u64,
    /// Session values that were acknowledged.
    pub(super) values: BTreeMap<String, String>,
    keeps_session: bool,
    /// Sessions that failed; another pooler is tried after each.
    failures: usize,
}

/// Runs a client until the run ends.
pub(super) async fn run(soak: Rc<Soak>, number: usize, seed: u64) {
    let mut client = Client {
        number,
        database: DATABASES[number % DATABASES.len()],
        rng: fastrand::Rng::with_seed(seed ^ ((number as u64 + 1) << 32)),
        operations: 0,
        values: BTreeMap::new(),
        keeps_session: number.is_multiple_of(2),
        failures: 0,
    };
    loop {
        if let Some(session) = client.connect(&soak).await {
            client.use_session(&soak, session).await;
        }
        smol::Timer::after(RECONNECT_PAUSE).await;
    }
}

impl Client {
    async fn connect(&mut self, soak: &Soak) -> Option<WireSession> {
        let pooler = soak.entry.choose(self.number.wrapping_mul(7).wrapping_add(self.failures))?;
        let address = soak.deployment.borrow().session_address(pooler);
        let key = soak.operator.key(self.number % TENANTS);
        self.values.clear();
        match WireSession::open(address, self.database, &key).await {
            Ok(session) => Some(session),
            Err(_) => {
                self.failures += 1;
                None
            }
        }
    }

    /// Runs operations until the session has ended, or one if the client does not keep it.
    async fn use_session(&mut self, soak: &Soak, mut session: WireSession) {
        loop {
            self.operations += 1;
            let operation = Operation::draw(self);
            if operation.run(soak, self, &mut session).await == OperationEnd::SessionOver {
                self.failures += 1;
                return;
            }
            if !self.keeps_session {
                return;
            }
            smol::Timer::after(Duration::from_millis(self.rng.u64(OPERATION_PAUSE_MILLIS))).await;
        }
    }
}
