//! What a queen keeps on disk, in `fjall`: its identity, term and vote, the log and the snapshot.
//!
//! One thread writes; it takes all that waits into one batch and one sync.

use brood::process::raft::{Entry, Snapshot, Stored, Write};
use fjall::{Database, Keyspace, KeyspaceCreateOptions, PersistMode};
use std::sync::mpsc;

const ID: &[u8] = b"id";
const HARD: &[u8] = b"hard";
const SNAPSHOT: &[u8] = b"snapshot";
const LOG: u8 = b'l';
/// Marks a store whose first sync was done; a folder without it holds nothing that was ever promised.
const FORMAT: (&[u8], &[u8]) = (b"format", b"1");
/// The store is small; so is what it may hold in memory.
const CACHE: u64 = 1 << 20;
const MEMTABLE: u64 = 4 << 20;

pub struct Store {
    database: Database,
    keys: Keyspace,
}

fn log_key(index: u64) -> Vec<u8> {
    let mut key = vec![LOG];
    key.extend_from_slice(&index.to_be_bytes());
    key
}

fn encode<T: serde::Serialize>(value: &T) -> Result<Vec<u8>, String> {
    bincode::serde::encode_to_vec(value, bincode::config::standard()).map_err(|e| e.to_string())
}

fn decode<T: serde::de::DeserializeOwned>(what: &str, bytes: &[u8]) -> Result<T, String> {
    match bincode::serde::decode_from_slice(bytes, bincode::config::standard()) {
        Ok((value, used)) if used == bytes.len() => Ok(value),
        Ok(_) => Err(format!("{what} has bytes left over")),
        Err(e) => Err(format!("{what} can't be read: {e}")),
    }
}

impl Store {
    /// Opens the store, or founds it with a new identity where the folder is empty. A store that
    /// can't be read is refused, never emptied.
    pub fn open(path: &str, fresh_id: u64) -> Result<(Store, Stored), String> {
        let told = |e: &dyn std::fmt::Display| format!("store {path}: {e}");
        let database = Database::builder(path)
            .cache_size(CACHE)
            .worker_threads(1)
            .max_cached_files(Some(16))
            .open()
            .map_err(|e| told(&e))?;
        let options = || KeyspaceCreateOptions::default().max_memtable_size(MEMTABLE);
        let keys = database.keyspace("raft", options).map_err(|e| told(&e))?;
        let store = Store { database, keys };
        let stored = match store.get(FORMAT.0).map_err(|e| told(&e))? {
            None => store.found(fresh_id).map_err(|e| told(&e))?,
            Some(format) if format == FORMAT.1 => store.load().map_err(|e| told(&e))?,
            Some(_) => return Err(told(&"written by another version")),
        };
        Ok((store, stored))
    }

    fn get(&self, key: &[u8]) -> Result<Option<Vec<u8>>, String> {
        self.keys.get(key).map(|v| v.map(|v| v.to_vec())).map_err(|e| e.to_string())
    }

    fn found(&self, id: u64) -> Result<Stored, String> {
        let mut batch = self.database.batch();
        batch.insert(&self.keys, ID, encode(&id)?);
        batch.insert(&self.keys, FORMAT.0, FORMAT.1);
        batch.commit().map_err(|e| e.to_string())?;
        self.database.persist(PersistMode::SyncAll).map_err(|e| e.to_string())?;
        Ok(Stored { id, ..Stored::default() })
    }

    fn load(&self) -> Result<Stored, String> {
        let id = decode("the identity", &self.get(ID)?.ok_or("the identity is missing")?)?;
        let (term, vote) = match self.get(HARD)? {
            Some(bytes) => decode("term and vote", &bytes)?,
            None => (0, None),
        };
        let snapshot: Snapshot = match self.get(SNAPSHOT)? {
            Some(bytes) => decode("the snapshot", &bytes)?,
            None => Snapshot::default(),
        };
        let mut log: Vec<Entry> = Vec::new();
        for item in self.keys.prefix([LOG]) {
            let (key, value) = item.into_inner().map_err(|e| e.to_string())?;
            let index = key
                .get(1..9)
                .and_then(|b| b.try_into().ok())
                .map(u64::from_be_bytes)
                .ok_or("a log key is cut short")?;
            if index <= snapshot.index {
                continue;
            }
            if index != snapshot.index + log.len() as u64 + 1 {
                return Err(format!("the log has a gap before entry {index}"));
            }
            log.push(decode("a log entry", &value)?);
        }
        Ok(Stored { id, term, vote, snapshot, log })
    }

    /// Makes writes durable, together.
    fn write(&self, writes: &[Write]) -> Result<(), String> {
        let mut batch = self.database.batch();
        for write in writes {
            if let Some(hard) = &write.hard {
                batch.insert(&self.keys, HARD, encode(hard)?);
            }
            if let Some(from) = write.truncate {
                self.drop_range(&mut batch, from, u64::MAX)?;
            }
            if let Some(snapshot) = &write.snapshot {
                batch.insert(&self.keys, SNAPSHOT, encode(snapshot)?);
                self.drop_range(&mut batch, 0, snapshot.index)?;
            }
            for (index, entry) in &write.entries {
                batch.insert(&self.keys, log_key(*index), encode(entry)?);
            }
        }
        batch.commit().map_err(|e| e.to_string())?;
        self.database.persist(PersistMode::SyncData).map_err(|e| e.to_string())
    }

    fn drop_range(&self, batch: &mut fjall::OwnedWriteBatch, from: u64, to: u64) -> Result<(), String> {
        for item in self.keys.range(log_key(from)..=log_key(to)) {
            let key = item.key().map_err(|e| e.to_string())?;
            batch.remove(&self.keys, key);
        }
        Ok(())
    }

    /// Writes on a thread of its own; tells the number of each write once it is durable, or why it
    /// is not, after which nothing more is written.
    pub fn run(self, done: smol::channel::Sender<Result<u64, String>>) -> mpsc::Sender<(u64, Write)> {
        let (sender, receiver) = mpsc::channel::<(u64, Write)>();
        std::thread::spawn(move || {
            while let Ok(first) = receiver.recv() {
                let mut numbers = vec![first.0];
                let mut writes = vec![first.1];
                // A truncation looks at what is there, so it does not share a batch with what it
                // would have to see.
                while writes.iter().all(|w| w.truncate.is_none() && w.snapshot.is_none())
                    && let Ok((number, write)) = receiver.try_recv()
                {
                    if write.truncate.is_some() || write.snapshot.is_some() {
                        if let Err(why) = self.write(&writes) {
                            let _ = done.send_blocking(Err(why));
                            return;
                        }
                        writes.clear();
                    }
                    numbers.push(number);
                    writes.push(write);
                }
                let result = self.write(&writes).map(|()| numbers.last().copied().unwrap_or(0));
                let failed = result.is_err();
                if done.send_blocking(result).is_err() || failed {
                    return;
                }
            }
        });
        sender
    }
}
