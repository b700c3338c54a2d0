//! Hedging: decides when a request that may be repeated is sent to a second upstream because the
//! first one is slow, and limits how often.
//!
//! The crate only decides: it uses no clock, no socket and no encoding.

mod hedging;
mod share;
mod times;

pub use hedging::{FailedSend, Hedging, HedgingLimits, Part, SecondUpstream, SlowSend, Withheld};
pub use share::ShareWindow;
pub use times::ResponseTimes;
