//! Serves a declared fleet on a platform: callers' requests, the lease and the duties of its
//! holder.
//!
//! An adapter translates the platform's protocols; see [`platform`].

mod caller;
mod config;
mod error;
mod events;
mod hub;
mod logging;
mod metrics;
pub mod platform;
mod run;
mod tasks;

pub use config::{Config, SettingsSource};
pub use error::Error;
pub use events::{CATALOGUE, EventRow};
pub use logging::init_logging;
pub use metrics::METRIC_NAMES;
pub use run::run;
