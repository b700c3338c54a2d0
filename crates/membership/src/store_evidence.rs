//! Tells an outage of the store from failures that concern this instance alone.

/// Time without any read that counts as an outage. Peers state the time of their newest read about
/// once a second, and entries expire only after several seconds.
const MIN_OUTAGE_MS: u64 = 1_500;

/// What shows whether the store serves anyone: this instance's reads and those that its peers state.
///
/// An instance whose own reads fail is cut off, its connections are silent, or the store turns it
/// away; the store is away only if the peers do not read either.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreEvidence {
    /// Time of the newest read.
    read_at_ms: Option<u64>,
    /// Time of the last failure of this instance that no later read has settled.
    failed_at_ms: Option<u64>,
}

impl StoreEvidence {
    /// Records that a read of this instance failed.
    pub fn on_failed(&mut self, now_ms: u64) {
        self.failed_at_ms = Some(now_ms);
    }

    /// Records that this instance or a peer read the store at `at_ms`. Returns whether this ends an
    /// outage: this instance's reads have failed, and nobody is known to have read meanwhile.
    pub fn on_read(&mut self, at_ms: u64) -> bool {
        if self.read_at_ms.is_some_and(|known_ms| at_ms <= known_ms) {
            return false;
        }
        let earlier_ms = self.read_at_ms.replace(at_ms);
        let is_gap = earlier_ms.is_none_or(|earlier_ms| at_ms - earlier_ms >= MIN_OUTAGE_MS);
        let ends_outage = self.failed_at_ms.is_some() && is_gap;
        self.failed_at_ms = self.failed_at_ms.filter(|failed_ms| at_ms < *failed_ms);
        ends_outage
    }
}
