//! Membership: the platform's lagging list joined with heartbeats.
//!
//! Pure decisions: no clock, socket or encoding.

mod members;
mod select;

pub use members::{Listed, Members, Report};
pub use select::{FEEDERS_PER_DOMAIN, feeders};
