//! The store on a simulated disk that refuses and loses power, and in a real folder.

mod golden;

use super::format::encode_record;
use super::*;
use lichenfield_engine::process::consensus::{Entry, HardState, IndexedEntry, Snapshot};
use lichenfield_engine::version::control_state::{Command, ProposalId};
use lichenfield_engine::version::electorate::{Electorate, Voter};

/// A disk in memory: what was synced, what was only written, and how often it refuses.
#[derive(Default)]
struct MemoryDisk {
    synced: Vec<u8>,
    written: Vec<u8>,
    /// The probability with which an operation is refused.
    refusal_rate: f64,
    rng: fastrand::Rng,
}

impl MemoryDisk {
    fn maybe_refuse(&mut self) -> io::Result<()> {
        if self.rng.f64() < self.refusal_rate { Err(ErrorKind::StorageFull.into()) } else { Ok(()) }
    }
    /// Any part of what was not synced may be there, in any order.
    fn lose_power(&mut self) -> Vec<u8> {
        let mut remaining = self.synced.clone();
        let length = self.rng.usize(remaining.len().min(self.written.len())..=remaining.len().max(self.written.len()));
        remaining.resize(length, 0);
        for at in (0..length.min(self.written.len())).step_by(64) {
            let end = (at + 64).min(length).min(self.written.len());
            if at >= self.synced.len().saturating_sub(63) && self.rng.bool() {
                remaining[at.max(self.synced.len().min(end))..end]
                    .copy_from_slice(&self.written[at.max(self.synced.len().min(end))..end]);
            }
        }
        remaining
    }
}

impl Disk for MemoryDisk {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let refused = self.maybe_refuse();
        let part = if refused.is_err() { self.rng.usize(0..bytes.len()) } else { bytes.len() };
        self.written.extend_from_slice(&bytes[..part]);
        refused
    }
    fn sync(&mut self) -> io::Result<()> {
        self.maybe_refuse()?;
        self.synced = self.written.clone();
        Ok(())
    }
    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.maybe_refuse()?;
        self.written.truncate(length as usize);
        Ok(())
    }
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.maybe_refuse()?;
        (self.synced, self.written) = (bytes.to_vec(), bytes.to_vec());
        Ok(())
    }
}

const DISK_BYTES: u64 = 128 << 20;

fn open_disk(disk: MemoryDisk, bytes: &[u8]) -> Store<MemoryDisk> {
    let StoredState { state, valid_length } = format::read_records(bytes).expect("what was synced opens");
    let has_torn_tail = valid_length < bytes.len();
    Store {
        disk,
        state,
        valid_length: valid_length as u64,
        rewritten_length: 0,
        disk_bytes: DISK_BYTES,
        has_torn_tail,
        needs_rewrite: false,
    }
}

/// The bytes of a store that was just created.
fn new_store_bytes() -> Vec<u8> {
    let state = PersistentState { id: 7, ..PersistentState::default() };
    encode_record(&Record::State(FORMAT_VERSION, state)).expect("encoded")
}

/// The state that a file's bytes hold.
fn read_state(bytes: &[u8]) -> Result<PersistentState, FormatError> {
    format::read_records(bytes).map(|stored| stored.state)
}

fn random_write(rng: &mut fastrand::Rng, state: &PersistentState) -> Write {
    let last = state.last_index();
    let entry = |i: u64| {
        let command = Command::DrainInstance { id: format!("i{i}") };
        IndexedEntry { index: i, entry: Entry { term: i, proposal_id: ProposalId::default(), command } }
    };
    match rng.u8(0..8) {
        0 => {
            Write { hard_state: Some(HardState { term: state.term + 1, vote: Some(rng.u64(..)) }), ..Write::default() }
        }
        1 | 2 if last > state.snapshot.index => {
            let electorate = Electorate::new(vec![Voter { id: 7, ip: std::net::Ipv4Addr::LOCALHOST }]);
            let snapshot = Snapshot { index: state.snapshot.index + 1, term: 1, electorate, state: vec![3; 300] };
            // The log may keep any part of what the snapshot covers.
            let trim = rng.bool().then(|| rng.u64(state.base_index..=snapshot.index));
            Write { snapshot: Some(snapshot), trim, ..Write::default() }
        }
        3 => {
            let electorate = Electorate::default();
            let snapshot = Snapshot { index: last + 5, term: 2, electorate, state: vec![4; 300] };
            Write { snapshot: Some(snapshot), reset: true, ..Write::default() }
        }
        4 | 5 if last > state.snapshot.index => {
            Write { truncate: Some(last), entries: vec![entry(last)], ..Write::default() }
        }
        _ => Write { entries: vec![entry(last + 1), entry(last + 2)], ..Write::default() },
    }
}

#[test]
fn power_loss_at_any_moment_loses_only_writes_not_reported_as_durable() {
    for seed in 0..300 {
        let founded = new_store_bytes();
        let rng = fastrand::Rng::with_seed(seed);
        let disk = MemoryDisk { synced: founded.clone(), written: founded.clone(), refusal_rate: 0.2, rng };
        let mut store = open_disk(disk, &founded);
        let mut durable = store.state.clone();
        let mut rng = fastrand::Rng::with_seed(seed + 1000);
        for _ in 0..rng.usize(1..20) {
            let write = random_write(&mut rng, &durable);
            let mut with_write = durable.clone();
            assert!(with_write.apply(write.clone()));
            // The last try may be cut short by the loss of power.
            if rng.u8(0..12) == 0 {
                let _ = store.write(std::slice::from_ref(&write));
                let remaining = store.disk.lose_power();
                let found = read_state(&remaining).unwrap_or_else(|e| panic!("seed {seed}: {e:?}"));
                assert!(found == durable || found == with_write, "seed {seed}");
                durable = found;
                let rng = std::mem::take(&mut store.disk.rng);
                let disk = MemoryDisk { synced: remaining.clone(), written: remaining.clone(), refusal_rate: 0.2, rng };
                store = open_disk(disk, &remaining);
                continue;
            }
            while store.write(std::slice::from_ref(&write)).is_err() {}
            durable = with_write;
            assert_eq!(read_state(&store.disk.synced).expect("synced"), durable, "seed {seed}");
        }
    }
}

#[test]
fn a_damaged_record_is_refused_and_a_torn_tail_is_not() {
    let record = |term| {
        let write = Write { hard_state: Some(HardState { term, vote: None }), ..Write::default() };
        encode_record(&Record::Writes(vec![write])).expect("encoded")
    };
    let mut bytes = new_store_bytes();
    let first = bytes.len();
    bytes.extend(record(1));
    let second = bytes.len();
    bytes.extend(record(2));
    assert_eq!(read_state(&bytes).expect("whole").term, 2);
    assert_eq!(read_state(&bytes[..bytes.len() - 1]).expect("torn").term, 1);
    for (at, what) in [(2, "the first"), (first + 13, "a middle")] {
        let mut bad = bytes.clone();
        bad[at] ^= 1;
        assert!(read_state(&bad).is_err(), "{what} record damaged");
    }
    bytes[second + 13] ^= 1;
    assert_eq!(read_state(&bytes).expect("a bad end was never reported as durable").term, 1);
}

#[test]
fn a_real_folder_is_reopened_and_a_foreign_file_is_refused() {
    let path = std::env::temp_dir().join(format!("controller-store-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).expect("a folder");
    std::fs::write(path.join(TEMPORARY_FILE_NAME), b"half a founding").expect("laid");
    let mut store = Store::try_open(&path, DISK_BYTES, 3).expect("founded");
    store
        .write(&[Write { hard_state: Some(HardState { term: 4, vote: Some(3) }), ..Write::default() }])
        .expect("written");
    store
        .rewrite(&[Write { hard_state: Some(HardState { term: 5, vote: None }), ..Write::default() }])
        .expect("written anew");
    drop(store);
    let store = Store::try_open(&path, DISK_BYTES, 9).expect("opened");
    assert_eq!((store.state.id, store.state.term), (3, 5));
    std::fs::remove_file(path.join(FILE_NAME)).expect("removed");
    std::fs::write(path.join("0.jnl"), b"of an earlier version").expect("laid");
    assert!(matches!(Store::try_open(&path, DISK_BYTES, 9), Err(StoreError::Format(_))));
    std::fs::remove_dir_all(&path).expect("removed");
}

#[test]
fn large_states_and_hundreds_of_writes_do_not_fill_the_disk() {
    let founded = new_store_bytes();
    let disk = MemoryDisk { synced: founded.clone(), written: founded.clone(), ..MemoryDisk::default() };
    let mut store = open_disk(disk, &founded);
    let raw = |n: u64| vec![n as u8; 256_000];
    let mut max_bytes = 0;
    for index in 1..=600u64 {
        let command = Command::Configure { if_match: index - 1, raw: raw(index), by: "q".into(), at: RETRY_INTERVAL };
        let entry = Entry { term: 1, proposal_id: ProposalId::default(), command };
        let entries = vec![IndexedEntry { index, entry }];
        store.write(&[Write { entries, ..Write::default() }]).expect("written");
        if index % 8 == 0 {
            // The state, and as much of the log behind it as a live follower may want.
            let snapshot = Snapshot { index, term: 1, electorate: Electorate::default(), state: vec![1; 1_500_000] };
            let trim = Some(index.saturating_sub(64));
            store.write(&[Write { snapshot: Some(snapshot), trim, ..Write::default() }]).expect("written");
        }
        // While it is written anew, the old file is there too.
        max_bytes = max_bytes.max(store.valid_length + store.rewritten_length);
    }
    assert!(max_bytes < DISK_BYTES * 2 / 3, "{max_bytes} bytes");
}
