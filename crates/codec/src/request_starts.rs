//! Starts of instances by window.

use std::sync::Arc;

use cowslip_proto as proto;
use cowslip_usage::{StartCounts, StartWindows};

/// Key of an instance's starts: of one life of it, as the next one counts from nothing.
#[must_use]
pub fn request_starts_key(holder: &proto::Holder) -> String {
    format!("{}/{}", holder.instance, holder.incarnation)
}

/// Rows of one window as messages and records hold them.
#[must_use]
pub fn start_window_to_proto(window: u64, rows: &StartCounts) -> proto::RequestStartWindow {
    let rows = rows.iter().map(|(workspace, starts)| proto::RequestStartRow {
        workspace: workspace.to_string(),
        starts: *starts,
    });
    proto::RequestStartWindow { window, rows: rows.collect() }
}

/// Rows of a window by workspace.
#[must_use]
pub fn start_counts_from_proto(window: proto::RequestStartWindow) -> StartCounts {
    window.rows.into_iter().map(|row| (Arc::from(row.workspace), row.starts)).collect()
}

/// All windows as messages and records hold them.
#[must_use]
pub fn start_windows_to_proto(windows: &StartWindows) -> Vec<proto::RequestStartWindow> {
    windows.iter().map(|(window, rows)| start_window_to_proto(*window, rows)).collect()
}

/// All windows by their number.
#[must_use]
pub fn start_windows_from_proto(windows: Vec<proto::RequestStartWindow>) -> StartWindows {
    windows.into_iter().map(|window| (window.window, start_counts_from_proto(window))).collect()
}
