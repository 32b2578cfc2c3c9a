//! Messages from peers, and the effects that the state machines ask for.

use super::PoolerDriver;
use lichenfield_engine::process::peer_message::PeerMessage;
use lichenfield_engine::process::pooler::Effect;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Instant;

impl PoolerDriver {
    /// A message from a peer goes to the dissemination tree first; what the tree leaves is for the pooler.
    pub(super) fn handle_peer_message(self: &Rc<Self>, from: Ipv4Addr, message: PeerMessage) {
        let now = Instant::now();
        let unhandled = self.tree.borrow_mut().handle_message(now, from, message);
        self.apply_tree_updates(now);
        match unhandled {
            Some(PeerMessage::LeaseGrant(grant)) => {
                self.tree.borrow_mut().note_leader_answer(now, from, grant.digests.as_ref());
                self.pooler.borrow_mut().handle_lease_grant(now, from, grant);
            }
            Some(PeerMessage::RightsGrant { nonce, valid_for, term, transfers }) => {
                self.pooler.borrow_mut().handle_rights_grant(now, nonce, valid_for, term, transfers)
            }
            Some(PeerMessage::LeaderRedirect { leader }) => {
                self.pooler.borrow_mut().handle_leader_redirect(now, leader)
            }
            Some(PeerMessage::LeaseRecall { service, epoch }) => {
                self.pooler.borrow_mut().handle_lease_recall(now, from, &service, epoch)
            }
            _ => {}
        }
        self.perform_effects(now);
    }

    /// Passes on to the pooler what the dissemination tree has learned.
    pub(super) fn apply_tree_updates(&self, now: Instant) {
        let mut tree = self.tree.borrow_mut();
        let mut pooler = self.pooler.borrow_mut();
        pooler.observe_tree(now, &tree);
        let updates = tree.take_updates();
        if !updates.is_empty() {
            pooler.apply_updates(now, &updates);
        }
    }

    /// Performs what the state machines ask for, until they ask for nothing more, and sets the timer.
    pub(super) fn perform_effects(self: &Rc<Self>, now: Instant) {
        let messages = self.tree.borrow_mut().take_messages();
        for (to, message) in messages {
            self.peer_links.send(to, &message);
        }
        loop {
            let effects = self.take_pooler_effects(now);
            if effects.is_empty() {
                break;
            }
            for effect in effects {
                self.perform(effect);
            }
        }
        let due = self.pooler.borrow().next_due().min(self.tree.borrow().next_due());
        self.timer.set(due);
    }

    fn take_pooler_effects(&self, now: Instant) -> Vec<Effect> {
        let mut pooler = self.pooler.borrow_mut();
        pooler.finish_input(now);
        pooler.take_effects()
    }

    fn perform(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::SendToClient(session_id, text) => {
                if let Some(stream) = self.client_streams.borrow().get(&session_id) {
                    stream.write(text.as_bytes());
                }
            }
            Effect::CloseClient(session_id) => {
                if let Some(stream) = self.client_streams.borrow().get(&session_id) {
                    stream.close();
                }
            }
            Effect::CloseClientIfIdle(session_id) => {
                let now = Instant::now();
                if self.close_unless_unread(now, session_id) {
                    self.pooler.borrow_mut().handle_client_closed(now, session_id);
                }
            }
            Effect::SendToBackend(connection_id, text) => self.write_to_backend(connection_id, &text),
            Effect::OpenBackend(connection_id, address) => self.open_backend(connection_id, address),
            Effect::CloseBackend(connection_id) => self.close_backend(connection_id),
            Effect::SendToPeer(to, message) => self.peer_links.send(to, &message),
            Effect::Log(text) => tracing::info!("{text}"),
        }
    }
}
