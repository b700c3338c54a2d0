//! Quarantine of requests that crash upstreams: instances share which requests, by digest and by
//! prompt segment, were in flight at upstreams that were lost.
//!
//! The crate only decides: it uses no clock, no socket and no encoding.

mod ledger;
mod quarantine;
mod suspect;
mod unproven;

pub use ledger::SuspectChanges;
pub use quarantine::{Quarantine, Refusal};
pub use suspect::{
    Accused, LostUpstream, RequestDigest, SegmentId, SuspectKey, SuspectLimits, SuspectReport,
};
pub use unproven::{SettledEnd, UnprovenEnd, UnprovenEnds};
