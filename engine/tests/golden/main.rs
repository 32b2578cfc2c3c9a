//! Golden frames: the bytes of everything that daemons send each other and keep in the log.
//!
//! `frames.hex` holds one frame a line, `name hex`. It was written by the first version that had this test and is
//! never written anew: a frame that differs from its line can't be read by a daemon of an earlier version. A new
//! variant gets a line of its own; the test prints the line that is missing.

mod computed;
mod control_state;
mod forwarding;
mod messages;

use std::collections::BTreeMap;

const FRAMES: &str = include_str!("frames.hex");

/// Checks a golden frame against a value: whether it decodes to it, and what it is encoded to again.
type Check = Box<dyn Fn(&[u8]) -> Result<Vec<u8>, String>>;

/// A value, how it is encoded and decoded, and the name of its line.
struct Sample {
    name: String,
    bytes: Vec<u8>,
    check: Check,
    /// Compressed frames may differ between versions of the compressor; they are compared decoded only.
    compressed: bool,
}

/// Lists the variants of an enum, each with its name: a new variant fails to compile here, and one that is listed
/// needs a sample.
macro_rules! variants {
    ($names:ident, $name_of:ident, $kind:ty, { $($name:literal => $pattern:pat,)+ }) => {
        pub const $names: &[&str] = &[$($name),+];
        pub fn $name_of(value: &$kind) -> &'static str {
            match value { $($pattern => $name),+ }
        }
    };
}
use variants;

fn sample<T: PartialEq + std::fmt::Debug + 'static>(
    name: String,
    value: T,
    encode: fn(&T) -> Vec<u8>,
    decode: fn(&[u8]) -> Option<T>,
) -> Sample {
    let bytes = encode(&value);
    let check = move |golden: &[u8]| match decode(golden) {
        Some(decoded) if decoded == value => Ok(encode(&decoded)),
        decoded => Err(format!("decoded {decoded:?}, not {value:?}")),
    };
    Sample { name, bytes, check: Box::new(check), compressed: false }
}

fn bincode_sample<T>(name: impl Into<String>, value: T) -> Sample
where
    T: PartialEq + std::fmt::Debug + serde::Serialize + serde::de::DeserializeOwned + 'static,
{
    sample(name.into(), value, to_bincode, from_bincode)
}

/// As the log, the snapshots and the control_state's state are encoded.
fn to_bincode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    bincode::serde::encode_to_vec(value, bincode::config::standard()).expect("encoded")
}

fn from_bincode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let (value, used) = bincode::serde::decode_from_slice(bytes, bincode::config::standard()).ok()?;
    (used == bytes.len()).then_some(value)
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    assert!(text.len().is_multiple_of(2), "half a byte");
    (0..text.len()).step_by(2).map(|at| u8::from_str_radix(&text[at..at + 2], 16).expect("hex")).collect()
}

#[test]
fn every_frame_is_read_and_written_as_before() {
    let mut golden = BTreeMap::new();
    for line in FRAMES.lines() {
        let (name, frame) = line.split_once(' ').expect("name and hex");
        assert!(golden.insert(name, from_hex(frame)).is_none(), "{name} stands twice");
    }
    let mut faults = Vec::new();
    for sample in messages::samples().into_iter().chain(control_state::samples()).chain(computed::samples()) {
        let Some(frame) = golden.remove(sample.name.as_str()) else {
            faults.push(format!("missing: {} {}", sample.name, hex(&sample.bytes)));
            continue;
        };
        match (sample.check)(&frame) {
            Err(why) => faults.push(format!("{}: {why}", sample.name)),
            Ok(again) if sample.compressed => {
                if let Err(why) = (sample.check)(&again) {
                    faults.push(format!("{}: encoded again: {why}", sample.name));
                }
            }
            Ok(again) if again != frame || sample.bytes != frame => {
                faults.push(format!("{}: encoded {}, not {}", sample.name, hex(&again), hex(&frame)));
            }
            Ok(_) => {}
        }
    }
    faults.extend(golden.keys().map(|name| format!("{name}: no sample for this line")));
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

/// That these samples' names are those of the variants, in any order, each at least once.
fn assert_all_sampled<'a>(variants: &[&'a str], sampled: impl IntoIterator<Item = &'a str>) {
    let sampled: std::collections::BTreeSet<&str> = sampled.into_iter().collect();
    assert_eq!(sampled, variants.iter().copied().collect(), "each variant has a sample");
}
