//! Bounded memory of upstreams that were dropped from the registry.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Number of dropped upstreams that are remembered.
const MAX_DROPPED: usize = 4_096;

/// Last known state of a dropped upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DroppedUpstream {
    /// Start of the dropped incarnation in Unix milliseconds, 0 if unknown.
    pub(crate) started_at_ms: u64,
    /// Sequence number of its last entry, 0 if unknown.
    pub(crate) seq: u64,
    /// Whether the incarnation was draining or leaving.
    pub(crate) has_left: bool,
}

impl DroppedUpstream {
    /// Returns whether an entry of this incarnation and sequence number may have been written
    /// before the upstream was dropped. Entries without an incarnation are not comparable.
    pub(crate) fn covers(&self, started_at_ms: u64, seq: u64) -> bool {
        if started_at_ms == 0 || self.started_at_ms == 0 {
            return false;
        }
        match started_at_ms.cmp(&self.started_at_ms) {
            Ordering::Less => true,
            Ordering::Equal => self.has_left || (1..=self.seq).contains(&seq),
            Ordering::Greater => false,
        }
    }
}

/// Dropped upstreams by id; the ones that were dropped first are forgotten first.
#[derive(Clone, Debug, Default)]
pub(crate) struct DroppedUpstreams {
    /// Number of the latest drop and the state at that time.
    by_id: BTreeMap<Arc<str>, (u64, DroppedUpstream)>,
    /// Ids by the number of their latest drop.
    ids: BTreeMap<u64, Arc<str>>,
    /// Number of drops so far.
    drop_count: u64,
}

impl DroppedUpstreams {
    pub(crate) fn get(&self, id: &str) -> Option<&DroppedUpstream> {
        self.by_id.get(id).map(|(_, dropped)| dropped)
    }

    pub(crate) fn insert(&mut self, id: Arc<str>, dropped: DroppedUpstream) {
        self.drop_count += 1;
        self.ids.insert(self.drop_count, id.clone());
        if let Some((earlier, _)) = self.by_id.insert(id, (self.drop_count, dropped)) {
            self.ids.remove(&earlier);
        }
        if self.ids.len() > MAX_DROPPED
            && let Some((_, first)) = self.ids.pop_first()
        {
            self.by_id.remove(&first);
        }
    }
}
