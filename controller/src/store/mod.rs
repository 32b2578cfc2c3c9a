//! What a controller keeps on disk: its identity, term and vote, the log and the snapshot.
//!
//! One file of records, each with its length and a digest. The first holds the whole state, each later one the writes
//! of one sync. A record is written only once the one before it is synced, so whatever is lost or torn is at the end,
//! and was never reported as durable; a bad record with a good one behind it is damage, and the store is refused. When
//! the file has grown it is written anew under another name, which takes its place once it is synced.
//! `docs/store.md` says why this is not `fjall`.
//!
//! One thread writes. A disk that refuses or hangs is waited for: nothing is reported as durable meanwhile.
//!
//! - `format` — records and their bytes; decides whether a record is torn or damaged;
//! - `disk` — what is asked of a disk, and a real folder;
//! - `writer` — the thread that writes.

mod disk;
mod format;
mod writer;

#[cfg(test)]
mod tests;

pub use writer::NumberedWrite;

use disk::{Directory, Disk, FILE_NAME, TEMPORARY_FILE_NAME};
use format::{FORMAT_VERSION, FormatError, Record, StoredState};
use lichenfield_engine::process::consensus::{PersistentState, Write};
use std::io::{self, ErrorKind};
use std::path::Path;
use std::time::Duration;

/// The file is rewritten only when it is longer than this.
const REWRITE_MIN_BYTES: u64 = 1 << 20;
/// And when it has grown to so many times the length that it had when it was last rewritten...
const REWRITE_GROWTH_FACTOR: u64 = 4;
/// ... or by one part in so many of the disk, so that the old file and the new one fit on it together.
const REWRITE_DISK_DIVISOR: u64 = 8;
/// Pause before a disk that refused is tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Why the store can't be used: for now, or for good.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The disk refused; it is worth trying again.
    #[error(transparent)]
    Disk(#[from] io::Error),
    /// What is on disk, or a write, makes no sense. Trying again does not help.
    #[error(transparent)]
    Format(#[from] FormatError),
}

/// An open store.
///
/// Invariant: the first `valid_length` bytes of the file hold `state`, and are synced unless `needs_rewrite` is set.
pub struct Store<D = Directory> {
    disk: D,
    state: PersistentState,
    /// The length of the file's valid records, in bytes.
    valid_length: u64,
    /// The file's length when it was last rewritten; 0 if it was not since the start.
    rewritten_length: u64,
    /// The disk's size in bytes.
    disk_bytes: u64,
    /// The file may hold something beyond `valid_length`, which is cut before the next record.
    has_torn_tail: bool,
    /// A sync failed, so it is not known which of the file's bytes are on disk: it is rewritten before anything else.
    needs_rewrite: bool,
}

impl Store<Directory> {
    /// Opens the store, or creates it with this identity where the folder is empty. A store that can't be read is
    /// refused, never emptied; a disk that refuses is tried until it answers. `disk_bytes`: the disk's size.
    pub fn open(path: &str, disk_bytes: u64, fresh_id: u64) -> Result<Self, StoreError> {
        let mut logged = false;
        loop {
            match Store::try_open(Path::new(path), disk_bytes, fresh_id) {
                Err(StoreError::Disk(error)) => {
                    if !std::mem::replace(&mut logged, true) {
                        tracing::error!("store {path}: {error}; waiting for the disk");
                    }
                    std::thread::sleep(RETRY_INTERVAL);
                }
                opened => return opened,
            }
        }
    }

    fn try_open(path: &Path, disk_bytes: u64, fresh_id: u64) -> Result<Self, StoreError> {
        std::fs::create_dir_all(path)?;
        let bytes = match std::fs::read(path.join(FILE_NAME)) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == ErrorKind::NotFound => create_file(path, fresh_id)?,
            Err(error) => return Err(error.into()),
        };
        let StoredState { state, valid_length } = format::read_records(&bytes)?;
        let disk = Directory::open(path)?;
        // What is read may not be on disk yet, where a sync was under way when the process ended.
        disk.sync_all()?;
        Ok(Store {
            disk,
            state,
            valid_length: valid_length as u64,
            rewritten_length: 0,
            disk_bytes,
            has_torn_tail: valid_length < bytes.len(),
            needs_rewrite: false,
        })
    }
}

/// Creates a store with a new identity in a folder that holds nothing else, and gives the file's bytes.
fn create_file(path: &Path, fresh_id: u64) -> Result<Vec<u8>, StoreError> {
    for entry in std::fs::read_dir(path)? {
        let name = entry?.file_name();
        if name != TEMPORARY_FILE_NAME {
            return Err(FormatError::ForeignFile { name: name.display().to_string() }.into());
        }
    }
    let state = PersistentState { id: fresh_id, ..PersistentState::default() };
    let bytes = format::encode_record(&Record::State(FORMAT_VERSION, state))?;
    Directory::replace_file(path, &bytes)?;
    Ok(bytes)
}

impl<D: Disk> Store<D> {
    /// What the store holds.
    pub fn state(&self) -> &PersistentState {
        &self.state
    }

    /// Makes writes durable, together. On an error nothing of them is reported as durable, and trying again is safe.
    fn write(&mut self, writes: &[Write]) -> Result<(), StoreError> {
        if self.needs_rewrite || self.has_grown() {
            return self.rewrite(writes);
        }
        self.append(writes)
    }

    fn has_grown(&self) -> bool {
        let rewritten = self.rewritten_length;
        let limit = (rewritten * REWRITE_GROWTH_FACTOR).min(rewritten + self.disk_bytes / REWRITE_DISK_DIVISOR);
        self.valid_length > REWRITE_MIN_BYTES.max(limit)
    }

    /// Appends one record with these writes.
    fn append(&mut self, writes: &[Write]) -> Result<(), StoreError> {
        let bytes = format::encode_record(&Record::Writes(writes.to_vec()))?;
        if std::mem::replace(&mut self.has_torn_tail, true) {
            self.disk.truncate(self.valid_length)?;
        }
        self.disk.append(&bytes)?;
        if let Err(error) = self.disk.sync() {
            self.needs_rewrite = true;
            return Err(error.into());
        }
        self.has_torn_tail = false;
        self.valid_length += bytes.len() as u64;
        self.apply(writes)
    }

    /// Writes the whole state, these writes in it, to a new file.
    fn rewrite(&mut self, writes: &[Write]) -> Result<(), StoreError> {
        let mut state = self.state.clone();
        for write in writes {
            state.apply(write.clone());
        }
        let bytes = format::encode_record(&Record::State(FORMAT_VERSION, state))?;
        if let Err(error) = self.disk.replace(&bytes) {
            // Either file may be the one that is found next time: no other write before this succeeds.
            self.needs_rewrite = true;
            return Err(error.into());
        }
        self.valid_length = bytes.len() as u64;
        self.rewritten_length = self.valid_length;
        self.has_torn_tail = false;
        self.needs_rewrite = false;
        self.apply(writes)
    }

    /// Applies writes that are on disk to the state held here.
    fn apply(&mut self, writes: &[Write]) -> Result<(), StoreError> {
        let fits = writes.iter().all(|write| self.state.apply(write.clone()));
        if fits { Ok(()) } else { Err(FormatError::WriteLeavesGap.into()) }
    }
}
