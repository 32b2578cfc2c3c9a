//! Golden stores: folders as earlier versions left them, which this version opens and writes on.
//!
//! `tests/golden/NAME/queen.log` is never regenerated; each file's bytes are also encoded from the values that led to
//! it, so that the format is pinned in both directions.

use super::super::*;
use lichenfield_engine::process::consensus::{Entry, HardState, IndexedEntry, Snapshot};
use lichenfield_engine::version::control_state::{Command, ProposalId};
use lichenfield_engine::version::electorate::{Electorate, Voter};
use std::path::PathBuf;

const DISK_BYTES: u64 = 128 << 20;
const ID: u64 = 7_000_000_001;
/// How many bytes of the torn store's last record are missing.
const TORN_BYTES: u64 = 5;

fn golden(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name).join(FILE_NAME)
}

/// An empty folder that is removed at the end.
struct Scratch(PathBuf);

impl Scratch {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("controller-golden-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).expect("a folder");
        Scratch(path)
    }
    fn bytes(&self) -> Vec<u8> {
        std::fs::read(self.0.join(FILE_NAME)).expect("the file")
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn voter(n: u8) -> Voter {
    Voter { id: ID + u64::from(n), ip: std::net::Ipv4Addr::new(10, 1, 2, n) }
}

fn entry(index: u64) -> IndexedEntry {
    let mark = ProposalId { proposer: 400 + index, serial: 500 + index };
    let command =
        Command::InstallPrimary { service: "service".into(), epoch: index, primary: "primary".into(), term: 600 };
    IndexedEntry { index, entry: Entry { term: 20 + index, proposal_id: mark, command } }
}

fn entries(range: std::ops::RangeInclusive<u64>) -> Write {
    Write { entries: range.map(entry).collect(), ..Write::default() }
}

fn snapshot(index: u64) -> Snapshot {
    let electorate = Electorate { voters: vec![voter(1), voter(2)], outgoing: vec![voter(3)] };
    Snapshot { index, term: 20 + index, electorate, state: vec![1, 2, 3, 4, 5] }
}

/// The first write goes into the whole state: a snapshot at 4, and entries from 3 on.
fn first_write() -> Write {
    Write { hard_state: Some(HardState { term: 30, vote: Some(ID + 2) }), ..entries(1..=6) }
}

/// Writes behind it, of each kind: entries, a vote, a cut, a newer snapshot, entries again.
fn later_writes() -> [Write; 5] {
    [
        entries(7..=9),
        Write { hard_state: Some(HardState { term: 31, vote: None }), ..Write::default() },
        Write { truncate: Some(9), ..entries(9..=10) },
        Write { snapshot: Some(snapshot(8)), trim: Some(5), ..Write::default() },
        entries(11..=11),
    ]
}

fn reset_write() -> Write {
    Write { snapshot: Some(snapshot(40)), reset: true, ..Write::default() }
}

/// Writes the golden store of this name into the folder, as its file was written.
fn write_store(name: &str, folder: &Path) {
    let mut store = Store::try_open(folder, DISK_BYTES, ID).expect("founded");
    if name == "fresh" {
        return;
    }
    let trim = Write { snapshot: Some(snapshot(4)), trim: Some(2), ..Write::default() };
    store.rewrite(&[first_write(), trim]).expect("written whole");
    for write in later_writes() {
        store.write(&[write]).expect("written");
    }
    match name {
        "reset" => store.write(&[reset_write(), entries(41..=42)]).expect("written"),
        "torn" => store.disk.truncate(store.valid_length - TORN_BYTES).expect("cut"),
        _ => {}
    }
}

/// What is read back from it.
fn expected(name: &str) -> PersistentState {
    let log = |range: std::ops::RangeInclusive<u64>| range.map(|index| entry(index).entry).collect();
    let full = PersistentState {
        id: ID,
        term: 31,
        vote: None,
        snapshot: snapshot(8),
        base_index: 5,
        base_term: 25,
        log: log(6..=11),
    };
    match name {
        "fresh" => PersistentState { id: ID, ..PersistentState::default() },
        "full" => full,
        "torn" => PersistentState { log: log(6..=10), ..full },
        "reset" => PersistentState { snapshot: snapshot(40), base_index: 40, base_term: 60, log: log(41..=42), ..full },
        _ => panic!("no such store: {name}"),
    }
}

const NAMES: [&str; 4] = ["fresh", "full", "reset", "torn"];

#[test]
fn stores_are_encoded_as_before() {
    for name in NAMES {
        let scratch = Scratch::new(&format!("written-{name}"));
        write_store(name, &scratch.0);
        let golden = std::fs::read(golden(name)).expect("the golden file");
        assert!(scratch.bytes() == golden, "{name}: other bytes");
    }
}

#[test]
fn old_stores_are_opened_and_written_on() {
    for name in NAMES {
        let scratch = Scratch::new(&format!("read-{name}"));
        std::fs::copy(golden(name), scratch.0.join(FILE_NAME)).expect("copied");
        let mut store = Store::try_open(&scratch.0, DISK_BYTES, 1).expect("opened");
        let mut state = expected(name);
        assert_eq!(store.state, state, "{name}");
        assert_eq!(store.has_torn_tail, name == "torn", "{name}: something is cut before the next write");

        let next = state.last_index() + 1;
        let writes = [
            entries(next..=next + 1),
            Write { hard_state: Some(HardState { term: 99, vote: Some(ID + 9) }), ..Write::default() },
        ];
        store.write(&writes).expect("written on");
        drop(store);
        assert!(writes.into_iter().all(|write| state.apply(write)), "{name}: the writes fit");
        let mut store = Store::try_open(&scratch.0, DISK_BYTES, 2).expect("opened again");
        assert_eq!(store.state, state, "{name}: opened again");

        store.rewrite(&[]).expect("written anew");
        drop(store);
        assert_eq!(Store::try_open(&scratch.0, DISK_BYTES, 3).expect("opened at last").state, state, "{name}: anew");
    }
}
