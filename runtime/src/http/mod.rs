//! HTTP/1.1 by `hyper`: the server of a daemon's interfaces ([`serve`]) and single outgoing requests ([`send`]).

mod client;
mod server;

pub use client::{HttpClientError, OutboundRequest, send};
pub use server::serve;

use std::time::Duration;

/// A request body over this many bytes is refused with status 413.
pub const BODY_MAX: usize = 1 << 20;
/// A peer that acknowledges nothing for this long is gone, on either side.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// A request that a daemon received.
pub struct HttpRequest {
    /// The method in upper case.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// The `If-Match` header.
    pub if_match: Option<String>,
    /// The whole body, at most [`BODY_MAX`] bytes.
    pub body: Vec<u8>,
}

/// A response, sent or received.
pub struct HttpResponse {
    /// The status code.
    pub status: u16,
    /// The `Location` header.
    pub location: Option<String>,
    /// The body; where it is not empty it is JSON.
    pub body: Vec<u8>,
}

impl HttpResponse {
    /// A response of a status code alone.
    pub fn status(status: u16) -> Self {
        HttpResponse { status, location: None, body: Vec::new() }
    }
}
