//! Demand as a rate.

/// Time constant of the average, in milliseconds.
const AVERAGING_MS: f64 = 2_000.0;

/// Exponential average of the units that are asked for in a second.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Demand {
    per_s: f64,
    at_ms: u64,
}

impl Demand {
    pub(crate) fn new(now_ms: u64) -> Self {
        Self { per_s: 0.0, at_ms: now_ms }
    }

    pub(crate) fn add(&mut self, now_ms: u64, amount: f64) {
        self.per_s = self.per_s(now_ms) + amount * 1_000.0 / AVERAGING_MS;
        self.at_ms = self.at_ms.max(now_ms);
    }

    pub(crate) fn per_s(&self, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.per_s * (-elapsed_ms / AVERAGING_MS).exp()
    }
}
