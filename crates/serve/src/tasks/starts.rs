//! Writes counted starts into the store: this instance's own, and those of instances that it feeds.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cowslip_border::to_json;
use cowslip_proto as proto;
use cowslip_usage::{StartRows, StartWindows};

use super::HubHandle;
use super::dependency::Dependency;
use crate::edge::{Appended, Edge, StoreError, Topic};
use crate::hub::HubMessage;

/// Interval between writes: what is lost with a killed instance is at most this much.
const WRITE_EVERY: Duration = Duration::from_millis(1_200);

/// Writes until the process ends.
pub(crate) async fn run_starts<E>(edge: E, hub: HubHandle)
where
    E: Edge,
{
    let mut store = Dependency::new(Topic::Starts, "writing");
    loop {
        compio::time::sleep(WRITE_EVERY).await;
        if let Some(written) = write_starts(&edge, &hub).await {
            store.note(&written);
        }
    }
}

/// Writes what has changed since the last write, if anything has.
pub(crate) async fn write_starts<E>(
    edge: &E,
    hub: &HubHandle,
) -> Option<Result<Appended, StoreError>>
where
    E: Edge,
{
    let taken = hub.ask(|reply| HubMessage::TakeStarts { reply }).await;
    let records: Vec<(String, Bytes)> = taken?
        .iter()
        .map(|(key, windows)| {
            let entry = proto::StartEntry { windows: windows_to_proto(windows) };
            (key.to_string(), Bytes::from(to_json(&entry)))
        })
        .collect();
    if records.is_empty() {
        return None;
    }
    let written = edge.append(Topic::Starts, None, &records).await;
    hub.tell(HubMessage::StartsWritten { is_written: written.is_ok() }).await;
    Some(written)
}

/// Key of an instance's starts: of one life of it, as the next one counts from nothing.
pub(crate) fn starts_key(holder: &proto::Holder) -> String {
    format!("{}/{}", holder.instance, holder.incarnation)
}

/// Rows of one window as messages and records hold them.
pub(super) fn window_to_proto(window: u64, rows: &StartRows) -> proto::StartWindow {
    let rows = rows.iter().map(|(workspace, starts)| proto::StartRow {
        workspace: workspace.to_string(),
        starts: *starts,
    });
    proto::StartWindow { window, rows: rows.collect() }
}

/// Rows of a window by workspace.
pub(super) fn rows_from_proto(window: proto::StartWindow) -> StartRows {
    window.rows.into_iter().map(|row| (Arc::from(row.workspace), row.starts)).collect()
}

pub(crate) fn windows_to_proto(windows: &StartWindows) -> Vec<proto::StartWindow> {
    windows.iter().map(|(window, rows)| window_to_proto(*window, rows)).collect()
}

pub(crate) fn windows_from_proto(windows: Vec<proto::StartWindow>) -> StartWindows {
    windows.into_iter().map(|window| (window.window, rows_from_proto(window))).collect()
}
