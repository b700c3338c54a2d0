//! Keyed rows in the order of their changes, sent to peers in bounded batches.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Groups of keys whose contents are compared by one digest each.
pub const DIGEST_GROUPS: usize = 64;

/// Newest row of each key, with the order in which keys changed.
///
/// A peer asks for the rows that changed after the version it has received. A peer that has no such
/// version compares contents by the digest of each group of keys, and gets the groups that differ.
#[derive(Clone, Debug)]
pub struct ChangeLog<V> {
    rows: BTreeMap<Arc<str>, Row<V>>,
    /// Key that changed last at each version.
    by_version: BTreeMap<u64, Arc<str>>,
    version: u64,
    /// Sum of the digests of each group's rows.
    digests: [u64; DIGEST_GROUPS],
}

#[derive(Clone, Debug)]
struct Row<V> {
    value: V,
    /// Digest of the contents; 0 for a removed key.
    digest: u64,
    version: u64,
}

/// Rows for a peer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Batch<'a, V> {
    /// Rows in the order of their changes.
    pub rows: Vec<&'a V>,
    /// Version up to which the peer has received all changes.
    pub version: u64,
    /// Whether later changes did not fit.
    pub has_more: bool,
}

/// How far a peer knows the rows of a log.
#[derive(Clone, Copy, Debug)]
pub struct PeerKnowledge<'a> {
    /// Version up to which the peer has received all changes.
    pub version: u64,
    /// Digests of the groups that the peer holds; empty if only the version counts.
    pub digests: &'a [u64],
}

impl<V> Default for ChangeLog<V> {
    fn default() -> Self {
        Self {
            rows: BTreeMap::new(),
            by_version: BTreeMap::new(),
            version: 0,
            digests: [0; DIGEST_GROUPS],
        }
    }
}

impl<V> ChangeLog<V> {
    /// Returns the version of the newest change, 0 before the first.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the row of a key, which may be that of a removed key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&V> {
        self.rows.get(key).map(|row| &row.value)
    }

    /// Returns the digest of a key's contents, `None` for a removed or unknown key.
    #[must_use]
    pub fn digest(&self, key: &str) -> Option<u64> {
        self.rows.get(key).map(|row| row.digest).filter(|digest| *digest != 0)
    }

    /// Returns the number of keys, removed ones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether the log has no row.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the keys that are not removed.
    pub fn present_keys(&self) -> impl Iterator<Item = &Arc<str>> {
        self.rows.iter().filter(|(_, row)| row.digest != 0).map(|(key, _)| key)
    }

    /// Replaces the row of a key. `digest` identifies the contents, 0 stands for a removed key. Equal
    /// contents are no change for peers.
    pub fn insert(&mut self, key: &Arc<str>, value: V, digest: u64) {
        if let Some(row) = self.rows.get_mut(key).filter(|row| digest != 0 && row.digest == digest)
        {
            row.value = value;
            return;
        }
        self.remove(key);
        self.version += 1;
        self.by_version.insert(self.version, key.clone());
        let sum = &mut self.digests[group_of(key)];
        *sum = sum.wrapping_add(digest);
        self.rows.insert(key.clone(), Row { value, digest, version: self.version });
    }

    /// Gives a row a new version, so that peers receive it again.
    pub fn touch(&mut self, key: &str) {
        let Some(row) = self.rows.get_mut(key) else { return };
        if let Some(key) = self.by_version.remove(&row.version) {
            self.version += 1;
            row.version = self.version;
            self.by_version.insert(self.version, key);
        }
    }

    /// Drops the removed key that changed first, if there is one.
    pub fn forget_oldest_removal(&mut self) {
        let is_removed = |key: &&Arc<str>| self.digest(key).is_none();
        if let Some(key) = self.by_version.values().find(is_removed).cloned() {
            self.remove(&key);
        }
    }

    fn remove(&mut self, key: &str) {
        if let Some(row) = self.rows.remove(key) {
            self.by_version.remove(&row.version);
            let sum = &mut self.digests[group_of(key)];
            *sum = sum.wrapping_sub(row.digest);
        }
    }

    /// Returns the digest of each group's contents, equal at instances that hold equal contents.
    #[must_use]
    pub fn digests(&self) -> &[u64; DIGEST_GROUPS] {
        &self.digests
    }

    /// Returns the next rows that a peer lacks, at least one and otherwise at most `max_bytes` of
    /// them.
    ///
    /// Rows that are not `is_final` are left out; [`Self::touch`] offers them again.
    pub fn batch<S, F>(
        &self,
        peer: PeerKnowledge<'_>,
        max_bytes: usize,
        size_bytes: S,
        is_final: F,
    ) -> Batch<'_, V>
    where
        S: Fn(&V) -> usize,
        F: Fn(&V) -> bool,
    {
        let is_known = |key: &str| {
            let group = group_of(key);
            peer.digests.get(group).is_some_and(|digest| *digest == self.digests[group])
        };
        let mut batch = Batch { rows: Vec::new(), version: self.version, has_more: false };
        let mut left_bytes = max_bytes;
        let mut seen_version = peer.version;
        for (version, key) in self.by_version.range(peer.version.saturating_add(1)..) {
            // Removals are always sent: the peer may still get the entry from another source.
            let lacks = |row: &&Row<V>| is_final(&row.value) && (row.digest == 0 || !is_known(key));
            if let Some(row) = self.rows.get(key).filter(lacks).map(|row| &row.value) {
                let Some(left) = left_bytes
                    .checked_sub(size_bytes(row))
                    .or_else(|| batch.rows.is_empty().then_some(0))
                else {
                    batch.version = seen_version;
                    batch.has_more = true;
                    break;
                };
                left_bytes = left;
                batch.rows.push(row);
            }
            seen_version = *version;
        }
        batch
    }
}

/// Returns the group of a key (FNV-1a), equal at every instance.
fn group_of(key: &str) -> usize {
    let hash = key.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    usize::try_from(hash % DIGEST_GROUPS as u64).unwrap_or(0)
}
