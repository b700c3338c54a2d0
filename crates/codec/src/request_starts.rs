//! Conversion of request starts, which instances count by window of cluster time and workspace.

use std::sync::Arc;

use cowslip_proto as proto;
use cowslip_usage::{StartCounts, StartWindows};

/// Returns the store key of the starts that one incarnation of an instance has counted; the next
/// incarnation counts from 0 under its own key.
#[must_use]
pub fn request_starts_key(holder: &proto::Holder) -> String {
    format!("{}/{}", holder.instance, holder.incarnation)
}

/// Converts the starts of one window to their form in messages and records.
#[must_use]
pub fn start_window_to_proto(window: u64, rows: &StartCounts) -> proto::RequestStartWindow {
    let rows = rows.iter().map(|(workspace, starts)| proto::RequestStartRow {
        workspace: workspace.to_string(),
        starts: *starts,
    });
    proto::RequestStartWindow { window, rows: rows.collect() }
}

/// Converts the rows of one window to starts by workspace.
#[must_use]
pub fn start_counts_from_proto(window: proto::RequestStartWindow) -> StartCounts {
    window.rows.into_iter().map(|row| (Arc::from(row.workspace), row.starts)).collect()
}

/// Converts the starts of all windows to their form in messages and records.
#[must_use]
pub fn start_windows_to_proto(windows: &StartWindows) -> Vec<proto::RequestStartWindow> {
    windows.iter().map(|(window, rows)| start_window_to_proto(*window, rows)).collect()
}

/// Converts windows of messages and records to starts by window number.
#[must_use]
pub fn start_windows_from_proto(windows: Vec<proto::RequestStartWindow>) -> StartWindows {
    windows.into_iter().map(|window| (window.window, start_counts_from_proto(window))).collect()
}
