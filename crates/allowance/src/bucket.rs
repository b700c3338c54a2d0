//! A token bucket.

/// A token bucket whose rate and capacity are given with each use, since they change.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bucket {
    level: f64,
    filled_at_ms: u64,
}

impl Bucket {
    pub(crate) fn empty(now_ms: u64) -> Self {
        Self { level: 0.0, filled_at_ms: now_ms }
    }

    /// Adds what has accrued until `now_ms` and returns the level.
    pub(crate) fn fill(&mut self, now_ms: u64, rate_per_s: f64, capacity: f64) -> f64 {
        let elapsed_s = now_ms.saturating_sub(self.filled_at_ms) as f64 / 1_000.0;
        self.filled_at_ms = self.filled_at_ms.max(now_ms);
        self.level = (self.level + elapsed_s * rate_per_s).min(capacity);
        self.level
    }

    /// Takes `cost` if the bucket holds it.
    pub(crate) fn try_take(&mut self, cost: f64) -> bool {
        let is_enough = cost <= self.level;
        if is_enough {
            self.level -= cost;
        }
        is_enough
    }

    /// Puts `amount` back; the next [`Bucket::fill`] applies the capacity.
    pub(crate) fn put_back(&mut self, amount: f64) {
        self.level += amount;
    }
}
