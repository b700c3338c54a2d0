//! How upstreams have answered this instance lately.

use std::collections::HashMap;
use std::sync::Arc;

/// First pause after a connection that failed.
const FIRST_PAUSE_MS: u64 = 500; // twice the longest round trip between regions, with room
/// Longest pause between two tries.
const MAX_PAUSE_MS: u64 = 4_000; // a crashed upstream is back after some seconds
/// Pause after a refusal: an engine that is full or changes its role refuses more than one request.
const REFUSED_PAUSE_MS: u64 = 1_000; // a role change takes three seconds, a full engine less
/// Weight of the newest outcome in the mean.
const NEWEST_WEIGHT: f64 = 0.15;

/// What became of one send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendOutcome {
    /// A whole answer.
    Answered,
    /// An answer that the upstream gave as a failure, or that was spoilt.
    Failed,
    /// It stated that it did not run the request.
    Refused,
    /// No connection came about, or it broke.
    ConnectionFailed,
}

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    failure_rate: f64,
    breaks: u32,
    paused_until_ms: u64,
}

/// Outcomes by upstream.
#[derive(Clone, Debug, Default)]
pub struct UpstreamHealth {
    records: HashMap<Arc<str>, Record>,
}

impl UpstreamHealth {
    /// Notes what became of a send.
    pub fn on_outcome(&mut self, now_ms: u64, id: &Arc<str>, outcome: SendOutcome) {
        let record = self.records.entry(id.clone()).or_default();
        if outcome == SendOutcome::Refused {
            record.paused_until_ms = record.paused_until_ms.max(now_ms + REFUSED_PAUSE_MS);
            return;
        }
        let newest = if outcome == SendOutcome::Answered { 0.0 } else { 1.0 };
        record.failure_rate += NEWEST_WEIGHT * (newest - record.failure_rate);
        match outcome {
            SendOutcome::Answered => record.breaks = 0,
            SendOutcome::Failed | SendOutcome::Refused => {}
            SendOutcome::ConnectionFailed => {
                let pause_ms = FIRST_PAUSE_MS << record.breaks.min(3);
                record.breaks += 1;
                record.paused_until_ms = now_ms + pause_ms.min(MAX_PAUSE_MS);
            }
        }
    }

    /// Forgets an upstream that left.
    pub fn forget(&mut self, id: &str) {
        self.records.remove(id);
    }

    /// Whether it is tried at all.
    #[must_use]
    pub fn is_backing_off(&self, now_ms: u64, id: &str) -> bool {
        self.records.get(id).is_some_and(|record| now_ms < record.paused_until_ms)
    }

    /// Part of the recent sends that failed, 0 to 1.
    #[must_use]
    pub fn failure_rate(&self, id: &str) -> f64 {
        self.records.get(id).map_or(0.0, |record| record.failure_rate)
    }
}
