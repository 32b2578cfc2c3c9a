//! Carrying sessions: where a service's connections are too few for every pooler to hold some, a few
//! poolers hold them all, and the others pass their clients' sessions on to those.
//!
//! Who carries is reckoned alike everywhere, from the shares in the log. `docs/scale.md` tells what was
//! weighed.

use crate::connection::draining::{ClientActivity, DrainPhase, SessionState};
use crate::digest::digest;
use crate::request::error::RequestError;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::Ipv4Addr;
use std::time::Instant;

/// A pooler that counts for the shares.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PoolerShare {
    pub ip: Ipv4Addr,
    pub zone: String,
}

/// By name.
pub type PoolerShares = BTreeMap<String, PoolerShare>;

/// Connections of an instance that are kept free of clients' work, for the system's own calls.
const RESERVED: u32 = 4;
/// With fewer connections each than this, poolers do not hold their own.
const DIRECT_MIN: u32 = 6;
/// A service has a carrier for each zone, as far as each gets this many connections to an instance, and
/// two in any case.
const CARRIER_SHARE: u32 = 18;
const CARRIERS_MIN: usize = 2;

fn rank(words: &[&str]) -> u64 {
    // The digest's low bits mix badly for short words; a last multiplication spreads them.
    let sum = digest(words.join("\n").as_bytes());
    (sum ^ (sum >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9).rotate_left(31)
}

/// Who holds connections to a service's instances, and how many of them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ConnectionHolding {
    /// The poolers that carry it; none where all hold connections of their own.
    pub carriers: Vec<(String, PoolerShare)>,
    /// Connections to one instance that this daemon may hold.
    pub share: usize,
}

/// Who carries what, reckoned once for the shares and services in force.
#[derive(Debug, Default)]
pub struct CarrierAssignment {
    me: String,
    holdings: BTreeMap<String, ConnectionHolding>,
}

/// How many services a pooler carries before another is taken, in terms of an even spread.
const SLACK: f64 = 1.25;

impl CarrierAssignment {
    /// `services` are their names and caps, in an order that all daemons share. A service is carried by
    /// the poolers that a hash of their name and the service's ranks first, of different zones as far as
    /// that goes, but none carries many more services than the others.
    pub fn new<'a>(me: &str, parts: &PoolerShares, services: impl IntoIterator<Item = (&'a str, u32)>) -> Self {
        let zones = parts.values().map(|p| &p.zone).collect::<BTreeSet<_>>().len();
        let counted = |cap: u32| {
            let usable = cap.saturating_sub(RESERVED).max(1);
            if parts.is_empty() || usable / parts.len() as u32 >= DIRECT_MIN {
                return (usable, 0);
            }
            let count = zones.min((usable / CARRIER_SHARE) as usize).max(CARRIERS_MIN).min(parts.len());
            (usable, count)
        };
        let services: Vec<(&str, u32, usize)> =
            services.into_iter().map(|(name, cap)| (name, counted(cap).0, counted(cap).1)).collect();
        let places: usize = services.iter().map(|(.., count)| count).sum();
        let most = (places as f64 / parts.len().max(1) as f64 * SLACK).ceil() as usize;
        let mut load: HashMap<&str, usize> = HashMap::new();
        let mut holdings = BTreeMap::new();
        for (service, usable, count) in services {
            let carriers = choose(parts, service, count, most, &mut load);
            let share = if carriers.is_empty() {
                // One that is not counted yet leaves the others theirs.
                let heads = parts.len() as u32 + if parts.contains_key(me) { 0 } else { 10 };
                (usable / heads.max(1)).max(1) as usize
            } else if carriers.iter().any(|(n, _)| n == me) {
                (usable as usize / carriers.len()).max(1)
            } else {
                // Only for sessions that found no carrier or have not moved yet; what is reserved covers
                // the few there are.
                1
            };
            holdings.insert(service.to_owned(), ConnectionHolding { carriers, share });
        }
        CarrierAssignment { me: me.to_owned(), holdings }
    }

    pub fn holding(&self, service: &str) -> Option<&ConnectionHolding> {
        self.holdings.get(service)
    }

    /// Services that this daemon carries.
    pub fn carried(&self) -> impl Iterator<Item = &String> {
        self.holdings.iter().filter(|(_, h)| h.carriers.iter().any(|(n, _)| *n == self.me)).map(|(s, _)| s)
    }

    /// Whether others carry the service.
    pub fn elsewhere(&self, service: &str) -> bool {
        self.holding(service).is_some_and(|h| !h.carriers.is_empty() && h.carriers.iter().all(|(n, _)| *n != self.me))
    }

    /// Where a tenant's sessions on a service go, the best first; empty where they are served here. A
    /// tenant's are in one place, since its connections serve nobody else and each is opened for it.
    pub fn homes(&self, service: &str, tenant: &str) -> Vec<Ipv4Addr> {
        let Some(holding) = self.holding(service) else { return Vec::new() };
        let mut homes: Vec<_> = holding.carriers.iter().collect();
        homes.sort_by_cached_key(|(name, _)| std::cmp::Reverse(rank(&[service, tenant, name])));
        // From the one that it would be served by here on, nothing is gained by passing it on.
        homes.into_iter().take_while(|(name, _)| *name != self.me).map(|(_, part)| part.ip).collect()
    }
}

fn choose<'a>(
    parts: &'a PoolerShares,
    service: &str,
    count: usize,
    most: usize,
    load: &mut HashMap<&'a str, usize>,
) -> Vec<(String, PoolerShare)> {
    if count == 0 {
        return Vec::new();
    }
    let mut all: Vec<(u64, &'a String, &'a PoolerShare)> =
        parts.iter().map(|(n, p)| (rank(&[service, n]), n, p)).collect();
    all.sort_unstable_by_key(|(rank, ..)| std::cmp::Reverse(*rank));
    let mut chosen: Vec<(&'a String, &'a PoolerShare)> = Vec::with_capacity(count);
    for (fresh, most) in [(true, most), (false, most), (false, usize::MAX)] {
        for (_, name, part) in &all {
            let known = chosen.iter().any(|(n, _)| n == name);
            let new_zone = chosen.iter().all(|(_, p)| p.zone != part.zone);
            let carried = load.get(name.as_str()).copied().unwrap_or(0);
            if chosen.len() < count && !known && carried < most && (new_zone || !fresh) {
                chosen.push((name, part));
                *load.entry(name.as_str()).or_default() += 1;
            }
        }
    }
    chosen.into_iter().map(|(n, p)| (n.clone(), p.clone())).collect()
}

/// The word by which poolers tell each other, on a carried session, which version they go by.
pub const REVISION: &str = "REV";
/// By it a carrier asks the pooler that its session came by to close it.
pub const CLOSE_REQUEST_LINE: &str = "PART\r\n";
/// Longest line of ours, with its end.
const OURS_MAX: usize = 32;

pub fn revision_line(revision: u64) -> String {
    format!("{REVISION} {revision}\r\n")
}

/// A session that another pooler serves: bytes go through, and just enough of the lines is looked at
/// to know whether it is at rest and which version it was served by.
#[derive(Debug, Clone)]
pub struct ForwardedSession {
    /// The beginning of the client's line that is not whole yet, and whether any of it went on.
    up: Vec<u8>,
    up_partial: bool,
    down: Vec<u8>,
    down_passes: bool,
    /// Questions without an answer.
    outstanding: u64,
    state: u8,
    /// The last line was an error: either its `READY` follows, or it was the last word.
    error: bool,
    /// The last statement was answered without an instance.
    own: bool,
    pub activity: ClientActivity,
    /// The carrier wants it closed.
    parting: bool,
    /// There is no carrier any more, and the client was told.
    severed: bool,
    /// The version last told to the carrier.
    told: u64,
}

impl ForwardedSession {
    pub fn new(revision: u64) -> Self {
        ForwardedSession {
            up: Vec::new(),
            up_partial: false,
            down: Vec::new(),
            down_passes: false,
            outstanding: 0,
            state: b'I',
            error: false,
            own: false,
            activity: ClientActivity::default(),
            parting: false,
            severed: false,
            told: revision,
        }
    }

    /// What goes to the carrier for what came from the client; `revision` is the newest version that
    /// this daemon goes by or has seen at work.
    pub fn client_said(&mut self, now: Instant, bytes: &[u8], revision: u64) -> Vec<u8> {
        let mut out = Vec::with_capacity(bytes.len() + OURS_MAX);
        self.activity.note_input(now);
        for piece in bytes.split_inclusive(|b| *b == b'\n') {
            if !self.up_partial {
                if revision > self.told {
                    self.told = revision;
                    out.extend_from_slice(revision_line(revision).as_bytes());
                }
                self.up.clear();
            }
            let room = 8usize.saturating_sub(self.up.len()).min(piece.len());
            self.up.extend_from_slice(&piece[..room]);
            out.extend_from_slice(piece);
            self.up_partial = !piece.ends_with(b"\n");
            if !self.up_partial {
                let question = self.up.starts_with(b"QUERY ") || self.up.starts_with(b"CONNECT");
                self.outstanding += u64::from(question);
                if self.up.starts_with(b"QUERY ") {
                    self.activity.note_statement(now);
                }
            }
        }
        out
    }

    /// What goes to the client for what came from the carrier.
    pub fn carrier_said(&mut self, bytes: &[u8]) -> Heard {
        let mut out = Vec::with_capacity(bytes.len());
        let (mut seen, mut part) = (None, false);
        for piece in bytes.split_inclusive(|b| *b == b'\n') {
            let whole = piece.ends_with(b"\n");
            if self.down_passes {
                out.extend_from_slice(piece);
                self.down_passes = !whole;
                continue;
            }
            self.down.extend_from_slice(piece);
            if !whole && self.down.len() < OURS_MAX {
                continue;
            }
            let line = std::mem::take(&mut self.down);
            let text = String::from_utf8_lossy(&line);
            if let Some(told) = text.strip_prefix(REVISION).and_then(|r| r.trim().parse().ok()) {
                seen = seen.max(Some(told));
                continue;
            }
            if line == CLOSE_REQUEST_LINE.as_bytes() {
                self.parting = true;
                part = self.session_state() != SessionState::Busy;
                continue;
            }
            if let Some(rest) = line.strip_prefix(b"READY ") {
                self.outstanding = self.outstanding.saturating_sub(1);
                let before = std::mem::replace(&mut self.state, rest.first().copied().unwrap_or(b'I'));
                // In a transaction what the carrier answers by itself is its beginning or its end.
                self.activity.note_answer(self.own && before == b'I');
            }
            self.own = line.starts_with(b"DONE - ") || line.starts_with(b"DONE -\r");
            self.error = line.starts_with(b"ERROR ");
            out.extend_from_slice(&line);
            self.down_passes = !whole;
        }
        Heard { down: out, seen, part }
    }

    fn session_state(&self) -> SessionState {
        match self.state {
            _ if self.outstanding > 0 || self.up_partial => SessionState::Busy,
            b'I' => SessionState::Idle,
            _ => SessionState::InTransaction,
        }
    }

    /// Whether the client's session may be closed, if nothing unread has come; `answered`: it has just
    /// heard from the carrier.
    pub fn may_close(&self, now: Instant, phase: DrainPhase, answered: bool) -> bool {
        let phase = if self.parting || self.severed { phase.max(DrainPhase::Draining) } else { phase };
        let session_state = self.session_state();
        // A transaction that has failed has had its answer; what is left is its end.
        let failed = answered && self.state == b'E' && session_state == SessionState::InTransaction;
        phase > DrainPhase::Serving && (failed || self.activity.may_close(now, session_state, phase, answered))
    }

    /// Whether its client has a transaction open, and asks nothing.
    pub fn is_open(&self) -> bool {
        self.session_state() == SessionState::InTransaction
    }

    pub fn is_severed(&self) -> bool {
        self.severed
    }

    /// The carrier is gone, or not waited for any more: the last word to a client whose answer will not
    /// come. It may have run. Nothing, where the carrier had its last word already or broke off within a
    /// line, or where nothing was asked.
    pub fn sever(&mut self) -> String {
        self.severed = true;
        let asked = std::mem::take(&mut self.outstanding) > 0;
        if !asked || self.error || self.down_passes {
            return String::new();
        }
        if self.state != b'I' {
            self.state = b'E';
        }
        self.activity.note_answer(false);
        self.last_word(&RequestError::unsure("the daemon that served this session is gone"))
    }

    fn last_word(&self, error: &RequestError) -> String {
        let state = if self.state == b'I' { 'I' } else { 'E' };
        format!("{}READY {state} -\r\n", error.line())
    }

    /// What a client is told that has asked after all: no carrier has had the whole question.
    pub fn refuse(&mut self, now: Instant, bytes: &[u8]) -> String {
        self.client_said(now, bytes, self.told);
        let error = match self.state {
            b'I' => RequestError::busy("the daemon that served this session is gone; come back at once"),
            _ => RequestError::aborted("the daemon that served this session is gone; the transaction is rolled back"),
        };
        let count = std::mem::take(&mut self.outstanding);
        if count > 0 && self.state != b'I' {
            self.state = b'E';
        }
        self.activity.note_answer(false);
        (0..count).map(|_| self.last_word(&error)).collect()
    }
}

/// What a carrier's bytes come to.
#[derive(Debug, PartialEq)]
pub struct Heard {
    /// For the client.
    pub down: Vec<u8>,
    /// The version it was served by.
    pub seen: Option<u64>,
    /// The session may be closed at once, if nothing unread has come.
    pub part: bool,
}

#[cfg(test)]
mod tests {
    use super::*;

    fn parts(n: u8) -> PoolerShares {
        (0..n)
            .map(|i| {
                let part = PoolerShare { ip: Ipv4Addr::new(10, 0, 0, i), zone: format!("z{}", i % 4) };
                (format!("edge-{i}"), part)
            })
            .collect()
    }

    fn assignment(me: &str, parts: &PoolerShares, services: &[(String, u32)]) -> CarrierAssignment {
        CarrierAssignment::new(me, parts, services.iter().map(|(name, cap)| (name.as_str(), *cap)))
    }

    fn services(n: usize, cap: u32) -> Vec<(String, u32)> {
        (0..n).map(|s| (format!("s{s}"), cap)).collect()
    }

    #[test]
    fn few_connections_are_held_by_few_and_never_more_than_the_cap() {
        let small = assignment("edge-1", &parts(7), &services(1, 60));
        assert!(small.homes("s0", "t").is_empty(), "enough for everybody");
        assert_eq!(small.holding("s0").map(|h| h.share), Some(8));
        let (all, services) = (parts(86), services(30, 59));
        let view = assignment("out", &all, &services);
        let mut loads: BTreeMap<String, usize> = BTreeMap::new();
        for (service, _) in &services {
            let carriers = &view.holding(service).expect("known").carriers;
            let zones: BTreeSet<_> = carriers.iter().map(|(_, p)| &p.zone).collect();
            assert_eq!((carriers.len(), zones.len()), (3, 3), "spread over zones");
            carriers.iter().for_each(|(n, _)| *loads.entry(n.clone()).or_default() += 1);
            let share =
                |(n, _): &(String, PoolerShare)| assignment(n, &all, &services).holding(service).map_or(0, |h| h.share);
            let total: usize = carriers.iter().map(share).sum();
            assert!(total > 45 && total <= 59 - RESERVED as usize, "{total} in all");
        }
        assert!(loads.values().all(|n| *n <= 2), "no pooler carries many: {loads:?}");
        // One more or fewer pooler changes little.
        let mut fewer = all.clone();
        fewer.remove("edge-40");
        let other = assignment("out", &fewer, &services);
        let same = services.iter().filter(|(s, _)| view.holding(s) == other.holding(s)).count();
        assert!(same >= 24, "{same} of 30 stay");
        let spread: BTreeSet<Ipv4Addr> = (0..40).map(|t| view.homes("s0", &format!("t{t}"))[0]).collect();
        assert_eq!(spread.len(), 3, "tenants spread over the carriers");
    }

    #[test]
    fn a_forwarded_session_passes_everything_on_but_the_poolers_own_lines() {
        let now = Instant::now();
        let mut session = ForwardedSession::new(3);
        let up = session.client_said(now, b"QUERY a READ x\r\nQUE", 3);
        assert_eq!(up, b"QUERY a READ x\r\nQUE");
        assert_eq!(session.client_said(now, b"RY b READ REV 9\r\n", 5), b"RY b READ REV 9\r\n", "not within a line");
        assert_eq!(session.client_said(now, b"QUERY c COMMIT\r\n", 5), b"REV 5\r\nQUERY c COMMIT\r\n");
        assert_eq!(session.session_state(), SessionState::Busy);
        let answer = b"REV 6\r\nROW REV 7\r\nDONE 1\r\nREADY I 1.2\r\nROW long";
        let mut down = Vec::new();
        let mut seen = None;
        for byte in answer {
            let heard = session.carrier_said(&[*byte]);
            down.extend(heard.down);
            seen = seen.max(heard.seen);
        }
        assert_eq!(seen, Some(6));
        down.extend(session.carrier_said(&[b'x'; 40]).down);
        down.extend(session.carrier_said(b"\r\nDONE 2\r\nREADY T 1.2\r\nERROR BUSY -\r\nREADY T 1.2\r\n").down);
        let told = [
            &b"ROW REV 7\r\nDONE 1\r\nREADY I 1.2\r\nROW long"[..],
            &[b'x'; 40],
            b"\r\nDONE 2\r\nREADY T 1.2\r\nERROR BUSY -\r\nREADY T 1.2\r\n",
        ]
        .concat();
        assert_eq!(down, told);
        assert_eq!(
            session.session_state(),
            SessionState::InTransaction,
            "three answers came, and a transaction is open"
        );
        let mut severed = session.clone();
        assert_eq!(severed.sever(), "", "nothing is owed yet");
        assert!(!severed.may_close(now, DrainPhase::RollingBack, false), "its client is to be told when it goes on");
        assert!(severed.refuse(now, b"QUERY e COMMIT\r\n").ends_with("READY E -\r\n"), "its transaction failed");
        assert!(severed.may_close(now, DrainPhase::Serving, true));
        session.client_said(now, b"QUERY d READ x\r\n", 6);
        assert!(session.clone().sever().starts_with("ERROR UNSURE"), "it may have run");
        session.carrier_said(b"ROW long, longer than any of the poolers' own words");
        assert_eq!(session.clone().sever(), "", "broken off within a line");
        session.carrier_said(b"\r\nERROR MALFORMED the end\r\n");
        assert_eq!(session.sever(), "", "the carrier's last word stands");
    }

    #[test]
    fn a_carrier_that_asks_for_a_close_leaves_it_to_the_pooler_the_client_connected_to() {
        let start = Instant::now();
        let mut session = ForwardedSession::new(3);
        session.client_said(start, b"CONNECT db key\r\n", 3);
        session.carrier_said(b"READY I -\r\n");
        session.client_said(start, b"QUERY a SET x 1\r\n", 3);
        assert!(!session.carrier_said(CLOSE_REQUEST_LINE.as_bytes()).part, "a question is on its way there");
        let heard = session.carrier_said(b"DONE -\r\nREADY I -\r\n");
        assert_eq!(heard.down, b"DONE -\r\nREADY I -\r\n");
        assert!(!session.may_close(start, DrainPhase::Serving, true), "the operation is still to come");
        session.client_said(start, b"QUERY b BEGIN\r\nQUERY c WRITE x y\r\nQUERY d COMMIT\r\n", 3);
        session.carrier_said(b"DONE -\r\nREADY T -\r\nDONE 1.2\r\nREADY T 1.2\r\n");
        assert!(!session.may_close(start, DrainPhase::Serving, true));
        session.carrier_said(b"DONE 1.3\r\nREADY I 1.3\r\n");
        assert!(session.may_close(start, DrainPhase::Serving, true), "the operation has ended");
        assert!(session.carrier_said(CLOSE_REQUEST_LINE.as_bytes()).part, "nothing is asked");
    }
}
