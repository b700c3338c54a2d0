//! Writes counted starts into the store: this instance's own, and those of instances that it feeds.

use std::time::Duration;

use bytes::Bytes;
use cowslip_codec::{start_windows_to_proto, to_json};
use cowslip_proto as proto;

use super::HubHandle;
use super::dependency::Dependency;
use crate::hub::HubMessage;
use crate::platform::{Appended, Platform, StoreError, Topic};

/// Interval between writes: what is lost with a killed instance is at most this much.
const WRITE_EVERY: Duration = Duration::from_millis(1_200);

/// Writes until the process ends.
pub(crate) async fn run_starts<E>(platform: E, hub: HubHandle)
where
    E: Platform,
{
    let mut store = Dependency::new(Topic::Starts, "writing");
    loop {
        compio::time::sleep(WRITE_EVERY).await;
        if let Some(written) = write_starts(&platform, &hub).await {
            store.note(&written);
        }
    }
}

/// Writes what has changed since the last write, if anything has.
pub(crate) async fn write_starts<E>(
    platform: &E,
    hub: &HubHandle,
) -> Option<Result<Appended, StoreError>>
where
    E: Platform,
{
    let taken = hub.ask(|reply| HubMessage::TakeStarts { reply }).await;
    let records: Vec<(String, Bytes)> = taken?
        .iter()
        .map(|(key, windows)| {
            let entry = proto::RequestStartEntry { windows: start_windows_to_proto(windows) };
            (key.to_string(), Bytes::from(to_json(&entry)))
        })
        .collect();
    if records.is_empty() {
        return None;
    }
    let written = platform.append(Topic::Starts, None, &records).await;
    hub.tell(HubMessage::StartsWritten { is_written: written.is_ok() }).await;
    Some(written)
}
