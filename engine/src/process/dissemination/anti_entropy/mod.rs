//! Anti-entropy between the copies of updates that daemons hold: copies are compared by digests over ranges
//! of keys, and differences mended by sending the newer versions.

mod config_compression;
mod digests;
mod update;
mod update_store;

pub use digests::{Digests, RANGES, combine_digests};
pub use update::{Instance, KeyVersion, Update, UpdateValue, VOTERS_KEY};
pub use update_store::{AppliedUpdate, UpdateStore};
