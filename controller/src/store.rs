//! What a controller keeps on disk: its identity, term and vote, the log and the snapshot.
//!
//! One file of records, each with its length and a digest. The first holds the whole state, each later
//! one the writes of one sync. A record is written only once the one before it is synced, so whatever
//! is lost or torn is at the end, and was never told as durable; a bad record with a good one behind it
//! is damage, and the store is refused. When the file has grown it is written anew under another name,
//! which takes its place once it is synced. `docs/architecture.md` tells why this is not `fjall`.
//!
//! One thread writes. A disk that refuses or hangs is waited for: nothing is told meanwhile.

use lichenfield_engine::digest::digest;
use lichenfield_engine::process::consensus::{PersistentState, Write};
use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{self, ErrorKind, Seek, SeekFrom};
use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::time::Duration;

const FILE: &str = "queen.log";
/// A file being written anew; what a crash leaves of it is not in the way.
const FRESH: &str = "queen.log.new";
const FORMAT: u32 = 2;
/// Length and digest before each record.
const HEAD: usize = 12;
/// The file is written anew when it has grown beyond this, and beyond so many times the state's size; but
/// also when what it holds besides passes this part of the disk, so that old file and new one fit together.
const ROOM: u64 = 1 << 20;
const ROOM_TIMES: u64 = 4;
const ROOM_PART: u64 = 8;
/// Pause before a disk that refused is tried again.
const RETRY: Duration = Duration::from_millis(100);

#[derive(Debug, Serialize, Deserialize)]
enum Record {
    State(u32, PersistentState),
    Writes(Vec<Write>),
}

/// Why the store can't be used: for now, or for good.
#[derive(Debug)]
pub enum StoreError {
    Disk(io::Error),
    Unreadable(String),
}

impl From<io::Error> for StoreError {
    fn from(e: io::Error) -> Self {
        StoreError::Disk(e)
    }
}

/// What the store asks of a disk; tests put one of their own in its place.
pub trait Disk {
    /// Appends at the end; `Err` may leave a part.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    fn sync(&mut self) -> io::Result<()>;
    /// Cuts what lies beyond.
    fn cut(&mut self, length: u64) -> io::Result<()>;
    /// Puts a new file with these bytes in the old one's place, synced, names too.
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()>;
}

pub struct Folder {
    path: PathBuf,
    file: File,
}

impl Folder {
    fn open(path: &Path) -> io::Result<File> {
        File::options().read(true).write(true).open(path.join(FILE))
    }

    /// A new file takes its name only once it is whole and synced.
    fn write_whole(path: &Path, bytes: &[u8]) -> io::Result<()> {
        let fresh = path.join(FRESH);
        let mut file = File::create(&fresh)?;
        io::Write::write_all(&mut file, bytes)?;
        file.sync_all()?;
        std::fs::rename(&fresh, path.join(FILE))?;
        File::open(path)?.sync_all()
    }
}

impl Disk for Folder {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file.seek(SeekFrom::End(0))?;
        io::Write::write_all(&mut self.file, bytes)
    }
    fn sync(&mut self) -> io::Result<()> {
        self.file.sync_data()
    }
    fn cut(&mut self, length: u64) -> io::Result<()> {
        self.file.set_len(length)
    }
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        Folder::write_whole(&self.path, bytes)?;
        self.file = Folder::open(&self.path)?;
        Ok(())
    }
}

fn framed(record: &Record) -> Result<Vec<u8>, StoreError> {
    let body = bincode::serde::encode_to_vec(record, bincode::config::standard())
        .map_err(|e| StoreError::Unreadable(format!("a record can't be written: {e}")))?;
    let mut bytes = Vec::with_capacity(HEAD + body.len());
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&digest(&body).to_le_bytes());
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

/// The body of a good record at the beginning of these bytes.
fn body(bytes: &[u8]) -> Option<&[u8]> {
    let (head, rest) = bytes.split_at_checked(HEAD)?;
    let length = u32::from_le_bytes(head[..4].try_into().ok()?) as usize;
    let told = u64::from_le_bytes(head[4..].try_into().ok()?);
    let body = rest.get(..length).filter(|b| !b.is_empty())?;
    (digest(body) == told).then_some(body)
}

/// The state that a file's bytes hold, and how many of them are good.
fn read(bytes: &[u8]) -> Result<(PersistentState, usize), StoreError> {
    let bad = |what: &str| StoreError::Unreadable(what.to_owned());
    let mut state: Option<PersistentState> = None;
    let mut at = 0;
    while let Some(body) = body(&bytes[at..]) {
        let (record, used) = bincode::serde::decode_from_slice(body, bincode::config::standard())
            .map_err(|e| StoreError::Unreadable(format!("a record can't be read: {e}")))?;
        if used != body.len() {
            return Err(bad("a record has bytes left over"));
        }
        match (record, &mut state) {
            (Record::State(FORMAT, stored), None) => state = Some(stored),
            (Record::State(..), None) => return Err(bad("written by another version")),
            (Record::Writes(writes), Some(state)) => {
                if !writes.into_iter().all(|w| state.apply(w)) {
                    return Err(bad("the log has a gap"));
                }
            }
            _ => return Err(bad("the records are out of order")),
        }
        at += HEAD + body.len();
    }
    if (at + 1..bytes.len()).any(|later| body(&bytes[later..]).is_some()) {
        return Err(bad("a record in the middle is damaged"));
    }
    Ok((state.ok_or(bad("the first record is damaged"))?, at))
}

pub struct Store<D = Folder> {
    disk: D,
    state: PersistentState,
    /// The file's good bytes, and those of the state when it was last written whole.
    length: u64,
    whole: u64,
    /// Bytes of the disk.
    disk_size: u64,
    /// Something went wrong since: what the file holds beyond `length` is cut first.
    dirty: bool,
    /// A sync failed, so the file's bytes can't be trusted to be on disk: it is written anew.
    doubtful: bool,
}

impl Store<Folder> {
    /// Opens the store, or founds it with a new identity where the folder is empty. A store that
    /// can't be read is refused, never emptied; a disk that refuses is tried until it answers.
    /// `disk_size`: bytes of the disk.
    pub fn open(path: &str, disk_size: u64, fresh_id: u64) -> Result<(Self, PersistentState), String> {
        let mut told = false;
        loop {
            match Store::try_open(Path::new(path), disk_size, fresh_id) {
                Ok(store) => {
                    let stored = store.state.clone();
                    return Ok((store, stored));
                }
                Err(StoreError::Disk(why)) => {
                    if !std::mem::replace(&mut told, true) {
                        tracing::error!("store {path}: {why}; waiting for the disk");
                    }
                    std::thread::sleep(RETRY);
                }
                Err(StoreError::Unreadable(why)) => return Err(format!("store {path}: {why}")),
            }
        }
    }

    fn try_open(path: &Path, disk_size: u64, fresh_id: u64) -> Result<Self, StoreError> {
        std::fs::create_dir_all(path)?;
        let bytes = match std::fs::read(path.join(FILE)) {
            Ok(bytes) => bytes,
            Err(e) if e.kind() == ErrorKind::NotFound => {
                for entry in std::fs::read_dir(path)? {
                    let name = entry?.file_name();
                    if name != FRESH {
                        let what = format!("{} is not a store's, and none is founded beside it", name.display());
                        return Err(StoreError::Unreadable(what));
                    }
                }
                let founded = Record::State(FORMAT, PersistentState { id: fresh_id, ..PersistentState::default() });
                let bytes = framed(&founded)?;
                Folder::write_whole(path, &bytes)?;
                bytes
            }
            Err(e) => return Err(e.into()),
        };
        let (state, good) = read(&bytes)?;
        let disk = Folder { path: path.to_owned(), file: Folder::open(path)? };
        let (length, dirty) = (good as u64, good < bytes.len());
        // What is read may not be on disk yet where a sync was under way when the process ended.
        disk.file.sync_all()?;
        Ok(Store { disk, state, length, whole: 0, disk_size, dirty, doubtful: false })
    }
}

impl<D: Disk> Store<D> {
    /// Makes writes durable, together. On `Err` nothing of them is told as durable, and trying again
    /// is safe.
    fn write(&mut self, writes: &[Write]) -> Result<(), StoreError> {
        let room = (self.whole * ROOM_TIMES).min(self.whole + self.disk_size / ROOM_PART);
        let grown = self.length > ROOM.max(room);
        if self.doubtful || grown {
            match self.write_whole(writes) {
                Err(StoreError::Disk(_)) if !self.doubtful => {}
                other => return other,
            }
        }
        let bytes = framed(&Record::Writes(writes.to_vec()))?;
        if std::mem::replace(&mut self.dirty, true) {
            self.disk.cut(self.length)?;
        }
        self.disk.append(&bytes)?;
        if let Err(e) = self.disk.sync() {
            self.doubtful = true;
            return Err(e.into());
        }
        self.dirty = false;
        self.length += bytes.len() as u64;
        self.settle(writes)
    }

    /// Writes the whole state, these writes in it, to a new file.
    fn write_whole(&mut self, writes: &[Write]) -> Result<(), StoreError> {
        let mut state = self.state.clone();
        for write in writes {
            state.apply(write.clone());
        }
        let bytes = framed(&Record::State(FORMAT, state))?;
        if let Err(e) = self.disk.replace(&bytes) {
            // Either file may be the one that is found next time: no other write before this succeeds.
            self.doubtful = true;
            return Err(e.into());
        }
        (self.length, self.whole) = (bytes.len() as u64, bytes.len() as u64);
        (self.dirty, self.doubtful) = (false, false);
        self.settle(writes)
    }

    fn settle(&mut self, writes: &[Write]) -> Result<(), StoreError> {
        let fits = writes.iter().all(|w| self.state.apply(w.clone()));
        if fits { Ok(()) } else { Err(StoreError::Unreadable("a write left a gap in the log".into())) }
    }
}

impl<D: Disk + Send + 'static> Store<D> {
    /// Writes on a thread of its own; tells the number of each write once it is durable, or why the
    /// store can't be used any more, after which nothing more is written.
    pub fn run(mut self, done: smol::channel::Sender<Result<u64, String>>) -> mpsc::Sender<(u64, Write)> {
        let (sender, receiver) = mpsc::channel::<(u64, Write)>();
        std::thread::spawn(move || {
            let mut failing = false;
            while let Ok((mut number, first)) = receiver.recv() {
                let mut writes = vec![first];
                while let Ok((next, write)) = receiver.try_recv() {
                    number = next;
                    writes.push(write);
                }
                loop {
                    match self.write(&writes) {
                        Ok(()) => break,
                        Err(StoreError::Disk(why)) => {
                            if !std::mem::replace(&mut failing, true) {
                                tracing::error!("the store can't be written for now: {why}");
                            }
                            std::thread::sleep(RETRY);
                        }
                        Err(StoreError::Unreadable(why)) => {
                            let _ = done.send_blocking(Err(why));
                            return;
                        }
                    }
                }
                if std::mem::take(&mut failing) {
                    tracing::info!("the store takes writes again");
                }
                if done.send_blocking(Ok(number)).is_err() {
                    return;
                }
            }
        });
        sender
    }
}

#[cfg(test)]
mod golden;
#[cfg(test)]
mod tests;
