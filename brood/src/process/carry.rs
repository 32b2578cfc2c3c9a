//! Carrying sessions: where a service's connections are too few for every forager to hold some, a few
//! foragers hold them all, and the others pass their clients' sessions on to those.
//!
//! Who carries is reckoned alike everywhere, from the shares in the log. `docs/scale.md` tells what was
//! weighed.

use super::repair::digest;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

/// A forager that counts for the shares.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Part {
    pub ip: Ipv4Addr,
    pub zone: String,
}

/// By name.
pub type Parts = BTreeMap<String, Part>;

/// Connections of an instance that are kept free of clients' work, for the system's own calls.
const RESERVED: u32 = 4;
/// With fewer connections each than this, foragers do not hold their own.
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

/// The foragers that carry a service, or none where all hold connections of their own: those that a
/// hash of their name and the service's ranks first, of different zones as far as that goes.
pub fn carriers<'a>(parts: &'a Parts, service: &str, cap: u32) -> Vec<(&'a String, &'a Part)> {
    let usable = cap.saturating_sub(RESERVED).max(1);
    if parts.is_empty() || usable / parts.len() as u32 >= DIRECT_MIN {
        return Vec::new();
    }
    let zones = parts.values().map(|p| &p.zone).collect::<BTreeSet<_>>().len();
    let count = zones.min((usable / CARRIER_SHARE) as usize).max(CARRIERS_MIN).min(parts.len());
    let mut all: Vec<(u64, &String, &Part)> = parts.iter().map(|(n, p)| (rank(&[service, n]), n, p)).collect();
    all.sort_unstable_by_key(|(rank, ..)| std::cmp::Reverse(*rank));
    let mut chosen: Vec<(&String, &Part)> = Vec::with_capacity(count);
    for fresh in [true, false] {
        for (_, name, part) in &all {
            let known = chosen.iter().any(|(n, _)| n == name);
            let new_zone = chosen.iter().all(|(_, p)| p.zone != part.zone);
            if chosen.len() < count && !known && (new_zone || !fresh) {
                chosen.push((name, part));
            }
        }
    }
    chosen
}

/// How many connections a forager may hold to an instance of a service.
pub fn share(parts: &Parts, service: &str, cap: u32, me: &str) -> usize {
    let usable = cap.saturating_sub(RESERVED).max(1);
    let carriers = carriers(parts, service, cap);
    if carriers.is_empty() {
        // One that is not counted yet leaves the others theirs.
        let heads = parts.len() as u32 + if parts.contains_key(me) { 0 } else { 10 };
        return (usable / heads.max(1)).max(1) as usize;
    }
    // One that does not carry needs a connection only for sessions that found no carrier or have not
    // moved yet; what is reserved covers the few there are.
    if carriers.iter().any(|(n, _)| *n == me) { (usable as usize / carriers.len()).max(1) } else { 1 }
}

/// Where a tenant's sessions on a service go, the best first; empty where they are served here.
pub fn homes(parts: &Parts, service: &str, cap: u32, tenant: &str) -> Vec<(String, Ipv4Addr)> {
    let mut homes = carriers(parts, service, cap);
    homes.sort_by_cached_key(|(name, _)| std::cmp::Reverse(rank(&[service, tenant, name])));
    homes.into_iter().map(|(name, part)| (name.clone(), part.ip)).collect()
}

/// The word by which foragers tell each other, on a carried session, which version they go by.
pub const REVISION: &str = "REV";
/// Longest line of ours, with its end.
const OURS_MAX: usize = 32;

pub fn revision_line(revision: u64) -> String {
    format!("{REVISION} {revision}\r\n")
}

/// A session that another forager serves: bytes go through, and just enough of the lines is looked at
/// to know whether it is at rest and which version it was served by.
#[derive(Debug)]
pub struct Splice {
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
    pub turns: u64,
    pub heard: Option<Instant>,
    /// The version last told to the carrier.
    told: u64,
}

impl Splice {
    pub fn new(revision: u64) -> Self {
        Splice {
            up: Vec::new(),
            up_partial: false,
            down: Vec::new(),
            down_passes: false,
            outstanding: 0,
            state: b'I',
            error: false,
            turns: 0,
            heard: None,
            told: revision,
        }
    }

    /// What goes to the carrier for what came from the client; `revision` is the newest version that
    /// this daemon goes by or has seen at work.
    pub fn client_said(&mut self, now: Instant, bytes: &[u8], revision: u64) -> Vec<u8> {
        let mut out = Vec::with_capacity(bytes.len() + OURS_MAX);
        self.heard = Some(now);
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
                self.turns += u64::from(self.up.starts_with(b"QUERY "));
            }
        }
        out
    }

    /// What goes to the client for what came from the carrier, and the version it was served by.
    pub fn carrier_said(&mut self, bytes: &[u8]) -> (Vec<u8>, Option<u64>) {
        let mut out = Vec::with_capacity(bytes.len());
        let mut seen = None;
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
            if let Some(rest) = line.strip_prefix(b"READY ") {
                self.outstanding = self.outstanding.saturating_sub(1);
                self.state = rest.first().copied().unwrap_or(b'I');
            }
            self.error = line.starts_with(b"ERROR ");
            out.extend_from_slice(&line);
            self.down_passes = !whole;
        }
        (out, seen)
    }

    /// Whether the client waits for an answer.
    pub fn asked(&self) -> bool {
        self.outstanding > 0
    }

    /// Nothing asked and nothing open: it may be closed without harm.
    pub fn at_rest(&self) -> bool {
        self.outstanding == 0 && !self.up_partial && self.state == b'I'
    }

    /// At rest, and not in the middle of readying itself.
    pub fn resting(&self, now: Instant, quiet: Duration) -> bool {
        self.at_rest() && self.turns > 0 && self.heard.is_none_or(|at| now.duration_since(at) > quiet)
    }

    /// The last word to a client whose answer will not come: it may have run. Nothing, where the
    /// carrier had its last word already or broke off within a line.
    pub fn lost(&self) -> &'static str {
        match self.state {
            _ if !self.asked() || self.error || self.down_passes => "",
            b'I' => "ERROR UNSURE the daemon that served this session is gone\r\nREADY I -\r\n",
            _ => "ERROR UNSURE the daemon that served this session is gone\r\nREADY E -\r\n",
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn parts(n: u8) -> Parts {
        (0..n)
            .map(|i| {
                let part = Part { ip: Ipv4Addr::new(10, 0, 0, i), zone: format!("z{}", i % 4) };
                (format!("edge-{i}"), part)
            })
            .collect()
    }

    #[test]
    fn few_connections_are_held_by_few_and_never_more_than_the_cap() {
        assert!(carriers(&parts(7), "s", 60).is_empty(), "enough for everybody");
        assert_eq!(share(&parts(7), "s", 60, "edge-1"), 8);
        let all = parts(86);
        let carry = carriers(&all, "s", 59);
        assert_eq!(carry.len(), 3);
        let zones: BTreeSet<_> = carry.iter().map(|(_, p)| &p.zone).collect();
        assert_eq!(zones.len(), 3, "spread over zones");
        let total: usize = carry.iter().map(|(n, _)| share(&all, "s", 59, n)).sum();
        assert!(total > 45 && total <= 59 - RESERVED as usize, "{total} in all");
        // One more or fewer forager changes little.
        let mut fewer = all.clone();
        fewer.remove("edge-40");
        let same = (0..30).filter(|s| {
            let service = format!("s{s}");
            let names = |p: &Parts| carriers(p, &service, 59).iter().map(|(n, _)| (*n).clone()).collect::<Vec<_>>();
            names(&all) == names(&fewer)
        });
        assert!(same.count() >= 27);
        let spread: BTreeSet<String> = (0..40).map(|t| homes(&all, "s", 59, &format!("t{t}"))[0].0.clone()).collect();
        assert_eq!(spread.len(), 3, "tenants spread over the carriers");
    }

    #[test]
    fn a_splice_passes_everything_on_but_the_foragers_own_words() {
        let now = Instant::now();
        let mut splice = Splice::new(3);
        let up = splice.client_said(now, b"QUERY a READ x\r\nQUE", 3);
        assert_eq!(up, b"QUERY a READ x\r\nQUE");
        assert_eq!(splice.client_said(now, b"RY b READ REV 9\r\n", 5), b"RY b READ REV 9\r\n", "not within a line");
        assert_eq!(splice.client_said(now, b"QUERY c COMMIT\r\n", 5), b"REV 5\r\nQUERY c COMMIT\r\n");
        assert!(splice.asked());
        let answer = b"REV 6\r\nROW REV 7\r\nDONE 1\r\nREADY I 1.2\r\nROW long";
        let mut down = Vec::new();
        let mut seen = None;
        for byte in answer {
            let (out, told) = splice.carrier_said(&[*byte]);
            down.extend(out);
            seen = seen.max(told);
        }
        assert_eq!(seen, Some(6));
        let (out, _) = splice.carrier_said(&[b'x'; 40]);
        down.extend(out);
        down.extend(splice.carrier_said(b"\r\nDONE 2\r\nREADY T 1.2\r\nERROR BUSY -\r\nREADY T 1.2\r\n").0);
        let told = [
            &b"ROW REV 7\r\nDONE 1\r\nREADY I 1.2\r\nROW long"[..],
            &[b'x'; 40],
            b"\r\nDONE 2\r\nREADY T 1.2\r\nERROR BUSY -\r\nREADY T 1.2\r\n",
        ]
        .concat();
        assert_eq!(down, told);
        assert!(!splice.asked() && !splice.at_rest(), "three answers came, and a transaction is open");
        assert_eq!(splice.lost(), "", "nothing is owed");
        splice.client_said(now, b"QUERY d READ x\r\n", 6);
        assert!(splice.lost().ends_with("READY E -\r\n"), "its transaction failed");
        splice.carrier_said(b"ROW long, longer than any of the foragers' own words");
        assert_eq!(splice.lost(), "", "broken off within a line");
        splice.carrier_said(b"\r\nERROR MALFORMED the end\r\n");
        assert_eq!(splice.lost(), "", "the carrier's last word stands");
    }
}
