//! Assembly of snapshots from the chunks in which they are written.

use std::collections::BTreeMap;
use std::sync::Arc;

use cowslip_authority::Holder;

/// Maximum number of incomplete snapshots kept at once.
const MAX_INCOMPLETE: usize = 4;

/// A chunk of a snapshot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SnapshotChunk {
    /// Offset after the newest log entry that the snapshot includes.
    pub covers_offset: u64,
    /// Incarnation of the instance that wrote the snapshot.
    pub writer: Holder,
    /// Position of the chunk in the snapshot, from 0.
    pub index: u32,
    /// Number of chunks in the snapshot.
    pub count: u32,
    /// BLAKE3 digest of the joined content of all chunks.
    pub digest: [u8; 32],
    /// Content of the chunk.
    pub content: Arc<str>,
}

/// A snapshot of which every chunk was read. The caller has to check the digest.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AssembledSnapshot {
    /// Offset after the newest log entry that the snapshot includes.
    pub covers_offset: u64,
    /// BLAKE3 digest that `content` must have.
    pub digest: [u8; 32],
    /// Joined content of the chunks.
    pub content: String,
}

/// Collects chunks by snapshot. Incomplete snapshots beyond a limit are dropped, the lowest offset
/// first, so that unfinished snapshots do not accumulate.
#[derive(Clone, Debug, Default)]
pub struct SnapshotAssembler {
    incomplete: BTreeMap<(u64, Holder), BTreeMap<u32, SnapshotChunk>>,
}

impl SnapshotAssembler {
    /// Adds a chunk; returns the snapshot if this was the last chunk missing.
    ///
    /// A chunk with another count or digest than the chunks so far replaces them all.
    pub fn on_chunk(&mut self, chunk: SnapshotChunk) -> Option<AssembledSnapshot> {
        let id = (chunk.covers_offset, chunk.writer.clone());
        let chunks = self.incomplete.entry(id.clone()).or_default();
        if chunks
            .values()
            .next()
            .is_some_and(|first| first.count != chunk.count || first.digest != chunk.digest)
        {
            chunks.clear();
        }
        let (count, digest) = (chunk.count, chunk.digest);
        chunks.insert(chunk.index, chunk);
        let is_complete =
            chunks.len() as u64 == u64::from(count) && chunks.keys().copied().eq(0..count);
        if is_complete {
            let chunks = self.incomplete.remove(&id)?;
            let content = chunks.values().map(|chunk| &*chunk.content).collect();
            return Some(AssembledSnapshot { covers_offset: id.0, digest, content });
        }
        while self.incomplete.len() > MAX_INCOMPLETE {
            self.incomplete.pop_first();
        }
        None
    }
}
