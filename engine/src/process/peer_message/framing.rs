//! The frame codec: one byte for the kind of frame, then the message in `bincode`, compressed if it is long.

use super::PeerMessage;
use thiserror::Error;

/// The largest frame that is sent or decompressed, in bytes. No message comes near this.
pub const FRAME_MAX: usize = 8 << 20;

/// Messages longer than this, in bytes, are compressed: daemons have slow links, and traffic between zones
/// is expensive.
const COMPRESS_FROM: usize = 1024;
/// The fastest usual level of `zstd`.
const COMPRESSION_LEVEL: i32 = 1;

const KIND_PLAIN: u8 = 0;
const KIND_COMPRESSED: u8 = 1;

/// Why a frame could not be decoded.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// The frame has no bytes.
    #[error("empty frame")]
    Empty,
    /// The frame's first byte is no known kind.
    #[error("unknown kind of frame {0}")]
    UnknownKind(u8),
    /// The message is torn, or of an unknown variant.
    #[error("malformed message: {0}")]
    Malformed(#[from] bincode::error::DecodeError),
    /// Bytes are left after the message.
    #[error("{0} bytes after the message")]
    TrailingBytes(usize),
    /// A compressed frame does not tell the length of its content.
    #[error("compressed frame without its content's length")]
    UnknownLength,
    /// A compressed frame's content is longer than [`FRAME_MAX`].
    #[error("compressed frame of {0} bytes of content")]
    TooLong(u64),
    /// A compressed frame's content could not be decompressed.
    #[error("decompression failed: {0}")]
    Decompression(#[from] std::io::Error),
}

/// Encodes a message as a frame; an empty one if the message cannot be encoded, which the receiver refuses.
pub fn encode(message: &PeerMessage) -> Vec<u8> {
    let mut frame = vec![KIND_PLAIN];
    let config = bincode::config::standard();
    if bincode::serde::encode_into_std_write(message, &mut frame, config).is_err() {
        return Vec::new();
    }
    if frame.len() > COMPRESS_FROM
        && let Ok(compressed) = zstd::bulk::compress(&frame[1..], COMPRESSION_LEVEL)
    {
        frame.truncate(1);
        frame[0] = KIND_COMPRESSED;
        frame.extend_from_slice(&compressed);
    }
    frame
}

/// Decodes a frame, which must hold exactly one message.
pub fn decode(frame: &[u8]) -> Result<PeerMessage, DecodeError> {
    let (kind, body) = frame.split_first().ok_or(DecodeError::Empty)?;
    match *kind {
        KIND_PLAIN => decode_message(body),
        KIND_COMPRESSED => decode_message(&decompress(body)?),
        unknown => Err(DecodeError::UnknownKind(unknown)),
    }
}

fn decode_message(bytes: &[u8]) -> Result<PeerMessage, DecodeError> {
    let (message, used) = bincode::serde::decode_from_slice(bytes, bincode::config::standard())?;
    match bytes.len() - used {
        0 => Ok(message),
        trailing => Err(DecodeError::TrailingBytes(trailing)),
    }
}

fn decompress(body: &[u8]) -> Result<Vec<u8>, DecodeError> {
    let declared = zstd::zstd_safe::get_frame_content_size(body).ok().flatten().ok_or(DecodeError::UnknownLength)?;
    let length = usize::try_from(declared).ok().filter(|length| *length <= FRAME_MAX);
    Ok(zstd::bulk::decompress(body, length.ok_or(DecodeError::TooLong(declared))?)?)
}
