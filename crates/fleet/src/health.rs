//! How upstreams have answered this instance lately.

use std::collections::HashMap;
use std::sync::Arc;

/// First pause after a connection that failed.
const FIRST_PAUSE_MS: u64 = 500; // twice the longest round trip between regions, with room
/// Longest pause between two tries.
const MAX_PAUSE_MS: u64 = 4_000; // a crashed upstream is back after some seconds
/// Weight of the newest outcome in the mean.
const NEWEST_WEIGHT: f64 = 0.15;
/// Weight of the newest time to a start: a few requests show that an upstream is busy.
const NEWEST_START_WEIGHT: f64 = 0.3;
/// Time in which what was seen of an upstream loses half of its weight, so that one that was busy
/// is tried again.
const START_HALF_LIFE_MS: f64 = 1_500.0;

/// What became of one send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// A whole answer.
    Answered,
    /// An answer that the upstream gave as a failure, or that was spoilt.
    Failed,
    /// No connection came about, or it broke.
    Broken,
}

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    failure_mean: f64,
    breaks: u32,
    paused_until_ms: u64,
    start_mean_ms: f64,
    started_at_ms: u64,
}

/// Outcomes by upstream.
#[derive(Clone, Debug, Default)]
pub struct Health {
    records: HashMap<Arc<str>, Record>,
}

impl Health {
    /// Notes what became of a send.
    pub fn on_outcome(&mut self, now_ms: u64, id: &Arc<str>, outcome: Outcome) {
        let record = self.records.entry(id.clone()).or_default();
        let newest = if outcome == Outcome::Answered { 0.0 } else { 1.0 };
        record.failure_mean += NEWEST_WEIGHT * (newest - record.failure_mean);
        match outcome {
            Outcome::Answered => record.breaks = 0,
            Outcome::Failed => {}
            Outcome::Broken => {
                let pause_ms = FIRST_PAUSE_MS << record.breaks.min(3);
                record.breaks += 1;
                record.paused_until_ms = now_ms + pause_ms.min(MAX_PAUSE_MS);
            }
        }
    }

    /// Notes how long a request took from its send to its first event, or to its whole answer.
    pub fn on_start(&mut self, now_ms: u64, id: &Arc<str>, took_ms: u64) {
        let mean_ms = self.start_ms(now_ms, id).unwrap_or(took_ms as f64);
        let record = self.records.entry(id.clone()).or_default();
        record.start_mean_ms = mean_ms + NEWEST_START_WEIGHT * (took_ms as f64 - mean_ms);
        record.started_at_ms = now_ms;
    }

    /// Time that requests have taken to start lately; `None` where nothing is known.
    ///
    /// What was seen long ago counts less, down to nothing.
    #[must_use]
    pub fn start_ms(&self, now_ms: u64, id: &str) -> Option<f64> {
        let record = self.records.get(id).filter(|record| record.started_at_ms > 0)?;
        let age_ms = now_ms.saturating_sub(record.started_at_ms) as f64;
        let weight = (-age_ms / START_HALF_LIFE_MS).exp2();
        Some(record.start_mean_ms * weight)
    }

    /// Forgets an upstream that left.
    pub fn forget(&mut self, id: &str) {
        self.records.remove(id);
    }

    /// Whether it is tried at all.
    #[must_use]
    pub fn is_paused(&self, now_ms: u64, id: &str) -> bool {
        self.records.get(id).is_some_and(|record| now_ms < record.paused_until_ms)
    }

    /// Part of the recent sends that failed, 0 to 1.
    #[must_use]
    pub fn failure_mean(&self, id: &str) -> f64 {
        self.records.get(id).map_or(0.0, |record| record.failure_mean)
    }
}
