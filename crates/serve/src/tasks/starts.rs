//! Writes this instance's counted starts into the store.

use std::time::Duration;

use bytes::Bytes;
use cowslip_border::to_json;
use cowslip_proto as proto;

use super::HubHandle;
use crate::edge::{Edge, Topic};
use crate::events::{Event, event};
use crate::hub::{HubMessage, StartWindows};

/// Interval between writes: what is lost with a killed instance is at most this much.
const WRITE_EVERY: Duration = Duration::from_millis(1_200);

/// Writes until the process ends.
pub(crate) async fn run_starts<E>(edge: E, hub: HubHandle, key: String)
where
    E: Edge,
{
    loop {
        compio::time::sleep(WRITE_EVERY).await;
        write_starts(&edge, &hub, &key).await;
    }
}

/// Writes what has changed since the last write.
pub(crate) async fn write_starts<E>(edge: &E, hub: &HubHandle, key: &str)
where
    E: Edge,
{
    let taken = hub.ask(|reply| HubMessage::TakeStarts { reply }).await;
    let Some(windows) = taken.flatten() else { return };
    let entry = proto::StartEntry { windows: windows_to_proto(&windows) };
    let record = (key.to_owned(), Bytes::from(to_json(&entry)));
    if let Err(error) = edge.append(Topic::Starts, None, &[record]).await {
        event!(Event::AppendFailed, topic = "Starts", why = format_args!("{error:?}"));
        hub.tell(HubMessage::StartsFailed).await;
    }
}

fn windows_to_proto(windows: &StartWindows) -> Vec<proto::StartWindow> {
    windows
        .iter()
        .map(|(window, rows)| proto::StartWindow {
            window: *window,
            rows: rows
                .iter()
                .map(|(workspace, starts)| proto::StartRow {
                    workspace: workspace.to_string(),
                    starts: *starts,
                })
                .collect(),
        })
        .collect()
}
