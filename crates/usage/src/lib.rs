//! Usage of workspaces: counted by instances, fixed in windows by the log, reported under a term.
//!
//! Pure decisions: no clock, socket or encoding.

mod cluster_clock;
mod meter;
mod starts;
mod totals;
mod usage_state;

pub use cluster_clock::ClusterClock;
pub use meter::{Batch, Meter};
pub use starts::{StartCounters, StartCounts, StartWindows, WindowTimes, merge_max, sum_window};
pub use totals::{Usage, UsageTotals};
pub use usage_state::{UsageState, WriterCursor};
