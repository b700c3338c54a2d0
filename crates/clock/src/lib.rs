//! The clocks that a process reads: a steady clock and the unix time.

mod clock;

pub use clock::{Clock, unix_ms};
