//! A clock for leases and deadlines, and the time of day.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

/// A clock that starts with the process, never steps, and goes on while the machine is suspended:
/// a lease must not seem to last because its holder was asleep.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    /// Starts at 0 now.
    #[must_use]
    pub fn new() -> Self {
        Self { start: boot_time() }
    }

    /// Time since the start, in milliseconds.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        millis(boot_time().saturating_sub(self.start))
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

fn boot_time() -> Duration {
    // Both clocks exist on every kernel that the runtime needs; a clock of zero ends all leases.
    clock_gettime(ClockId::CLOCK_BOOTTIME)
        .or_else(|_| clock_gettime(ClockId::CLOCK_MONOTONIC))
        .map(Duration::from)
        .unwrap_or_default()
}

/// Time of day in milliseconds since 1970; it may step.
#[must_use]
pub fn unix_ms() -> u64 {
    millis(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default())
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
