//! Serves a declared fleet on a platform: callers' requests, the lease and its duties.
//!
//! What the platform speaks is an adapter's to translate; see [`edge`].

mod caller;
mod config;
pub mod edge;
mod error;
mod events;
mod hub;
mod journal;
mod metrics;
mod run;
mod tasks;

pub use config::Config;
pub use error::Error;
pub use events::{CATALOGUE, EventRow};
pub use journal::start as start_log;
pub use metrics::METRIC_NAMES;
pub use run::run;
