//! What the state machine asks its driver to do.

use crate::connection::{ConnectionId, SessionId};
use crate::process::peer_message::PeerMessage;
use std::net::{Ipv4Addr, SocketAddrV4};

/// An action for the driver. Effects are performed in order.
#[derive(Debug)]
pub enum Effect {
    /// Send this text to the client.
    SendToClient(SessionId, String),
    /// Close the client's connection once what was sent before is written.
    CloseClient(SessionId),
    /// Close the client's connection unless unread bytes have arrived from it: then call
    /// [`Pooler::note_unread_bytes`](super::Pooler::note_unread_bytes), else
    /// [`Pooler::handle_client_closed`](super::Pooler::handle_client_closed).
    CloseClientIfIdle(SessionId),
    /// Connect to an instance.
    OpenBackend(ConnectionId, SocketAddrV4),
    /// Send this text to an instance, as soon as the connection is open.
    SendToBackend(ConnectionId, String),
    /// Close a connection to an instance at once.
    CloseBackend(ConnectionId),
    /// Send a message to another daemon.
    SendToPeer(Ipv4Addr, PeerMessage),
    /// Write a line to the log.
    Log(String),
}
