//! Puts the chunks of snapshots together again.

use std::collections::BTreeMap;
use std::sync::Arc;

use cowslip_authority::Holder;

/// Unfinished snapshots that are kept at once.
const MAX_UNFINISHED: usize = 4;

/// One part of a snapshot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SnapshotChunk {
    /// The snapshot holds the effect of all entries before this offset.
    pub covers_offset: u64,
    /// Who wrote it.
    pub writer: Holder,
    /// Place of the part, from 0.
    pub index: u32,
    /// Number of parts.
    pub count: u32,
    /// BLAKE3 of the whole.
    pub digest: [u8; 32],
    /// The part.
    pub part: Arc<str>,
}

/// A snapshot of which every part was read; its digest is still to be checked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AssembledSnapshot {
    /// The snapshot holds the effect of all entries before this offset.
    pub covers_offset: u64,
    /// BLAKE3 that the whole must have.
    pub digest: [u8; 32],
    /// The whole.
    pub content: String,
}

/// Collects parts; a snapshot that its writer never finished is dropped when newer ones come.
#[derive(Clone, Debug, Default)]
pub struct SnapshotAssembler {
    unfinished: BTreeMap<(u64, Holder), BTreeMap<u32, SnapshotChunk>>,
}

impl SnapshotAssembler {
    /// Takes a part; returns the snapshot when it was the last one missing.
    pub fn on_chunk(&mut self, chunk: SnapshotChunk) -> Option<AssembledSnapshot> {
        let id = (chunk.covers_offset, chunk.writer.clone());
        let parts = self.unfinished.entry(id.clone()).or_default();
        if parts
            .values()
            .next()
            .is_some_and(|first| first.count != chunk.count || first.digest != chunk.digest)
        {
            parts.clear();
        }
        let (count, digest) = (chunk.count, chunk.digest);
        parts.insert(chunk.index, chunk);
        let is_whole = parts.len() as u64 == u64::from(count) && parts.keys().copied().eq(0..count);
        if is_whole {
            let parts = self.unfinished.remove(&id)?;
            let content = parts.values().map(|chunk| &*chunk.part).collect();
            return Some(AssembledSnapshot { covers_offset: id.0, digest, content });
        }
        while self.unfinished.len() > MAX_UNFINISHED {
            self.unfinished.pop_first();
        }
        None
    }
}
