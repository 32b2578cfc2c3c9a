//! Who reports usage: the confirmed leader, each window once, with counts that the log fixed beforehand.
//!
//! Poolers report their counts by window with each request for leases, and repeat them until they learn that the window
//! is reported. Once a window's counts are settled the leader commits them (`RecordUsage`) and then sends them to the
//! platform. A new leader sends what is committed and not known to be sent; it first commits itself as the reporter, so
//! that the A-B-A rule of [`platform_calls`](super::platform_calls) holds here as well.

use super::outbox::{Outbox, PendingCall};
use super::platform_calls::{PlatformCallOutcome, PlatformCalls, USAGE_SUBJECT};
use super::{Lead, LeaderContext};
use crate::process::settings::TimingBounds;
use crate::version::control_state::{Command, UsageReport};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Share of the usage delay after which a window's counts are taken as complete.
const SETTLED_AFTER_SHARE: f64 = 0.35;
/// Time for the poolers to find a new leader, which takes them about a second, and to report all that is not reported.
const GATHER_FOR: Duration = Duration::from_millis(1500);
/// Pause between looks over all poolers' counts.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);
/// Pause after a call without a usable answer.
const RETRY_AFTER: Duration = Duration::from_millis(400);
/// Pause before the same window is proposed again.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(1);
/// A committed window is sent if it is at most this many below the latest settled one.
const WINDOWS_SENT_LATE: u64 = 4;
/// Counts are kept for fewer than this many windows below the latest settled one.
const WINDOWS_KEPT: u64 = 12;

/// Number of a usage window: the time since 1970 in units of the window's length.
type Window = u64;
/// Requests by tenant.
type Counts = BTreeMap<String, u64>;

/// A process of a pooler; one that restarts counts anew under another incarnation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct PoolerProcess {
    node: String,
    incarnation: u64,
}

#[derive(Debug, Clone, Copy)]
struct UsageProposal {
    window: Window,
    proposed_at: Instant,
}

/// What the reporting works with, beside its own state.
pub struct UsageContext<'a> {
    /// State and time of day.
    pub leader: &'a LeaderContext<'a>,
    /// This leader's term.
    pub lead: Lead,
    /// Length of a window and delay of its report.
    pub bounds: &'a TimingBounds,
    /// Permission to call the platform.
    pub platform: &'a mut PlatformCalls,
    /// Where effects go.
    pub outbox: &'a mut Outbox,
}

/// The poolers' counts and the state of the reporting.
#[derive(Debug, Default)]
pub struct UsageReports {
    /// Kept from term to term.
    counts: BTreeMap<PoolerProcess, BTreeMap<Window, Counts>>,
    /// Windows that the platform took or refused for good in this term.
    sent: BTreeSet<Window>,
    call_in_flight: bool,
    next_attempt_at: Option<Instant>,
    last_proposal: Option<UsageProposal>,
}

impl UsageReports {
    /// Takes a pooler's counts; those of a window replace earlier ones.
    pub fn record_counts(&mut self, node: &str, incarnation: u64, usage: BTreeMap<Window, Counts>) {
        let process = PoolerProcess { node: node.to_owned(), incarnation };
        self.counts.entry(process).or_default().extend(usage);
    }

    /// Sends or proposes the next window that is due. Called by a confirmed leader only.
    pub fn step(&mut self, context: &mut UsageContext) {
        if !self.may_report(context) {
            return;
        }
        let (now, control_state) = (context.leader.now, context.leader.control_state);
        let latest_settled = latest_settled_window(context);
        // What is committed and not known to have been taken is sent first, from the oldest on.
        let unsent = control_state
            .usage_reports
            .iter()
            .find(|(window, _)| **window + WINDOWS_SENT_LATE >= latest_settled && !self.sent.contains(window));
        if let Some((window, report)) = unsent {
            return self.send(*window, report, context);
        }
        self.next_attempt_at = Some(now + LOOK_INTERVAL);
        let last_committed = control_state.usage_reports.keys().next_back().copied().unwrap_or(0);
        if let Some((window, counts)) = self.first_used_window(last_committed, latest_settled) {
            self.propose(window, counts, context);
        }
        self.forget_old_counts(latest_settled);
    }

    fn may_report(&self, context: &UsageContext) -> bool {
        let now = context.leader.now;
        let reporter = context.leader.control_state.usage_reporter.as_deref();
        context.platform.is_configured()
            && !self.call_in_flight
            && self.next_attempt_at.is_none_or(|at| now >= at)
            && context.platform.may_act(now, context.bounds, USAGE_SUBJECT, reporter)
            && now.duration_since(context.lead.since) >= GATHER_FOR
    }

    /// Sends a committed report; if another controller committed to sending it, the log first names this one.
    fn send(&mut self, window: Window, report: &UsageReport, context: &mut UsageContext) {
        let now = context.leader.now;
        let node = context.platform.node();
        let reporter = context.leader.control_state.usage_reporter.as_deref();
        if report.reporter != node && reporter != Some(node) {
            return self.propose(window, Counts::new(), context);
        }
        if !context.platform.take_call_slot(now) {
            return;
        }
        self.call_in_flight = true;
        context.platform.record_act(now, USAGE_SUBJECT);
        let body = serde_json::json!({"window-number": window, "counts": report.counts});
        context.outbox.platform_call(PendingCall::Usage { window }, "/usage", context.lead.term, &body);
    }

    /// The oldest window after the last committed one and before the latest settled one in which anybody made a
    /// request, with the sums over all poolers.
    fn first_used_window(&self, last_committed: Window, latest_settled: Window) -> Option<(Window, Counts)> {
        let mut sums: BTreeMap<Window, Counts> = BTreeMap::new();
        for windows in self.counts.values() {
            let due = windows.iter().filter(|(window, _)| (last_committed + 1..latest_settled).contains(*window));
            for (window, counts) in due {
                let sum = sums.entry(*window).or_default();
                for (tenant, count) in counts {
                    *sum.entry(tenant.clone()).or_default() += count;
                }
            }
        }
        sums.into_iter().find(|(_, counts)| counts.values().any(|count| *count > 0))
    }

    fn propose(&mut self, window: Window, counts: Counts, context: &mut UsageContext) {
        let now = context.leader.now;
        let under_way = self
            .last_proposal
            .is_some_and(|last| last.window == window && now.duration_since(last.proposed_at) < PROPOSAL_TIMEOUT);
        if under_way {
            return;
        }
        self.last_proposal = Some(UsageProposal { window, proposed_at: now });
        let reporter = context.platform.node().to_owned();
        context.outbox.propose(Command::RecordUsage { window, counts, reporter });
    }

    fn forget_old_counts(&mut self, latest_settled: Window) {
        for windows in self.counts.values_mut() {
            windows.retain(|window, _| *window + WINDOWS_KEPT > latest_settled);
        }
        self.counts.retain(|_, windows| !windows.is_empty());
    }

    /// Takes the outcome of a call to the platform.
    pub fn platform_call_finished(
        &mut self,
        now: Instant,
        window: Window,
        outcome: PlatformCallOutcome,
        outbox: &mut Outbox,
    ) {
        self.call_in_flight = false;
        match outcome {
            PlatformCallOutcome::Accepted => {
                self.sent.insert(window);
            }
            PlatformCallOutcome::Conflict | PlatformCallOutcome::Rejected { .. } => {
                outbox.log(format!("usage report of window {window}: {outcome}"));
                self.sent.insert(window);
            }
            PlatformCallOutcome::RateLimited | PlatformCallOutcome::Unavailable => {
                self.next_attempt_at = Some(now + RETRY_AFTER);
            }
        }
    }

    /// The term is over; the poolers' counts are kept.
    pub fn clear_term(&mut self) {
        self.sent.clear();
        self.call_in_flight = false;
        self.last_proposal = None;
    }
}

/// The window that was begun last among those settled by now; windows below it are complete.
fn latest_settled_window(context: &UsageContext) -> Window {
    let window_seconds = context.bounds.usage_window().as_secs_f64();
    let settle_seconds = context.bounds.usage_delay().mul_f64(SETTLED_AFTER_SHARE).as_secs_f64();
    ((context.leader.time_of_day.as_secs_f64() - settle_seconds) / window_seconds).floor() as Window
}
