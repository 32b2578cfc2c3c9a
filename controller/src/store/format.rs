//! Records and their bytes, and whether a record is torn or damaged.
//!
//! A record is a header (the body's length, 4 bytes, and its digest, 8 bytes, both little-endian) and a body in
//! `bincode`. The body is never empty.

use lichenfield_engine::digest::digest;
use lichenfield_engine::process::consensus::{PersistentState, Write};
use serde::{Deserialize, Serialize};

/// The version of the format. Stores of other versions are refused.
pub(super) const FORMAT_VERSION: u32 = 2;

const LENGTH_BYTES: usize = 4;
const DIGEST_BYTES: usize = 8;
const HEADER_BYTES: usize = LENGTH_BYTES + DIGEST_BYTES;

/// One record of the file.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Record {
    /// The whole state, with the format's version. Always the first record, and only that.
    State(u32, PersistentState),
    /// The writes of one sync.
    Writes(Vec<Write>),
}

/// Why a store's content makes no sense.
#[derive(Debug, thiserror::Error)]
pub enum FormatError {
    /// A record can't be encoded.
    #[error("a record can't be written: {0}")]
    Encode(#[from] bincode::error::EncodeError),
    /// A record with a right digest can't be decoded.
    #[error("a record can't be read: {0}")]
    Decode(#[from] bincode::error::DecodeError),
    /// A record is longer than its content.
    #[error("a record has bytes left over")]
    BytesLeftOver,
    /// The first record has another version of the format.
    #[error("written by another version")]
    OtherVersion,
    /// A write on disk does not fit the state before it.
    #[error("the log has a gap")]
    LogGap,
    /// The first record holds no state, or a later one does.
    #[error("the records are out of order")]
    OutOfOrder,
    /// A bad record has a good one behind it.
    #[error("a record in the middle is damaged")]
    DamagedRecord,
    /// There is no good record.
    #[error("the first record is damaged")]
    DamagedFirstRecord,
    /// The folder holds no store, but something else.
    #[error("{name} is not a store's, and none is created beside it")]
    ForeignFile {
        /// The other file.
        name: String,
    },
    /// A write that was just made durable does not fit the state before it.
    #[error("a write left a gap in the log")]
    WriteLeavesGap,
}

/// What a file holds.
#[derive(Debug)]
pub(super) struct StoredState {
    pub(super) state: PersistentState,
    /// The length of the valid records; what lies beyond is a torn tail.
    pub(super) valid_length: usize,
}

/// What lies behind a file's valid records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Tail {
    /// Nothing.
    Clean,
    /// The beginning of a record that was not synced, and so was never reported as durable.
    Torn,
    /// A bad record with a good one behind it. The good one was written after the bad one was synced, so the bad one
    /// has lost what was reported as durable.
    Damaged,
}

/// A record's bytes.
pub(super) fn encode_record(record: &Record) -> Result<Vec<u8>, FormatError> {
    let body = bincode::serde::encode_to_vec(record, bincode::config::standard())?;
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&digest(&body).to_le_bytes());
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

/// Reads a file's records. A torn tail is left out; a damaged file is refused.
pub(super) fn read_records(bytes: &[u8]) -> Result<StoredState, FormatError> {
    let mut state: Option<PersistentState> = None;
    let mut valid_length = 0;
    while let Some(body) = valid_body(&bytes[valid_length..]) {
        state = Some(apply_record(state, decode_record(body)?)?);
        valid_length += HEADER_BYTES + body.len();
    }
    if classify_tail(bytes, valid_length) == Tail::Damaged {
        return Err(FormatError::DamagedRecord);
    }
    let state = state.ok_or(FormatError::DamagedFirstRecord)?;
    Ok(StoredState { state, valid_length })
}

/// Decides whether what lies behind the valid records is torn or damaged: damaged, if a valid record begins anywhere
/// behind the first bad byte.
fn classify_tail(bytes: &[u8], valid_length: usize) -> Tail {
    if valid_length == bytes.len() {
        return Tail::Clean;
    }
    let has_later_record = (valid_length + 1..bytes.len()).any(|start| valid_body(&bytes[start..]).is_some());
    if has_later_record { Tail::Damaged } else { Tail::Torn }
}

/// The body of the record at the beginning of these bytes, if it is all there and its digest is right.
fn valid_body(bytes: &[u8]) -> Option<&[u8]> {
    let (length, rest) = bytes.split_first_chunk::<LENGTH_BYTES>()?;
    let (expected_digest, rest) = rest.split_first_chunk::<DIGEST_BYTES>()?;
    let length = u32::from_le_bytes(*length) as usize;
    let body = rest.get(..length).filter(|body| !body.is_empty())?;
    (digest(body) == u64::from_le_bytes(*expected_digest)).then_some(body)
}

fn decode_record(body: &[u8]) -> Result<Record, FormatError> {
    let (record, used) = bincode::serde::decode_from_slice(body, bincode::config::standard())?;
    if used == body.len() { Ok(record) } else { Err(FormatError::BytesLeftOver) }
}

/// The state after a record, from the one before it.
fn apply_record(state: Option<PersistentState>, record: Record) -> Result<PersistentState, FormatError> {
    match (record, state) {
        (Record::State(FORMAT_VERSION, stored), None) => Ok(stored),
        (Record::State(..), None) => Err(FormatError::OtherVersion),
        (Record::Writes(writes), Some(mut state)) => {
            let fits = writes.into_iter().all(|write| state.apply(write));
            if fits { Ok(state) } else { Err(FormatError::LogGap) }
        }
        (Record::State(..), Some(_)) | (Record::Writes(_), None) => Err(FormatError::OutOfOrder),
    }
}
