//! Membership of the platform: the platform's list of instances, which lags, joined with heartbeats
//! between instances, and the topology by which few instances read the store for all others.
//!
//! The crate only decides: it uses no clock, no socket and no encoding.

mod change_log;
mod feed_topology;
mod feeder_selection;
mod members;
mod store_evidence;
mod store_retry;

pub use change_log::{Batch, ChangeLog, DIGEST_GROUPS, PeerKnowledge};
pub use feed_topology::{FeedRole, FeedTimes, FeedTopology, Location};
pub use feeder_selection::{assigned_feeders, select_feeders, select_readers};
pub use members::{Heartbeat, ListedMember, Members};
pub use store_evidence::StoreEvidence;
pub use store_retry::{StoreRetry, store_retry_delay_ms};
