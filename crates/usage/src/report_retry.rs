/// Delay after the first failed report.
const FIRST_DELAY_MS: u64 = 400;
/// Longest delay between attempts. A report has a deadline, so it is kept short.
const MAX_DELAY_MS: u64 = 800;

/// When the lease holder tries again to report usage windows, after failures.
#[derive(Clone, Debug, Default)]
pub struct ReportRetry {
    /// Consecutive failures.
    failures: u32,
    due_at_ms: u64,
}

impl ReportRetry {
    /// Returns whether the last attempt failed. A retry has no priority over other duties.
    #[must_use]
    pub fn is_retry(&self) -> bool {
        self.failures > 0
    }

    /// Returns whether the next attempt is due.
    #[must_use]
    pub fn is_due(&self, now_ms: u64) -> bool {
        now_ms >= self.due_at_ms
    }

    /// Records the end of an attempt. `is_reported` is whether all due windows were reported.
    pub fn on_attempt(&mut self, now_ms: u64, is_reported: bool) {
        if is_reported {
            *self = Self::default();
        } else {
            let delay_ms = FIRST_DELAY_MS << self.failures.min(8);
            self.failures = self.failures.saturating_add(1);
            self.due_at_ms = now_ms + delay_ms.min(MAX_DELAY_MS);
        }
    }
}
