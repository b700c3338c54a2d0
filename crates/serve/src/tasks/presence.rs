//! This instance's own entry in the store, by which others find it.

use std::time::Duration;

use bytes::Bytes;
use cowslip_codec::to_json;
use cowslip_proto as proto;

use super::HubHandle;
use super::dependency::Dependency;
use crate::events::{Event, event};
use crate::hub::HubMessage;
use crate::platform::{Platform, Topic};

/// Interval between writes of the entry; readers ignore one that is three times as old.
const WRITE_EVERY: Duration = Duration::from_secs(20);
/// Pause after a write that failed, while nobody knows this instance.
const FIRST_RETRY: Duration = Duration::from_secs(1);
/// The same once an entry is there: it counts for three intervals.
const RETRY: Duration = Duration::from_secs(5);

/// Writes the entry until the process ends.
pub(crate) async fn run_presence<E>(platform: E, hub: HubHandle, mut entry: proto::InstanceEntry)
where
    E: Platform,
{
    let key = entry.holder.instance.to_string();
    let mut store = Dependency::new(Topic::Instances, "writing");
    let mut retry = FIRST_RETRY;
    loop {
        if let Some(true_ms) = hub.ask(|reply| HubMessage::TrueTime { reply }).await {
            entry.written_at_ms = true_ms;
        }
        let record = (key.clone(), Bytes::from(to_json(&entry)));
        let written = platform.append(Topic::Instances, None, &[record]).await;
        store.note(&written);
        if written.is_ok() {
            retry = RETRY;
        }
        compio::time::sleep(if written.is_ok() { WRITE_EVERY } else { retry }).await;
    }
}

/// Removes the entry.
pub(crate) async fn withdraw<E>(platform: &E, name: &str)
where
    E: Platform,
{
    let record = (name.to_owned(), Bytes::new());
    if let Err(error) = platform.append(Topic::Instances, None, &[record]).await {
        event!(Event::AppendFailed, topic = "Instances", why = format_args!("{error:?}"));
    }
}
