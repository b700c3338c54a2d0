//! A steady clock for leases and deadlines, and the unix time.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

/// A steady clock that counts from its creation, never steps, and advances while the machine is
/// suspended, so that a lease does not seem valid for longer because its holder was suspended.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    /// Creates a clock that starts at 0.
    ///
    /// # Panics
    /// Panics if the kernel has no clock that keeps running: a lease would never end.
    #[must_use]
    pub fn new() -> Self {
        Self { start: boot_time() }
    }

    /// Returns the time since the clock was created, in milliseconds.
    ///
    /// # Panics
    /// Panics if the kernel's clock can no longer be read.
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
    clock_gettime(ClockId::CLOCK_BOOTTIME)
        .or_else(|_| clock_gettime(ClockId::CLOCK_MONOTONIC))
        .map(Duration::from)
        .expect("the kernel has a monotonic clock")
}

/// Returns the unix time, in milliseconds since 1970. It steps when the machine's clock is set.
#[must_use]
pub fn unix_ms() -> u64 {
    millis(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default())
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
