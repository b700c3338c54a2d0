//! Time of this process.

mod clock;

pub use clock::{Clock, unix_ms};
