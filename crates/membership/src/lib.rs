//! Membership: the platform's lagging list joined with heartbeats, and who reads the store for whom.
//!
//! Pure decisions: no clock, socket or encoding.

mod feed_topology;
mod feeder_selection;
mod members;

pub use feed_topology::{FeedTopology, Location};
pub use feeder_selection::{assigned_feeders, select_feeders};
pub use members::{Heartbeat, ListedMember, Members};
