//! Time of this process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock that starts with the process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    pub(crate) fn new() -> Self {
        Self { start: Instant::now() }
    }

    /// Monotonic time since the start, in milliseconds.
    pub(crate) fn now_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

/// Wall-clock time in milliseconds, for the audit trail only.
pub(crate) fn wall_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
