//! Times of a planned stop: until when requests are accepted, and until when they are served.

/// Time for which all requests are accepted after the signal to stop, in milliseconds: the balancer
/// asks once a second and removes an instance after two negative replies.
const BALANCER_GRACE_MS: u64 = 2_600;
/// Time before the end of the stop that is reserved for the last responses and the final writes to
/// the store, in milliseconds.
const FINAL_WRITES_MS: u64 = 700;

/// The times of a planned stop by the local clock.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopSchedule {
    /// Time until which connections are accepted, in milliseconds.
    pub accept_until_ms: u64,
    /// Time at which requests in flight get their final responses, in milliseconds.
    pub serve_until_ms: u64,
}

impl StopSchedule {
    /// Returns the schedule of a stop that starts at `now_ms` and ends after `stop_after_ms`.
    #[must_use]
    pub fn new(now_ms: u64, stop_after_ms: u64) -> Self {
        let serve_ms = stop_after_ms.saturating_sub(FINAL_WRITES_MS);
        Self {
            accept_until_ms: now_ms + serve_ms.min(BALANCER_GRACE_MS),
            serve_until_ms: now_ms + serve_ms,
        }
    }

    /// Returns whether a request with this deadline may be sent to an upstream at `now_ms`. Once the
    /// balancer sends no more connections, only requests that end in time are accepted.
    #[must_use]
    pub fn admits(&self, now_ms: u64, deadline_ms: u64) -> bool {
        now_ms < self.accept_until_ms || deadline_ms <= self.serve_until_ms
    }
}
