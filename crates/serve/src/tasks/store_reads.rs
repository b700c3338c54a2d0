//! Reads of the store, repeated on a new connection if theirs is silent.

use std::pin::pin;
use std::time::Duration;

use futures_util::future::{Either, select};

use super::store_client::{InEra, StoreClient};
use crate::events::{Event, event};
use crate::platform::{LatestPage, Page, Platform, StoreError, Topic};

/// Time without a response after which a read is sent once more on a new connection.
const HEDGE_AFTER: Duration = Duration::from_millis(500); // a response of the store takes some milliseconds

/// Whether a read without a response is sent once more on a new connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ReadMethod {
    /// One attempt, which lasts until its timeout.
    Single,
    /// A second attempt beside the first one if that gets no response in time.
    Hedged,
}

/// Reads a topic's records from an offset on, and waits up to `wait_ms` for one.
pub(super) async fn read_from<P>(
    client: &StoreClient<P>,
    topic: Topic,
    from: u64,
    wait_ms: u64,
    method: ReadMethod,
) -> Result<InEra<Page>, StoreError>
where
    P: Platform,
{
    let first = client.read(topic, from, wait_ms);
    let second = || client.read(topic, from, 0);
    repeat_if_silent(client, topic, method, Duration::from_millis(wait_ms), first, second).await
}

/// Reads the newest record of each key of a topic. Fails if the store is restored between two pages.
pub(super) async fn read_list<P>(
    client: &StoreClient<P>,
    topic: Topic,
    method: ReadMethod,
) -> Result<InEra<Page>, StoreError>
where
    P: Platform,
{
    let InEra { era, value: mut list } = read_list_page(client, topic, method, None).await?;
    while let Some(after) = list.continue_after {
        let next = read_list_page(client, topic, method, Some(&after)).await?;
        if next.era != era {
            return Err(StoreError::OtherEra);
        }
        list.continue_after = next.value.continue_after;
        // The pages are not one snapshot. The next read, from the end offset of the first page,
        // returns every change made while the later pages were read.
        list.page.records.extend(next.value.page.records);
        list.page.skipped_records += next.value.page.skipped_records;
    }
    Ok(InEra { era, value: list.page })
}

/// Reads one page of a list. The pages are repeated one by one, so that a long list is not.
async fn read_list_page<P>(
    client: &StoreClient<P>,
    topic: Topic,
    method: ReadMethod,
    after: Option<&str>,
) -> Result<InEra<LatestPage>, StoreError>
where
    P: Platform,
{
    let read = || client.read_latest(topic, after);
    repeat_if_silent(client, topic, method, Duration::ZERO, read(), read).await
}

/// Runs `first`, and `second` beside it on a new connection if no response arrives in time after
/// `wait`. An open connection may go silent while the store serves others, which is no outage of the
/// store.
async fn repeat_if_silent<P, T, F, S, G>(
    client: &StoreClient<P>,
    topic: Topic,
    method: ReadMethod,
    wait: Duration,
    first: F,
    second: S,
) -> Result<T, StoreError>
where
    P: Platform,
    F: Future<Output = Result<T, StoreError>>,
    S: FnOnce() -> G,
    G: Future<Output = Result<T, StoreError>>,
{
    if method == ReadMethod::Single {
        return first.await;
    }
    let first = pin!(first);
    let second = pin!(async {
        compio::time::sleep(wait + HEDGE_AFTER).await;
        client.close_idle_connections();
        second().await
    });
    match select(first, second).await {
        Either::Left((result, _)) => result,
        Either::Right((Err(_), first)) => first.await,
        Either::Right((Ok(response), _)) => {
            event!(Event::StoreConnectionSilent, topic = format_args!("{topic:?}"));
            Ok(response)
        }
    }
}
