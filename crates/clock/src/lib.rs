//! Time of this process.

mod clock;

pub use clock::{Clock, wall_ms};
