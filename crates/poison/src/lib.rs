//! Quarantine of requests that crash upstreams: instances share which requests, by digest and by
//! prompt segment, were in flight at upstreams that were lost.
//!
//! The crate only decides: it uses no clock, no socket and no encoding.

mod segments;
mod suspects;

pub use segments::{LostUpstream, SegmentId, SegmentLimits, SegmentReport, SegmentSuspects};
pub use suspects::{RequestDigest, Suspects};
