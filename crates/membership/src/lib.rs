//! Membership: the platform's lagging list joined with heartbeats, and who reads the store for whom.
//!
//! Pure decisions: no clock, socket or encoding.

mod feeding;
mod members;
mod select;

pub use feeding::{Feeding, Place};
pub use members::{Listed, Members, Report};
pub use select::{feeders, feeders_of};
