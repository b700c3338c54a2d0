//! Clocks of a process: a steady clock and the unix time.

mod clock;

pub use clock::{Clock, unix_ms};
