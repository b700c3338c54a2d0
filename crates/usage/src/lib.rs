//! Usage of workspaces: counted by instances, fixed in windows by the log, reported under a term.
//!
//! Pure decisions: no clock, socket or encoding.

mod figures;
mod fold;
mod meter;
mod starts;
mod true_time;

pub use figures::{Figures, Usage};
pub use fold::{Seen, UsageFold};
pub use meter::{Batch, Meter};
pub use starts::{StartBook, StartRows, StartWindows, WindowTimes, merge, total};
pub use true_time::TrueTime;
