//! Health of upstreams, from the outcomes of this instance's recent sends.

use std::collections::HashMap;
use std::sync::Arc;

/// Backoff after the first connection failure.
const INITIAL_BACKOFF_MS: u64 = 500; // twice the longest round trip between regions, plus a margin
/// Longest backoff after consecutive connection failures.
const MAX_BACKOFF_MS: u64 = 4_000; // a crashed upstream restarts within some seconds
/// Weight of the newest outcome in the exponential moving average of failures, 0 to 1.
const NEWEST_WEIGHT: f64 = 0.15;

/// Outcome of one send to an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendOutcome {
    /// The upstream sent a complete response.
    Responded,
    /// The response was an error or was corrupted.
    Failed,
    /// The upstream stated that it did not run the request.
    Refused,
    /// The connection could not be opened, or it broke.
    ConnectionFailed,
}

#[derive(Clone, Copy, Debug, Default)]
struct Health {
    failure_rate: f64,
    /// Connection failures since the last complete response.
    consecutive_failures: u32,
    backoff_until_ms: u64,
}

/// Failure rates and backoffs by upstream.
#[derive(Clone, Debug, Default)]
pub struct UpstreamHealth {
    upstreams: HashMap<Arc<str>, Health>,
}

impl UpstreamHealth {
    /// Records the outcome of a send. A refusal is a statement of the upstream, which the registry
    /// keeps, and changes nothing here.
    pub fn on_outcome(&mut self, now_ms: u64, id: &Arc<str>, outcome: SendOutcome) {
        if outcome == SendOutcome::Refused {
            return;
        }
        let health = self.upstreams.entry(id.clone()).or_default();
        let newest = if outcome == SendOutcome::Responded { 0.0 } else { 1.0 };
        health.failure_rate += NEWEST_WEIGHT * (newest - health.failure_rate);
        match outcome {
            SendOutcome::Responded => health.consecutive_failures = 0,
            SendOutcome::Failed | SendOutcome::Refused => {}
            SendOutcome::ConnectionFailed => {
                let backoff_ms = INITIAL_BACKOFF_MS << health.consecutive_failures.min(3);
                health.consecutive_failures += 1;
                health.backoff_until_ms = now_ms + backoff_ms.min(MAX_BACKOFF_MS);
            }
        }
    }

    /// Drops the records of an upstream that left.
    pub fn forget(&mut self, id: &str) {
        self.upstreams.remove(id);
    }

    /// Whether the upstream gets no requests at `now_ms` because of recent failures.
    #[must_use]
    pub fn is_backing_off(&self, now_ms: u64, id: &str) -> bool {
        self.upstreams.get(id).is_some_and(|health| now_ms < health.backoff_until_ms)
    }

    /// Returns the exponential moving average of failed sends, 0 to 1.
    #[must_use]
    pub fn failure_rate(&self, id: &str) -> f64 {
        self.upstreams.get(id).map_or(0.0, |health| health.failure_rate)
    }
}
