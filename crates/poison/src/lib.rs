//! Quarantine of requests that crash upstreams: instances share which requests, by digest, were in
//! flight at upstreams that were lost.
//!
//! The crate only decides: it uses no clock, no socket and no encoding.

mod suspects;

pub use suspects::{RequestDigest, Suspects};
