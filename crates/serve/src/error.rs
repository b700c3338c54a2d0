//! Errors that keep the daemon from starting.

use std::path::PathBuf;

use cowslip_codec::SettingError;
use snafu::Snafu;

/// An error that keeps the daemon from starting.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The settings file cannot be read.
    #[snafu(display("{}: {source}", path.display()))]
    ReadSettings {
        /// Path of the settings file.
        path: PathBuf,
        /// Error of the read.
        source: std::io::Error,
    },
    /// The settings file has invalid settings.
    #[snafu(display("{}: {}", path.display(), join(errors)))]
    BadSettings {
        /// Path of the settings file.
        path: PathBuf,
        /// Errors of the file, in the order in which they were found.
        errors: Vec<SettingError>,
    },
    /// The daemon cannot listen on one of its addresses.
    #[snafu(display("{source}"))]
    Listen {
        /// Error of the listener, which names the address.
        source: cowslip_net::Error,
    },
    /// The asynchronous runtime cannot be created.
    #[snafu(display("runtime: {source}"))]
    Runtime {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The signal handlers cannot be installed.
    #[snafu(display("signals: {source}"))]
    Signals {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The metrics cannot be registered.
    #[snafu(display("metrics: {source}"))]
    Metrics {
        /// Error of the registry.
        source: prometheus::Error,
    },
}

fn join(errors: &[SettingError]) -> String {
    errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}
