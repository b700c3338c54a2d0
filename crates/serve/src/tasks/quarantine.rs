//! Writes the quarantine to the store, for instances that start when no peer knows them.

use std::time::Duration;

use bytes::Bytes;
use cowslip_codec::to_json;

use super::HubHandle;
use super::store_availability::StoreAvailability;
use super::store_client::StoreClient;
use crate::events::{Event, event};
use crate::hub::{HubMessage, QUARANTINE_KEY};
use crate::platform::{Platform, Topic};

/// Shortest interval between writes.
const WRITE_EVERY: Duration = Duration::from_secs(1);

/// Writes the quarantine after each change until the process ends.
pub(crate) async fn run_quarantine<P>(client: StoreClient<P>, hub: HubHandle)
where
    P: Platform,
{
    let mut store = StoreAvailability::new(Topic::Instances, "writing the quarantine");
    loop {
        compio::time::sleep(WRITE_EVERY).await;
        let taken = hub.request(|reply| HubMessage::TakeQuarantine { reply }).await;
        let Some(entry) = taken.flatten() else { continue };
        let record = (QUARANTINE_KEY.to_owned(), Bytes::from(to_json(&entry)));
        let result = client.append(Topic::Instances, None, &[record]).await;
        store.record(&result);
        if result.is_ok() {
            event!(Event::QuarantineStored, suspects = entry.suspects.len());
        } else {
            hub.send(HubMessage::QuarantineNotWritten).await;
        }
    }
}
