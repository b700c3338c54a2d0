//! The entry instance: one process with the data path and the control plane.

mod caller;
mod config;
mod error;
mod events;
mod exit_codes;
mod hub;
mod metrics;
mod run;
mod tasks;

pub use config::Config;
pub use error::Error;
pub use events::{CATALOGUE, EventRow};
pub use exit_codes::ExitCode;
pub use metrics::METRIC_NAMES;
pub use run::run;
