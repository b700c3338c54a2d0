//! Reads a topic of the store and passes its records to the hub.

use std::pin::pin;
use std::time::{Duration, Instant};

use cowslip_membership::StoreRetry;
use futures_util::future::{Either, select};

use super::HubHandle;
use super::store_availability::StoreAvailability;
use crate::events::{Event, event};
use crate::hub::{HubMessage, ReadMode};
use crate::metrics::Metrics;
use crate::platform::{Page, Platform, StoreError, Topic};

/// Time without a response after which a read is sent once more on a new connection.
const HEDGE_AFTER: Duration = Duration::from_millis(500); // a response of the store takes some milliseconds
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
    platform: P,
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
    let mut is_hedged = true;
    let mut store = StoreAvailability::new(topic, "reading");
    compio::time::sleep(schedule.first_delay).await;
    loop {
        match hub.request(|reply| HubMessage::ReadMode { topic, reply }).await {
            Some(ReadMode::Skip) => {
                next = None;
                failures = 0;
                is_hedged = true;
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
        // A list of all keys takes longer than other reads, and a second one would make it slower
        // still.
        let result = if is_hedged && next.is_some() {
            read_hedged(&platform, topic, next, wait_ms).await
        } else {
            read(&platform, topic, next, wait_ms).await
        };
        let outcome = if result.is_ok() { "ok" } else { "failed" };
        metrics.store_calls.with_label_values(&[outcome]).inc();
        if store.record(&result) {
            let is_up =
                result.is_ok() || result.as_ref().is_err_and(|error| *error == StoreError::Expired);
            hub.send(HubMessage::StoreState { topic, is_up }).await;
        }
        match result {
            Ok(page) => {
                failures = 0;
                is_hedged = true;
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
                is_hedged = retry.is_hedged;
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

/// Reads, and reads once more on a new connection if no response arrives in time. An open connection
/// may go silent while the store serves others, which is no outage of the store.
async fn read_hedged<P>(
    platform: &P,
    topic: Topic,
    next: Option<u64>,
    wait_ms: u64,
) -> Result<Page, StoreError>
where
    P: Platform,
{
    let first = pin!(read(platform, topic, next, wait_ms));
    let wait = next.map_or(Duration::ZERO, |_| Duration::from_millis(wait_ms));
    let second = pin!(async {
        compio::time::sleep(wait + HEDGE_AFTER).await;
        platform.close_idle_connections();
        read(platform, topic, next, 0).await
    });
    match select(first, second).await {
        Either::Left((result, _)) => result,
        Either::Right((Err(_), first)) => first.await,
        Either::Right((Ok(page), _)) => {
            event!(Event::StoreConnectionSilent, topic = format_args!("{topic:?}"));
            Ok(page)
        }
    }
}

async fn read<P>(
    platform: &P,
    topic: Topic,
    next: Option<u64>,
    wait_ms: u64,
) -> Result<Page, StoreError>
where
    P: Platform,
{
    match next {
        None => platform.read_latest(topic).await,
        Some(from) => platform.read(topic, from, wait_ms).await,
    }
}

async fn forward(hub: &HubHandle, topic: Topic, page: Page, is_list: bool) {
    // A read of the roster is reported even without records, since peers rely on this instance's
    // reads of it.
    if is_list || !page.records.is_empty() || page.skipped_records > 0 || topic == Topic::Roster {
        hub.send(HubMessage::Records { topic, page, is_list }).await;
    }
}
