//! Performs what the state machine asks for.

use super::ControllerDriver;
use crate::store::NumberedWrite;
use lichenfield_engine::process::controller::{Effect, RequestToken, Response};
use lichenfield_engine::process::peer_message::PeerMessage;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Instant;

/// A message that may be sent only once a write is durable, such as a vote or the acknowledgement of entries.
pub(super) struct HeldMessage {
    after_write: u64,
    to: Ipv4Addr,
    message: PeerMessage,
}

impl ControllerDriver {
    /// Performs the state machine's effects in order, sends the held messages whose write is durable by now, and arms
    /// the timer.
    pub(super) fn perform_effects(self: &Rc<Self>, now: Instant) {
        let effects = self.controller.borrow_mut().effects();
        for effect in effects {
            self.perform_effect(effect);
        }
        self.send_released_messages();
        let next_wakeup = self.controller.borrow().next_wakeup(now);
        self.timer.set(next_wakeup);
    }

    fn perform_effect(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Write { number, write } => {
                // The writer thread ends only after it has reported why, and that ends the daemon.
                let _ = self.store.send(NumberedWrite { number, write });
            }
            Effect::Send { to, message, after_write } => self.send(HeldMessage { after_write, to, message }),
            Effect::Reply(token, response) => self.reply(token, response),
            Effect::HealthCheck { token, instance, statement } => {
                self.spawn_health_check(token, instance, statement);
            }
            Effect::PlatformCall { token, path, fence, body } => {
                self.spawn_platform_call(token, path, fence, body);
            }
            Effect::Log(line) => tracing::info!("{line}"),
            Effect::LogError(line) => tracing::error!("{line}"),
        }
    }

    fn send(&self, message: HeldMessage) {
        if message.after_write > self.durable_write.get() {
            self.held_messages.borrow_mut().push(message);
        } else {
            self.links.send(message.to, &message.message);
        }
    }

    fn send_released_messages(&self) {
        let durable_write = self.durable_write.get();
        let released: Vec<HeldMessage> =
            self.held_messages.borrow_mut().extract_if(.., |held| held.after_write <= durable_write).collect();
        for held in released {
            self.links.send(held.to, &held.message);
        }
    }

    fn reply(&self, token: RequestToken, response: Response) {
        if let Some(sender) = self.replies.borrow_mut().remove(&token) {
            // The caller may have hung up.
            let _ = sender.try_send(response);
        }
    }
}
