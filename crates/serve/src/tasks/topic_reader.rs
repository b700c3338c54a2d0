//! Reads a topic of the store and passes its records to the hub.

use std::time::{Duration, Instant};

use cowslip_membership::StoreRetry;

use super::HubHandle;
use super::store_availability::StoreAvailability;
use super::store_client::StoreClient;
use super::store_reads::{ReadMethod, read_from, read_list};
use crate::hub::{HubMessage, ReadMode};
use crate::metrics::Metrics;
use crate::platform::{Page, Platform, StoreError, Topic};

/// Interval between checks whether this instance has to read now.
const SKIP_INTERVAL: Duration = Duration::from_millis(50);

/// How often a topic is read, and how long each read may wait.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PollSchedule {
    /// Delay before the first read.
    pub(crate) first_delay: Duration,
    /// Delay between the end of the first read and the next; each further one is twice as long, up
    /// to `max_delay`.
    pub(crate) min_delay: Duration,
    /// Longest delay between the end of a read and the next.
    pub(crate) max_delay: Duration,
    /// Time that the store may hold a read until a record arrives, in milliseconds.
    pub(crate) wait_ms: u64,
}

impl PollSchedule {
    /// Returns a schedule that reads from the start on, always with the same delay.
    pub(crate) fn regular(delay: Duration, wait_ms: u64) -> Self {
        Self { first_delay: Duration::ZERO, min_delay: delay, max_delay: delay, wait_ms }
    }
}

/// Reads a topic until the process ends: first the newest record of each key, then the records
/// after them. Reads nothing while feeders read for this instance.
pub(crate) async fn run_topic_reader<P>(
    client: StoreClient<P>,
    hub: HubHandle,
    metrics: Metrics,
    topic: Topic,
    schedule: PollSchedule,
) where
    P: Platform,
{
    let mut next = None;
    let mut delay = schedule.min_delay;
    let mut failures = 0;
    let mut method = ReadMethod::Hedged;
    let mut store = StoreAvailability::new(topic, "reading");
    compio::time::sleep(schedule.first_delay).await;
    loop {
        match hub.request(|reply| HubMessage::ReadMode { topic, reply }).await {
            Some(ReadMode::Skip) => {
                next = None;
                failures = 0;
                method = ReadMethod::Hedged;
                delay = schedule.min_delay;
                compio::time::sleep(SKIP_INTERVAL).await;
                continue;
            }
            Some(ReadMode::Wait) => {
                compio::time::sleep(SKIP_INTERVAL).await;
                continue;
            }
            Some(ReadMode::Restart) => next = None,
            Some(ReadMode::Continue) | None => {}
        }
        let wait_ms = if failures == 0 { schedule.wait_ms } else { 0 };
        let result = match next {
            None => read_list(&client, topic, method).await,
            Some(from) => read_from(&client, topic, from, wait_ms, method).await,
        };
        let outcome = if result.is_ok() { "ok" } else { "failed" };
        metrics.store_calls.with_label_values(&[outcome]).inc();
        let is_up = matches!(result, Ok(_) | Err(StoreError::Expired));
        if store.record(&result) || !is_up {
            hub.send(HubMessage::StoreState { topic, is_up }).await;
        }
        match result {
            Ok(page) => {
                failures = 0;
                method = ReadMethod::Hedged;
                let is_list = next.is_none();
                next = Some(page.next_offset);
                forward(&hub, topic, page, is_list).await;
                compio::time::sleep(delay).await;
                delay = (delay * 2).min(schedule.max_delay);
            }
            // The next records were removed: start again from the newest record of each key.
            Err(StoreError::Expired) => next = None,
            Err(_) => {
                failures += 1;
                let Some(retry) = wait_to_retry(&hub, failures).await else { return };
                method = if retry.is_hedged { ReadMethod::Hedged } else { ReadMethod::Single };
            }
        }
    }
}

/// Waits after a failed read. The delay follows this instance's role, which may change meanwhile.
/// `None` if the process ends.
async fn wait_to_retry(hub: &HubHandle, failures: u32) -> Option<StoreRetry> {
    let spread_permille = fastrand::u64(..=1_000);
    let failed_at = Instant::now();
    loop {
        let retry = hub
            .request(|reply| HubMessage::StoreRetry { failures, spread_permille, reply })
            .await?;
        let left = Duration::from_millis(retry.delay_ms).saturating_sub(failed_at.elapsed());
        if left.is_zero() {
            return Some(retry);
        }
        compio::time::sleep(left.min(SKIP_INTERVAL)).await;
    }
}

async fn forward(hub: &HubHandle, topic: Topic, page: Page, is_list: bool) {
    // A read of the roster is reported even without records, since peers rely on this instance's
    // reads of it.
    if is_list || !page.records.is_empty() || page.skipped_records > 0 || topic == Topic::Roster {
        hub.send(HubMessage::Records { topic, page, is_list }).await;
    }
}
