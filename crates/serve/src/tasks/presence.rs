//! This instance's own entry in the store, by which others find it.

use std::time::Duration;

use bytes::Bytes;
use cowslip_codec::to_json;
use cowslip_proto as proto;

use super::HubHandle;
use super::dependency::Dependency;
use crate::edge::{Edge, Topic};
use crate::events::{Event, event};
use crate::hub::HubMessage;

/// Interval between writes of the entry; readers ignore one that is three times as old.
const WRITE_EVERY: Duration = Duration::from_secs(20);
/// Pause after a write that failed, while nobody knows this instance.
const FIRST_RETRY: Duration = Duration::from_secs(1);
/// The same once an entry is there: it counts for three intervals.
const RETRY: Duration = Duration::from_secs(5);

/// Writes the entry until the process ends.
pub(crate) async fn run_presence<E>(edge: E, hub: HubHandle, mut entry: proto::InstanceEntry)
where
    E: Edge,
{
    let key = entry.holder.instance.to_string();
    let mut store = Dependency::new(Topic::Instances, "writing");
    let mut retry = FIRST_RETRY;
    loop {
        if let Some(true_ms) = hub.ask(|reply| HubMessage::TrueTime { reply }).await {
            entry.written_at_ms = true_ms;
        }
        let record = (key.clone(), Bytes::from(to_json(&entry)));
        let written = edge.append(Topic::Instances, None, &[record]).await;
        store.note(&written);
        if written.is_ok() {
            retry = RETRY;
        }
        compio::time::sleep(if written.is_ok() { WRITE_EVERY } else { retry }).await;
    }
}

/// Removes the entry.
pub(crate) async fn withdraw<E>(edge: &E, name: &str)
where
    E: Edge,
{
    let record = (name.to_owned(), Bytes::new());
    if let Err(error) = edge.append(Topic::Instances, None, &[record]).await {
        event!(Event::AppendFailed, topic = "Instances", why = format_args!("{error:?}"));
    }
}
