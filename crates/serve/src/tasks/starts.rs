//! Writes request starts to the store: those that this instance counted, and those that instances
//! fed by it have sent.

use std::time::Duration;

use bytes::Bytes;
use cowslip_codec::{start_windows_to_proto, to_json};
use cowslip_proto as proto;

use super::HubHandle;
use super::store_availability::StoreAvailability;
use super::store_client::StoreClient;
use crate::hub::HubMessage;
use crate::platform::{Platform, StoreError, Topic};

/// Interval between writes of a reader; other instances send it their starts more often.
const WRITE_EVERY: Duration = Duration::from_secs(2);
/// Largest append, well below what the store takes in one call.
const MAX_APPEND_BYTES: usize = 1_048_576;

/// Writes changed starts until the process ends.
pub(crate) async fn run_starts<P>(client: StoreClient<P>, hub: HubHandle)
where
    P: Platform,
{
    let mut store = StoreAvailability::new(Topic::Starts, "writing");
    loop {
        compio::time::sleep(WRITE_EVERY).await;
        if let Some(result) = write_starts(&client, &hub).await {
            store.record(&result);
        }
    }
}

/// Writes the starts that changed since the last write. Returns `None` if none has changed.
pub(crate) async fn write_starts<P>(
    client: &StoreClient<P>,
    hub: &HubHandle,
) -> Option<Result<(), StoreError>>
where
    P: Platform,
{
    let changed = hub.request(|reply| HubMessage::TakeStarts { reply }).await;
    let records: Vec<(String, Bytes)> = changed?
        .iter()
        .map(|(key, windows)| {
            let entry = proto::RequestStartEntry { windows: start_windows_to_proto(windows) };
            (key.to_string(), Bytes::from(to_json(&entry)))
        })
        .collect();
    let mut rest = records.as_slice();
    let mut result = None;
    while !rest.is_empty() && result.as_ref().is_none_or(Result::is_ok) {
        let (batch, others) = rest.split_at(batch_len(rest));
        rest = others;
        result = Some(client.append(Topic::Starts, None, batch).await.map(|_| ()));
    }
    let is_written = result.as_ref()?.is_ok();
    hub.send(HubMessage::StartsWritten { is_written }).await;
    result
}

/// Returns the number of records for the next append, at least one.
fn batch_len(records: &[(String, Bytes)]) -> usize {
    let mut left_bytes = MAX_APPEND_BYTES;
    let fits = |(key, value): &&(String, Bytes)| {
        let left = left_bytes.checked_sub(key.len() + value.len());
        left_bytes = left.unwrap_or(0);
        left.is_some()
    };
    records.iter().take_while(fits).count().max(1)
}
