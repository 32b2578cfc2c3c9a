//! Admission under tenants' limits: a statement of a tenant with a limit begins only when a right held here is spent on
//! it. Rights come from the leader; see [`crate::process::quota`].

use super::timeouts::RIGHTS_REQUEST_INTERVAL;
use super::{Effect, Pooler};
use crate::connection::SessionId;
use crate::process::peer_message::PeerMessage;
use crate::process::quota::{RightsHolder, RightsNeed, RightsTransfer, SpendOutcome};
use crate::request::error::RequestError;
use std::time::{Duration, Instant};

/// The rights held here, the sessions that wait for some, and what the leader knows of them.
#[derive(Debug)]
pub(super) struct AdmissionControl {
    rights: RightsHolder,
    waiting_sessions: Vec<SessionId>,
    /// When the leader is asked for rights apart from lease requests.
    request_due: Option<Instant>,
    /// Not before this.
    next_request_at: Instant,
    /// The leader has yet to be sent all that is held here.
    full_report_required: bool,
    /// The last request that contained all.
    full_report_nonce: u64,
}

impl AdmissionControl {
    pub(super) fn new(now: Instant, incarnation: u64) -> Self {
        AdmissionControl {
            rights: RightsHolder::new(incarnation),
            waiting_sessions: Vec::new(),
            request_due: None,
            next_request_at: now,
            full_report_required: true,
            full_report_nonce: 0,
        }
    }

    pub(super) fn request_due(&self) -> Option<Instant> {
        self.request_due
    }

    /// Another leader may be in office, which knows nothing of what is held here.
    pub(super) fn require_full_report(&mut self) {
        self.full_report_required = true;
    }

    /// The term of the leader that knows all that is held here.
    pub(super) fn known_term(&self) -> u64 {
        self.rights.known_term
    }

    /// What the lease request with this nonce reports: all if that is required, else what has changed.
    pub(super) fn report(&mut self, now: Instant, nonce: u64) -> Vec<RightsNeed> {
        if self.full_report_required {
            self.full_report_nonce = nonce;
        }
        self.rights.needs(now, self.full_report_required)
    }

    /// What a request for rights reports: what has changed. The next is due some time later.
    fn report_changes(&mut self, now: Instant) -> Vec<RightsNeed> {
        self.rights.needs(now, false)
    }

    fn note_request(&mut self, now: Instant) {
        self.request_due = None;
        self.next_request_at = now + RIGHTS_REQUEST_INTERVAL;
    }

    fn spend(&mut self, now: Instant, tenant: &str, has_waited: bool) -> SpendOutcome {
        self.rights.spend(now, tenant, has_waited)
    }

    /// The session waits for rights, which are requested soon.
    fn enqueue(&mut self, now: Instant, session_id: SessionId) {
        self.waiting_sessions.push(session_id);
        self.request_due.get_or_insert(self.next_request_at.max(now));
    }

    fn take_waiting(&mut self) -> Vec<SessionId> {
        std::mem::take(&mut self.waiting_sessions)
    }

    /// Takes a grant that answers the request with this nonce. Whether its leader must be sent a full report at once.
    fn apply_grant(&mut self, now: Instant, nonce: u64, grant: Grant) -> bool {
        let leader_is_new = self.rights.handle_rights_grant(now, grant.valid_until, grant.term, grant.transfers);
        if leader_is_new {
            self.full_report_required = true;
        } else if nonce == self.full_report_nonce {
            self.full_report_required = false;
        }
        leader_is_new
    }
}

/// Rights given by the leader of a term.
struct Grant {
    term: u64,
    valid_until: Instant,
    transfers: Vec<RightsTransfer>,
}

impl Pooler {
    /// Whether the session's statement may begin. If not, it waits for rights or has been refused.
    pub(super) fn admit(&mut self, now: Instant, session_id: SessionId) -> bool {
        let Some(config) = self.configuration.current() else { return true };
        let Some(statement) = self.sessions.statement_mut(session_id) else { return false };
        if statement.admitted || !config.quotas.contains_key(&statement.tenant) {
            return true;
        }
        let has_waited = std::mem::replace(&mut statement.waited_for_rights, true);
        match self.admission.spend(now, &statement.tenant, has_waited) {
            SpendOutcome::Admitted => {
                statement.admitted = true;
                true
            }
            SpendOutcome::RequestRights => {
                self.schedule_queue_timeout(now, session_id);
                self.admission.enqueue(now, session_id);
                false
            }
            SpendOutcome::Exhausted => {
                let error = RequestError::busy("the tenant is at its limit; retry in 200 ms");
                self.reply_error(now, session_id, &error);
                false
            }
        }
    }

    /// Asks the leader for the rights that sessions wait for.
    pub(super) fn request_rights(&mut self, now: Instant) {
        self.admission.note_request(now);
        let Some(leader) = self.leader.leader() else { return };
        let message = PeerMessage::RightsRequest {
            nonce: self.leader.next_nonce(now),
            node: self.identity.node.clone(),
            incarnation: self.identity.incarnation,
            needs: self.admission.report_changes(now),
        };
        self.effects.push(Effect::SendToPeer(leader, message));
    }

    /// The leader of this term gave rights; they may be spent for this long after they were requested.
    pub fn handle_rights_grant(
        &mut self,
        now: Instant,
        nonce: u64,
        valid_for: Duration,
        term: u64,
        transfers: Vec<RightsTransfer>,
    ) {
        let Some(sent_at) = self.leader.request_sent_at(nonce) else { return };
        let grant = Grant { term, valid_until: sent_at + valid_for, transfers };
        if self.admission.apply_grant(now, nonce, grant) {
            self.leader.request_leases_now(now);
        }
        for session_id in self.admission.take_waiting() {
            self.dispatch(now, session_id);
            self.process_input(now, session_id);
        }
    }
}
