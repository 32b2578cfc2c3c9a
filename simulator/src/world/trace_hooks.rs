//! Notes in the trace what an event carries from one party to another.

use super::events::Event;
use super::{HostIndex, SessionId, World};
use crate::trace::{Party, Trace};
use lichenfield_engine::process::peer_message;

impl World {
    /// The digest of all that was sent, if one was asked for.
    pub fn trace(&self) -> Option<&Trace> {
        self.trace.as_ref()
    }

    /// Traces what an event carries, when it is scheduled.
    pub(super) fn trace_event(&mut self, event: &Event) {
        if self.trace.is_none() {
            return;
        }
        let bytes_of = |text: &Option<String>| text.clone().unwrap_or_default().into_bytes();
        let (from, to, bytes) = match event {
            Event::PeerMessage { from, to, message } => {
                (self.daemon_party(*from), self.daemon_party(to.host), peer_message::encode(message))
            }
            Event::InstanceInput { connection, instance, text } => {
                let pooler = self.daemon_party(connection.process.host);
                (pooler, Party::Instance(*instance), text.clone().into_bytes())
            }
            Event::InstanceOutput { connection, instance, text } => {
                let pooler = self.daemon_party(connection.process.host);
                (Party::Instance(*instance), pooler, bytes_of(text))
            }
            Event::ClientInput { session_id, text, .. } => {
                (self.serving_party(*session_id), Party::Session(*session_id), bytes_of(text))
            }
            Event::SessionInput { session_id, text } => {
                (Party::Session(*session_id), self.serving_party(*session_id), bytes_of(text))
            }
            _ => return,
        };
        self.trace_sent(from, to, &bytes);
    }

    /// Traces bytes sent now.
    pub(super) fn trace_sent(&mut self, from: Party, to: Party, bytes: &[u8]) {
        if let Some(trace) = &mut self.trace {
            trace.record(self.now, from, to, bytes);
        }
    }

    fn daemon_party(&self, host: HostIndex) -> Party {
        Party::Daemon(self.hosts[host].ip)
    }

    fn serving_party(&self, session_id: SessionId) -> Party {
        self.sessions.get(&session_id).map_or(Party::Unserved, |session| self.daemon_party(session.pooler))
    }
}
