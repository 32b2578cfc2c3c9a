//! Compression of the configuration in transit: as a delta against the version before, where the receiver
//! holds that, or by itself.

use super::update::{Update, UpdateValue};
use std::collections::VecDeque;

/// How many deltas are kept, for daemons that are a few versions behind.
const DELTAS_KEPT: usize = 16;
/// The longest configuration that is decompressed, in bytes; no operator's is as long.
const CONFIG_LENGTH_MAX: usize = 8 << 20;
/// The usual level of `zstd`.
const COMPRESSION_LEVEL: i32 = 3;

/// A version of the configuration that another is compressed against.
#[derive(Debug, Clone, Copy)]
pub(super) struct BaseConfig<'a> {
    pub(super) version: u64,
    pub(super) text: &'a [u8],
}

impl<'a> BaseConfig<'a> {
    /// The base that an update is; `None` if it holds no configuration.
    pub(super) fn of(update: &'a Update) -> Option<Self> {
        match &update.value {
            UpdateValue::Config(text) => Some(BaseConfig { version: update.version, text }),
            _ => None,
        }
    }
}

/// Compresses a configuration against an older one that the receiver holds, or by itself.
pub(super) fn compress(base: Option<BaseConfig>, text: &[u8]) -> UpdateValue {
    let dictionary = base.map_or(&[][..], |base| base.text);
    let compressed = zstd::bulk::Compressor::with_dictionary(COMPRESSION_LEVEL, dictionary)
        .and_then(|mut compressor| compressor.compress(text));
    match compressed {
        Ok(bytes) => UpdateValue::Compressed { base: base.map(|base| base.version), bytes },
        // Fails only for lack of memory; the configuration then goes uncompressed.
        Err(_) => UpdateValue::Config(text.to_vec()),
    }
}

/// Decompresses a configuration that was compressed against `dictionary`, which is empty for one that was
/// compressed by itself. `None` if the bytes are malformed.
pub(super) fn decompress(dictionary: &[u8], bytes: &[u8]) -> Option<Vec<u8>> {
    let declared = zstd::zstd_safe::get_frame_content_size(bytes).ok()??;
    let capacity = declared.min(CONFIG_LENGTH_MAX as u64) as usize;
    zstd::bulk::Decompressor::with_dictionary(dictionary).ok()?.decompress(bytes, capacity).ok()
}

/// The configuration's compressed forms, kept for the daemons that need them.
#[derive(Debug, Default)]
pub(super) struct ConfigHistory {
    /// The last versions, each against the one before, up to the one in force.
    deltas: VecDeque<Update>,
    /// The version in force compressed by itself, once a daemon has needed it.
    full: Option<Update>,
}

impl ConfigHistory {
    /// A new version is in force; `forwarded` is its form in transit.
    pub(super) fn push(&mut self, forwarded: &Update) {
        self.full = None;
        if let UpdateValue::Compressed { base: Some(_), .. } = forwarded.value {
            self.deltas.push_back(forwarded.clone());
            if self.deltas.len() > DELTAS_KEPT {
                self.deltas.pop_front();
            }
        } else {
            self.deltas.clear();
        }
    }

    /// What brings a daemon that holds version `held` to the configuration in force, `config`: the deltas
    /// since, or all of it.
    pub(super) fn updates_since(&mut self, held: Option<u64>, config: Update) -> Vec<Update> {
        let follows_held = |delta: &Update| matches!(delta.value, UpdateValue::Compressed { base, .. } if base == held);
        if held.is_some()
            && let Some(first) = self.deltas.iter().position(follows_held)
        {
            return self.deltas.iter().skip(first).cloned().collect();
        }
        let full = self.full.get_or_insert_with(|| match &config.value {
            UpdateValue::Config(text) => Update { value: compress(None, text), ..config },
            _ => config,
        });
        vec![full.clone()]
    }
}
