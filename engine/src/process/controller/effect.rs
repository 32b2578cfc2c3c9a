//! What the state machine asks of its driver.

use super::Response;
use crate::process::consensus::Write;
use crate::process::dissemination::anti_entropy::Instance;
use crate::process::peer_message::PeerMessage;
use std::net::Ipv4Addr;

/// Marks a request of the HTTP interface, so that its answer finds the caller.
pub type RequestToken = u64;

/// What the driver is to do, in this order.
#[derive(Debug)]
pub enum Effect {
    /// Make this durable, then call [`super::Controller::on_write_durable`] with the number.
    Write {
        /// Numbers of writes rise by one.
        number: u64,
        /// The change of what is on disk.
        write: Write,
    },
    /// Send a message to another daemon.
    Send {
        /// The daemon's address.
        to: Ipv4Addr,
        /// The message.
        message: PeerMessage,
        /// The write that must be durable before; 0: none.
        after_write: u64,
    },
    /// Answer a request of the HTTP interface.
    Reply(RequestToken, Response),
    /// Run a statement at an instance, then call [`super::Controller::health_check_finished`].
    HealthCheck {
        /// Marks the check.
        token: u64,
        /// Where.
        instance: Instance,
        /// The statement's text.
        statement: String,
    },
    /// Call the platform, then call [`super::Controller::platform_call_finished`].
    PlatformCall {
        /// Marks the call.
        token: u64,
        /// The path to POST to.
        path: &'static str,
        /// The fencing token: the term in which this daemon leads.
        fence: u64,
        /// The JSON body.
        body: String,
    },
    /// Write a line to the log.
    Log(String),
    /// Write an error to the log. It threatens a guarantee, so the ring of recent log lines is written out.
    LogError(String),
}
