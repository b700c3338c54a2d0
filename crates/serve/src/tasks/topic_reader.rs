//! Reads a topic of the store and passes its records to the hub.

use std::pin::pin;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use cowslip_era::{Position, StoreEra};
use cowslip_membership::StoreRetry;
use futures_util::future::{Either, select};

use super::HubHandle;
use super::store_availability::StoreAvailability;
use super::store_client::{InEra, StoreClient};
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
/// after them. Starts again with the newest ones when `restores` reports an era of the store. Reads
/// nothing while feeders read for this instance.
pub(crate) async fn run_topic_reader<P>(
    client: StoreClient<P>,
    hub: HubHandle,
    metrics: Metrics,
    topic: Topic,
    schedule: PollSchedule,
    restores: Receiver<StoreEra>,
) where
    P: Platform,
{
    let mut next: Option<Position> = None;
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
        while let Ok(era) = restores.try_recv() {
            next = next.filter(|from| from.era >= era);
        }
        let wait_ms = if failures == 0 { schedule.wait_ms } else { 0 };
        let read = read_next(&client, topic, next, wait_ms, method);
        // A restored store may hold a read for an offset that it has yet to give out again.
        let result = match select(pin!(read), pin!(restores.recv())).await {
            Either::Left((result, _)) => result,
            Either::Right((Ok(era), _)) => {
                next = next.filter(|from| from.era >= era);
                continue;
            }
            Either::Right((Err(_), _)) => return,
        };
        let outcome = if result.is_ok() { "ok" } else { "failed" };
        metrics.store_calls.with_label_values(&[outcome]).inc();
        let is_up = matches!(result, Ok(_) | Err(StoreError::Expired));
        if store.record(&result) || !is_up {
            hub.send(HubMessage::StoreState { topic, is_up }).await;
        }
        match result {
            // The offset that was read from is one of an earlier era.
            Ok(InEra { era, .. }) if next.is_some_and(|from| from.era != era) => next = None,
            Ok(InEra { era, value: page }) => {
                failures = 0;
                method = ReadMethod::Hedged;
                let is_list = next.is_none();
                next = Some(Position { era, offset: page.next_offset });
                forward(&hub, topic, era, page, is_list).await;
                compio::time::sleep(delay).await;
                delay = (delay * 2).min(schedule.max_delay);
            }
            // The next records were removed: start again from the newest record of each key.
            Err(StoreError::Expired) => next = None,
            Err(error) => {
                if error == StoreError::OtherEra {
                    next = None;
                }
                failures += 1;
                let Some(retry) = wait_to_retry(&hub, failures).await else { return };
                method = if retry.is_hedged { ReadMethod::Hedged } else { ReadMethod::Single };
            }
        }
    }
}

/// Reads the records from `next` on, or the newest record of each key if there is no position.
async fn read_next<P>(
    client: &StoreClient<P>,
    topic: Topic,
    next: Option<Position>,
    wait_ms: u64,
    method: ReadMethod,
) -> Result<InEra<Page>, StoreError>
where
    P: Platform,
{
    match next {
        None => read_list(client, topic, method).await,
        Some(from) => read_from(client, topic, from.offset, wait_ms, method).await,
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

async fn forward(hub: &HubHandle, topic: Topic, era: StoreEra, page: Page, is_list: bool) {
    // A read of the roster is reported even without records, since peers rely on this instance's
    // reads of it.
    if is_list || !page.records.is_empty() || page.skipped_records > 0 || topic == Topic::Roster {
        hub.send(HubMessage::Records { topic, era, page, is_list }).await;
    }
}
