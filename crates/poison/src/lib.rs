//! Requests that crash upstreams: suspicion by fingerprint, shared between instances.
//!
//! Pure decisions: no clock, socket or encoding.

mod suspects;

pub use suspects::{RequestDigest, Suspects};
