//! Usage of workspaces. Instances of `cowslip-entry` append batches of usage to the log, records in
//! the log divide it into windows, and the holder of a term reports each window to the platform.
//! Instances that serve a declared fleet count started requests in windows of cluster time instead.
//!
//! The crate only decides: it uses no clock, no socket and no encoding.

mod cluster_clock;
mod finalized;
mod meter;
mod report_retry;
mod starts;
mod totals;
mod usage_state;

pub use cluster_clock::ClusterClock;
pub use finalized::{FinalizedWindows, WindowStanding, window_standing};
pub use meter::{Batch, Meter};
pub use report_retry::ReportRetry;
pub use starts::{StartCounters, StartCounts, StartWindows, WindowTimes, merge_max, sum_window};
pub use totals::{Usage, UsageTotals};
pub use usage_state::{UsageState, WriterCursor};
