//! A session that another pooler serves, at the pooler that accepted it.

use super::control_line::{CONTROL_LINE_MAX, ControlLine, revision_line};
use crate::connection::draining::{ClientActivity, DrainPhase, SessionState};
use crate::request::error::RequestError;
use std::time::Instant;

/// Bytes of a client's line that are kept, enough to recognize a request.
const REQUEST_PREFIX_LENGTH: usize = 8;
const QUERY_PREFIX: &[u8] = b"QUERY ";
const CONNECT_PREFIX: &[u8] = b"CONNECT";

/// Transaction states in `READY` lines; any other means that a transaction is open.
const STATE_IDLE: u8 = b'I';
const STATE_FAILED: u8 = b'E';

const CARRIER_GONE: &str = "the connection to the pooler that served this session was lost";

/// The relay of a forwarded session. Bytes pass through; lines are looked at just enough to know whether the
/// session is idle and which revision of the configuration serves it.
#[derive(Debug, Clone)]
pub struct ForwardedSession {
    /// The first bytes of the client's current line.
    request_prefix: Vec<u8>,
    /// Whether the client's current line has begun and not ended.
    in_request_line: bool,
    /// The beginning of the carrier's current line, held back until it is known not to be a control line.
    response_prefix: Vec<u8>,
    /// Whether the rest of the carrier's current line passes through: its beginning already has.
    passing_response_line: bool,
    /// Requests that the carrier has not answered.
    unanswered_requests: u64,
    /// From the carrier's last `READY` line.
    transaction_state: u8,
    /// Whether the carrier's last line was an `ERROR`: its `READY` follows, or the carrier closes.
    last_line_is_error: bool,
    /// Whether the last statement was answered without an instance.
    answered_without_instance: bool,
    /// When the client was last active, for draining.
    pub activity: ClientActivity,
    /// Whether the carrier has asked for the session to be closed.
    close_requested: bool,
    /// Whether the carrier is lost; the client has been answered.
    carrier_lost: bool,
    /// The revision last announced to the carrier.
    announced_revision: u64,
}

impl ForwardedSession {
    /// A new session, whose carrier knows the revision.
    pub fn new(revision: u64) -> Self {
        ForwardedSession {
            request_prefix: Vec::new(),
            in_request_line: false,
            response_prefix: Vec::new(),
            passing_response_line: false,
            unanswered_requests: 0,
            transaction_state: STATE_IDLE,
            last_line_is_error: false,
            answered_without_instance: false,
            activity: ClientActivity::default(),
            close_requested: false,
            carrier_lost: false,
            announced_revision: revision,
        }
    }

    /// Takes bytes from the client and returns those for the carrier. `revision` is the newest that this
    /// daemon has applied or seen in use; it is announced ahead of the next line.
    pub fn handle_client_bytes(&mut self, now: Instant, bytes: &[u8], revision: u64) -> Vec<u8> {
        let mut to_carrier = Vec::with_capacity(bytes.len() + CONTROL_LINE_MAX);
        self.activity.note_input(now);
        for piece in bytes.split_inclusive(|byte| *byte == b'\n') {
            if !self.in_request_line {
                self.announce_revision(revision, &mut to_carrier);
                self.request_prefix.clear();
            }
            let room = REQUEST_PREFIX_LENGTH.saturating_sub(self.request_prefix.len()).min(piece.len());
            self.request_prefix.extend_from_slice(&piece[..room]);
            to_carrier.extend_from_slice(piece);
            self.in_request_line = !piece.ends_with(b"\n");
            if !self.in_request_line {
                self.count_request(now);
            }
        }
        to_carrier
    }

    fn announce_revision(&mut self, revision: u64, to_carrier: &mut Vec<u8>) {
        if revision > self.announced_revision {
            self.announced_revision = revision;
            to_carrier.extend_from_slice(revision_line(revision).as_bytes());
        }
    }

    /// Counts the client's line that has just ended, if it is a request.
    fn count_request(&mut self, now: Instant) {
        let is_query = self.request_prefix.starts_with(QUERY_PREFIX);
        let is_request = is_query || self.request_prefix.starts_with(CONNECT_PREFIX);
        self.unanswered_requests += u64::from(is_request);
        if is_query {
            self.activity.note_statement(now);
        }
    }

    /// Takes bytes from the carrier and returns what follows from them.
    pub fn handle_carrier_bytes(&mut self, bytes: &[u8]) -> CarrierOutput {
        let mut output =
            CarrierOutput { to_client: Vec::with_capacity(bytes.len()), served_revision: None, may_close: false };
        for piece in bytes.split_inclusive(|byte| *byte == b'\n') {
            let is_complete = piece.ends_with(b"\n");
            if self.passing_response_line {
                output.to_client.extend_from_slice(piece);
                self.passing_response_line = !is_complete;
                continue;
            }
            self.response_prefix.extend_from_slice(piece);
            if is_complete || self.response_prefix.len() >= CONTROL_LINE_MAX {
                let line = std::mem::take(&mut self.response_prefix);
                self.handle_carrier_line(&line, is_complete, &mut output);
            }
        }
        output
    }

    /// Takes a line of the carrier's, or the beginning of a line too long for a control line.
    fn handle_carrier_line(&mut self, line: &[u8], is_complete: bool, output: &mut CarrierOutput) {
        match ControlLine::parse(line) {
            Some(ControlLine::Revision(revision)) => {
                output.served_revision = output.served_revision.max(Some(revision));
            }
            Some(ControlLine::CloseRequest) => {
                self.close_requested = true;
                output.may_close = self.session_state() != SessionState::Busy;
            }
            None => {
                self.note_response_line(line);
                output.to_client.extend_from_slice(line);
                self.passing_response_line = !is_complete;
            }
        }
    }

    fn note_response_line(&mut self, line: &[u8]) {
        if let Some(rest) = line.strip_prefix(b"READY ") {
            self.unanswered_requests = self.unanswered_requests.saturating_sub(1);
            let state = rest.first().copied().unwrap_or(STATE_IDLE);
            let previous_state = std::mem::replace(&mut self.transaction_state, state);
            // Within a transaction, what the carrier answers without an instance is its beginning or its end.
            self.activity.note_answer(self.answered_without_instance && previous_state == STATE_IDLE);
        }
        self.answered_without_instance = line.starts_with(b"DONE - ") || line.starts_with(b"DONE -\r");
        self.last_line_is_error = line.starts_with(b"ERROR ");
    }

    pub(super) fn session_state(&self) -> SessionState {
        match self.transaction_state {
            _ if self.unanswered_requests > 0 || self.in_request_line => SessionState::Busy,
            STATE_IDLE => SessionState::Idle,
            _ => SessionState::InTransaction,
        }
    }

    /// Whether the client's session may be closed, provided that no unread bytes have come from the client;
    /// `answered`: the carrier's answer has just been passed on.
    pub fn may_close(&self, now: Instant, phase: DrainPhase, answered: bool) -> bool {
        let is_ending = self.close_requested || self.carrier_lost;
        let phase = if is_ending { phase.max(DrainPhase::Draining) } else { phase };
        let session_state = self.session_state();
        // A failed transaction has had its answer; only its end is left.
        let has_failed =
            answered && self.transaction_state == STATE_FAILED && session_state == SessionState::InTransaction;
        let may_close = has_failed || self.activity.may_close(now, session_state, phase, answered);
        phase > DrainPhase::Serving && may_close
    }

    /// Whether the client has a transaction open and no request under way.
    pub fn is_in_transaction(&self) -> bool {
        self.session_state() == SessionState::InTransaction
    }

    /// Whether a request of the client's is without its answer.
    pub fn is_busy(&self) -> bool {
        self.session_state() == SessionState::Busy
    }

    /// Whether [`Self::handle_carrier_loss`] was called.
    pub fn is_carrier_lost(&self) -> bool {
        self.carrier_lost
    }

    /// The carrier is gone, or is not waited for any longer. Returns the final answer for a client whose
    /// request will not be answered; the request may have run. Empty if no request is unanswered, if the
    /// carrier's own error was its final answer, or if its answer broke off within a line.
    pub fn handle_carrier_loss(&mut self) -> String {
        self.carrier_lost = true;
        let was_busy = std::mem::take(&mut self.unanswered_requests) > 0;
        if !was_busy || self.last_line_is_error || self.passing_response_line {
            return String::new();
        }
        if self.transaction_state != STATE_IDLE {
            self.transaction_state = STATE_FAILED;
        }
        self.activity.note_answer(false);
        self.error_response(&RequestError::unsure(CARRIER_GONE))
    }

    fn error_response(&self, error: &RequestError) -> String {
        let state = if self.transaction_state == STATE_IDLE { 'I' } else { 'E' };
        format!("{}READY {state} -\r\n", error.line())
    }

    /// Answers requests that the client sends after the carrier was lost. No carrier has had them whole, so
    /// they have not run.
    pub fn reject_requests(&mut self, now: Instant, bytes: &[u8]) -> String {
        self.handle_client_bytes(now, bytes, self.announced_revision);
        let error = match self.transaction_state {
            STATE_IDLE => RequestError::busy(&format!("{CARRIER_GONE}; reconnect at once")),
            _ => RequestError::aborted(&format!("{CARRIER_GONE}; the transaction is rolled back")),
        };
        let rejected = std::mem::take(&mut self.unanswered_requests);
        if rejected > 0 && self.transaction_state != STATE_IDLE {
            self.transaction_state = STATE_FAILED;
        }
        self.activity.note_answer(false);
        (0..rejected).map(|_| self.error_response(&error)).collect()
    }
}

/// What follows from bytes of the carrier's.
#[derive(Debug, PartialEq)]
pub struct CarrierOutput {
    /// Bytes for the client.
    pub to_client: Vec<u8>,
    /// The newest revision of the configuration that the carrier says it has in use, if it said any.
    pub served_revision: Option<u64>,
    /// Whether the carrier asked for a close and the session may be closed at once, provided that no unread
    /// bytes have come from the client.
    pub may_close: bool,
}
