//! Delays between attempts to read a store that does not answer.

use crate::feed_topology::FeedRole;

/// Delay after the first failure of an instance that others depend on.
const FIRST_DELAY_MS: u64 = 400; // the store also counts the calls that it refuses
/// Longest delay of a reader. Every instance learns of the end of an outage this much later.
const MAX_READER_DELAY_MS: u64 = 800;
/// Longest delay of a feeder, which replaces readers that the store turns away.
const MAX_FEEDER_DELAY_MS: u64 = 1_600;
/// Delay after the first failure of any other instance, which its feeders inform of the recovery.
const FIRST_FED_DELAY_MS: u64 = 1_600;
/// Longest delay of any other instance.
const MAX_FED_DELAY_MS: u64 = 6_400;

/// How an instance reads the store after failed reads.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreRetry {
    /// Delay between the end of the last read and the next.
    pub delay_ms: u64,
    /// Whether the next read is sent once more on a new connection if it gets no response. Only the
    /// reads of readers are, since all instances wait for them.
    pub is_hedged: bool,
}

/// Returns the delay after the given number of consecutive failures, at least 1.
///
/// `spread_permille`, a random number up to 1,000, varies the delay between half of it and all, so
/// that instances that fail together do not try again together.
#[must_use]
pub fn store_retry_delay_ms(role: FeedRole, failures: u32, spread_permille: u64) -> u64 {
    let (first_ms, max_ms) = match role {
        FeedRole::Reader => (FIRST_DELAY_MS, MAX_READER_DELAY_MS),
        FeedRole::Feeder => (FIRST_DELAY_MS, MAX_FEEDER_DELAY_MS),
        FeedRole::Fed => (FIRST_FED_DELAY_MS, MAX_FED_DELAY_MS),
    };
    let doublings = failures.saturating_sub(1).min(8);
    let delay_ms = (first_ms << doublings).min(max_ms);
    delay_ms * (1_000 + spread_permille.min(1_000)) / 2_000
}
