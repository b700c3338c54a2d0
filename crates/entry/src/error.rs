//! Errors that end the process.

use std::path::PathBuf;

use cowslip_codec::SettingError;
use snafu::Snafu;

/// Reason why an instance cannot start or run.
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
    /// The settings are invalid.
    #[snafu(display("{}: {}", path.display(), join(errors)))]
    BadSettings {
        /// Path of the settings file.
        path: PathBuf,
        /// All errors found.
        errors: Vec<SettingError>,
    },
    /// The instance cannot listen on an address.
    #[snafu(display("{source}"))]
    Listen {
        /// Error of the network layer.
        source: cowslip_net::Error,
    },
    /// The async runtime could not start.
    #[snafu(display("runtime: {source}"))]
    Runtime {
        /// Error of the runtime.
        source: std::io::Error,
    },
    /// The signal handlers cannot be installed.
    #[snafu(display("signals: {source}"))]
    Signals {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The socket to the statsd server could not be set up.
    #[snafu(display("metrics: {source}"))]
    Metrics {
        /// Error of the socket.
        source: std::io::Error,
    },
}

fn join(errors: &[SettingError]) -> String {
    errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}
