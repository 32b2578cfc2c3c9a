//! Decodes the bytes of an incoming link: the preamble, then frames.

use super::MAGIC;
use lichenfield_engine::process::peer_message::{self, FRAME_MAX, PeerMessage};
use std::net::Ipv4Addr;

/// Bytes of a frame's length prefix.
pub(super) const LENGTH_BYTES: usize = 4;
/// Bytes of the dialling daemon's address in the preamble.
const ADDRESS_BYTES: usize = 4;

/// Why a link is closed by its receiver.
#[derive(Debug, thiserror::Error)]
pub(super) enum LinkError {
    #[error("the link does not begin with the magic bytes")]
    BadMagic,
    #[error("a frame of {length} bytes exceeds the limit of {FRAME_MAX}")]
    FrameTooLong { length: usize },
    #[error("a frame of {length} bytes cannot be decoded")]
    UndecodableFrame { length: usize },
}

/// The state of an incoming link.
#[derive(Default)]
pub(super) struct FrameReader {
    /// Bytes received and not decoded yet.
    buffer: Vec<u8>,
    /// The peer's address, once the preamble is complete.
    peer: Option<Ipv4Addr>,
}

impl FrameReader {
    /// Takes the next bytes of the link and calls `on_message` for each message they complete. After an error the
    /// link is to be closed; the reader is not used again.
    pub(super) fn feed(
        &mut self,
        bytes: &[u8],
        mut on_message: impl FnMut(Ipv4Addr, PeerMessage),
    ) -> Result<(), LinkError> {
        self.buffer.extend_from_slice(bytes);
        let Some(peer) = self.read_preamble()? else { return Ok(()) };
        let mut consumed = 0;
        while let Some((message, length)) = decode_frame(&self.buffer[consumed..])? {
            consumed += length;
            on_message(peer, message);
        }
        self.buffer.drain(..consumed);
        Ok(())
    }

    /// The peer's address; `None` until the preamble is complete.
    fn read_preamble(&mut self) -> Result<Option<Ipv4Addr>, LinkError> {
        if self.peer.is_some() {
            return Ok(self.peer);
        }
        let Some((magic, rest)) = self.buffer.split_first_chunk::<{ MAGIC.len() }>() else { return Ok(None) };
        let Some(octets) = rest.first_chunk::<ADDRESS_BYTES>() else { return Ok(None) };
        if magic != MAGIC {
            return Err(LinkError::BadMagic);
        }
        self.peer = Some(Ipv4Addr::from(*octets));
        self.buffer.drain(..MAGIC.len() + ADDRESS_BYTES);
        Ok(self.peer)
    }
}

/// The message at the start of `bytes` and the bytes it took; `None` while the frame is incomplete.
fn decode_frame(bytes: &[u8]) -> Result<Option<(PeerMessage, usize)>, LinkError> {
    let Some((prefix, rest)) = bytes.split_first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let length = u32::from_be_bytes(*prefix) as usize;
    if length > FRAME_MAX {
        return Err(LinkError::FrameTooLong { length });
    }
    let Some(frame) = rest.get(..length) else { return Ok(None) };
    let message = peer_message::decode(frame).map_err(|_| LinkError::UndecodableFrame { length })?;
    Ok(Some((message, LENGTH_BYTES + length)))
}

#[cfg(test)]
mod tests;
