//! Follows a topic of the store.

use std::time::Duration;

use super::HubHandle;
use super::dependency::Dependency;
use crate::hub::{HubMessage, Reads};
use crate::metrics::Metrics;
use crate::platform::{Page, Platform, StoreError, Topic};

/// Pause after a read that failed; the store counts refused calls too.
const RETRY: Duration = Duration::from_millis(400);
/// Pause between two looks at whether others read for this instance.
const LOOK: Duration = Duration::from_millis(100);

/// How often a topic is read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pace {
    /// Pause between two reads.
    pub(crate) pause: Duration,
    /// How long the store may hold a read until there is a record.
    pub(crate) wait_ms: u64,
}

/// Reads until the process ends: first the newest record of each key, then what follows. Nothing is
/// read while other instances do it for this one.
pub(crate) async fn run_follower<E>(
    platform: E,
    hub: HubHandle,
    metrics: Metrics,
    topic: Topic,
    schedule: Pace,
) where
    E: Platform,
{
    let mut next = None;
    let mut store = Dependency::new(topic, "reading");
    loop {
        match hub.ask(|reply| HubMessage::Reads { topic, reply }).await {
            Some(Reads::Not) => {
                next = None;
                compio::time::sleep(LOOK).await;
                continue;
            }
            Some(Reads::Anew) => next = None,
            Some(Reads::On) | None => {}
        }
        let read = match next {
            None => platform.read_latest(topic).await,
            Some(from) => platform.read(topic, from, schedule.wait_ms).await,
        };
        let outcome = if read.is_ok() { "ok" } else { "failed" };
        metrics.store_calls.with_label_values(&[outcome]).inc();
        if store.note(&read) {
            let is_up =
                read.is_ok() || read.as_ref().is_err_and(|error| *error == StoreError::Expired);
            hub.tell(HubMessage::StoreState { topic, is_up }).await;
        }
        match read {
            Ok(page) => {
                let is_list = next.is_none();
                next = Some(page.next_offset);
                tell(&hub, topic, page, is_list).await;
                compio::time::sleep(schedule.pause).await;
            }
            // What lies between is gone: only a list tells what is there now.
            Err(StoreError::Expired) => next = None,
            Err(_) => compio::time::sleep(RETRY).await,
        }
    }
}

async fn tell(hub: &HubHandle, topic: Topic, page: Page, is_list: bool) {
    // That the roster was read is news too: others rely on this instance's reads of it.
    if is_list || !page.records.is_empty() || page.skipped > 0 || topic == Topic::Roster {
        hub.tell(HubMessage::Records { topic, page, is_list }).await;
    }
}
