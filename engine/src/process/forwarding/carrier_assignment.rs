//! Which poolers hold a service's connections, computed alike by every daemon.

use crate::digest::digest;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::Ipv4Addr;

/// A pooler that counts for the shares.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PoolerShare {
    /// The pooler's address.
    pub ip: Ipv4Addr,
    /// The pooler's zone.
    pub zone: String,
}

/// All poolers that count for the shares, by name.
pub type PoolerShares = BTreeMap<String, PoolerShare>;

/// Connections to each instance that are kept free of clients' work, for the system's own calls.
pub(super) const RESERVED_CONNECTIONS: u32 = 4;
/// With fewer connections to an instance than this for each pooler, not every pooler holds its own.
const DIRECT_CONNECTIONS_MIN: u32 = 6;
/// A service has a carrier for each zone, as far as each carrier gets this many connections to an instance.
const CARRIER_CONNECTIONS_MIN: u32 = 18;
/// A service that is carried has at least this many carriers.
const CARRIERS_MIN: usize = 2;
/// How many services a pooler carries before another is preferred, as a multiple of an even distribution.
const CARRIER_LOAD_FACTOR: f64 = 1.25;
/// A pooler that does not count for the shares yet divides the connections by this many poolers more, which
/// leaves the counted ones theirs.
const UNCOUNTED_POOLER_WEIGHT: u32 = 10;

/// A pooler that carries a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Carrier {
    /// The pooler's name.
    pub name: String,
    /// Its address and zone.
    pub share: PoolerShare,
}

/// Who holds connections to a service's instances, and how many of them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ConnectionHolding {
    /// The poolers that carry the service; none where all poolers hold connections of their own.
    pub carriers: Vec<Carrier>,
    /// Connections to each instance that this daemon may hold.
    pub connection_limit: usize,
}

impl ConnectionHolding {
    fn is_carried_by(&self, pooler: &str) -> bool {
        self.carriers.iter().any(|carrier| carrier.name == pooler)
    }
}

/// The carriers of all services, for the shares and services in force.
#[derive(Debug, Default)]
pub struct CarrierAssignment {
    own_name: String,
    holdings: BTreeMap<String, ConnectionHolding>,
}

/// What a service's connections allow.
#[derive(Debug, Clone, Copy)]
struct ServiceCapacity<'a> {
    service: &'a str,
    /// Connections to each instance that are left for clients' work.
    usable_connections: u32,
    /// How many carriers the service has; 0 where every pooler holds connections of its own.
    carrier_count: usize,
}

impl<'a> ServiceCapacity<'a> {
    fn new(service: &'a str, connection_cap: u32, poolers: usize, zones: usize) -> Self {
        let usable_connections = connection_cap.saturating_sub(RESERVED_CONNECTIONS).max(1);
        let is_direct = poolers == 0 || usable_connections / poolers as u32 >= DIRECT_CONNECTIONS_MIN;
        let carrier_count = match is_direct {
            true => 0,
            false => zones.min((usable_connections / CARRIER_CONNECTIONS_MIN) as usize).max(CARRIERS_MIN).min(poolers),
        };
        ServiceCapacity { service, usable_connections, carrier_count }
    }

    /// Connections to each instance that the pooler may hold.
    fn connection_limit(&self, pooler: &str, shares: &PoolerShares, carriers: &[Carrier]) -> usize {
        if carriers.is_empty() {
            let uncounted = if shares.contains_key(pooler) { 0 } else { UNCOUNTED_POOLER_WEIGHT };
            let poolers = shares.len() as u32 + uncounted;
            (self.usable_connections / poolers.max(1)).max(1) as usize
        } else if carriers.iter().any(|carrier| carrier.name == pooler) {
            (self.usable_connections as usize / carriers.len()).max(1)
        } else {
            // Only for sessions that reached no carrier or have not been moved yet. They are few: the
            // reserved connections cover them.
            1
        }
    }
}

impl CarrierAssignment {
    /// Assigns carriers to `services`: names and connection caps of each instance, in an order that all
    /// daemons share. A service is carried by the poolers that rendezvous hashing ranks first, of different
    /// zones as far as possible, but none carries many more services than the others.
    pub fn new<'a>(own_name: &str, shares: &PoolerShares, services: impl IntoIterator<Item = (&'a str, u32)>) -> Self {
        let zones = shares.values().map(|share| &share.zone).collect::<BTreeSet<_>>().len();
        let capacity = |(service, cap)| ServiceCapacity::new(service, cap, shares.len(), zones);
        let capacities: Vec<ServiceCapacity> = services.into_iter().map(capacity).collect();
        let carrier_places: usize = capacities.iter().map(|capacity| capacity.carrier_count).sum();
        let mut selection = CarrierSelection::new(shares, carrier_places);
        let mut holdings = BTreeMap::new();
        for capacity in capacities {
            let carriers = selection.select(capacity.service, capacity.carrier_count);
            let connection_limit = capacity.connection_limit(own_name, shares, &carriers);
            holdings.insert(capacity.service.to_owned(), ConnectionHolding { carriers, connection_limit });
        }
        CarrierAssignment { own_name: own_name.to_owned(), holdings }
    }

    /// Who holds the connections of a service; `None` if it is unknown.
    pub fn holding(&self, service: &str) -> Option<&ConnectionHolding> {
        self.holdings.get(service)
    }

    /// The services that this daemon carries.
    pub fn carried_services(&self) -> impl Iterator<Item = &String> {
        let carried = self.holdings.iter().filter(|(_, holding)| holding.is_carried_by(&self.own_name));
        carried.map(|(service, _)| service)
    }

    /// Whether the service is carried, and not by this daemon.
    pub fn is_carried_by_others(&self, service: &str) -> bool {
        self.holding(service)
            .is_some_and(|holding| !holding.carriers.is_empty() && !holding.is_carried_by(&self.own_name))
    }

    /// The poolers to which a tenant's sessions on a service are forwarded, the preferred one first; empty
    /// where this daemon serves them. All of a tenant's sessions prefer one carrier, since connections are
    /// opened for one tenant each and serve no other.
    pub fn forwarding_targets(&self, service: &str, tenant: &str) -> Vec<Ipv4Addr> {
        let Some(holding) = self.holding(service) else { return Vec::new() };
        let mut carriers: Vec<&Carrier> = holding.carriers.iter().collect();
        carriers.sort_by_cached_key(|carrier| Reverse(rank(&[service, tenant, &carrier.name])));
        // Where this daemon is itself the next in order, nothing is gained by forwarding.
        let preferred = carriers.into_iter().take_while(|carrier| carrier.name != self.own_name);
        preferred.map(|carrier| carrier.share.ip).collect()
    }
}

/// The rank of a combination of names in rendezvous hashing; the highest is preferred.
fn rank(names: &[&str]) -> u64 {
    // The digest's low bits mix badly for short input; a last multiplication spreads them.
    let sum = digest(names.join("\n").as_bytes());
    (sum ^ (sum >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9).rotate_left(31)
}

/// One pass over the poolers, ranked, while the carriers of a service are selected.
#[derive(Debug, Clone, Copy)]
struct SelectionPass {
    /// Whether only poolers of a zone that has no carrier yet are taken.
    new_zones_only: bool,
    /// Poolers that carry this many services are passed over.
    max_load: usize,
}

/// The selection of carriers for one service after the other.
struct CarrierSelection<'a> {
    shares: &'a PoolerShares,
    /// Poolers that carry this many services are taken only when there is no other.
    max_load: usize,
    /// Services carried so far, by pooler.
    load: HashMap<&'a str, usize>,
}

impl<'a> CarrierSelection<'a> {
    /// `carrier_places`: how many carriers all services have together.
    fn new(shares: &'a PoolerShares, carrier_places: usize) -> Self {
        let even_load = carrier_places as f64 / shares.len().max(1) as f64;
        let max_load = (even_load * CARRIER_LOAD_FACTOR).ceil() as usize;
        CarrierSelection { shares, max_load, load: HashMap::new() }
    }

    fn passes(&self) -> [SelectionPass; 3] {
        [
            SelectionPass { new_zones_only: true, max_load: self.max_load },
            SelectionPass { new_zones_only: false, max_load: self.max_load },
            SelectionPass { new_zones_only: false, max_load: usize::MAX },
        ]
    }

    fn select(&mut self, service: &str, count: usize) -> Vec<Carrier> {
        if count == 0 {
            return Vec::new();
        }
        let mut ranked: Vec<(&'a String, &'a PoolerShare)> = self.shares.iter().collect();
        ranked.sort_by_cached_key(|(name, _)| Reverse(rank(&[service, name])));
        let mut carriers: Vec<Carrier> = Vec::with_capacity(count);
        for pass in self.passes() {
            for (name, share) in &ranked {
                if carriers.len() < count && self.is_eligible(pass, name, share, &carriers) {
                    carriers.push(Carrier { name: (*name).clone(), share: (*share).clone() });
                    *self.load.entry(name.as_str()).or_default() += 1;
                }
            }
        }
        carriers
    }

    fn is_eligible(&self, pass: SelectionPass, name: &str, share: &PoolerShare, selected: &[Carrier]) -> bool {
        let is_selected = selected.iter().any(|carrier| carrier.name == name);
        let is_new_zone = selected.iter().all(|carrier| carrier.share.zone != share.zone);
        let load = self.load.get(name).copied().unwrap_or(0);
        !is_selected && load < pass.max_load && (is_new_zone || !pass.new_zones_only)
    }
}
