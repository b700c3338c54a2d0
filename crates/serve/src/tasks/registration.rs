//! The entry of this instance in the store, by which peers find it.

use std::pin::pin;
use std::time::Duration;

use async_channel::Receiver;
use bytes::Bytes;
use cowslip_codec::to_json;
use cowslip_era::StoreEra;
use cowslip_proto as proto;
use futures_util::future::{Either, select};

use super::HubHandle;
use super::store_availability::StoreAvailability;
use super::store_client::StoreClient;
use crate::events::{Event, event};
use crate::hub::HubMessage;
use crate::platform::{Platform, Topic};

/// Interval between writes of the entry; readers ignore an entry that is three times as old.
const WRITE_EVERY: Duration = Duration::from_secs(40);
/// Retry delay of the first write, and of the first one after a restore of the store, until which
/// peers may not know this instance.
const FIRST_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Retry delay of later writes, during which the previous entry still counts.
const RETRY_DELAY: Duration = Duration::from_secs(5);
/// Time over which instances spread the writes that follow a restore of the store.
const REWRITE_SPREAD_MS: u64 = 2_000;

/// Writes the entry at intervals, and after each restore of the store, until the process ends.
pub(crate) async fn run_registration<P>(
    client: StoreClient<P>,
    hub: HubHandle,
    mut entry: proto::InstanceEntry,
    restores: Receiver<StoreEra>,
) where
    P: Platform,
{
    let key = entry.holder.instance.to_string();
    let mut store = StoreAvailability::new(Topic::Instances, "writing");
    let mut retry_delay = FIRST_RETRY_DELAY;
    loop {
        if let Some(cluster_ms) = hub.request(|reply| HubMessage::ClusterTime { reply }).await {
            entry.written_at_ms = cluster_ms;
        }
        let record = (key.clone(), Bytes::from(to_json(&entry)));
        let result = client.append(Topic::Instances, None, &[record]).await;
        store.record(&result);
        if result.is_ok() {
            retry_delay = RETRY_DELAY;
        }
        let next = compio::time::sleep(if result.is_ok() { WRITE_EVERY } else { retry_delay });
        match select(pin!(next), pin!(restores.recv())).await {
            Either::Left(_) => {}
            Either::Right((Ok(_), _)) => {
                // Once more, peers that start may not know this instance.
                retry_delay = FIRST_RETRY_DELAY;
                let spread = Duration::from_millis(fastrand::u64(..REWRITE_SPREAD_MS));
                compio::time::sleep(spread).await;
            }
            Either::Right((Err(_), _)) => return,
        }
    }
}

/// Removes the entry from the store.
pub(crate) async fn deregister<P>(client: &StoreClient<P>, name: &str)
where
    P: Platform,
{
    let record = (name.to_owned(), Bytes::new());
    if let Err(error) = client.append(Topic::Instances, None, &[record]).await {
        event!(Event::AppendFailed, topic = "Instances", why = format_args!("{error:?}"));
    }
}
