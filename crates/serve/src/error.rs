//! Errors that end the daemon.

use std::path::PathBuf;

use cowslip_codec::SettingError;
use snafu::Snafu;

/// Why the daemon cannot run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The settings file cannot be read.
    #[snafu(display("{}: {source}", path.display()))]
    ReadSettings {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The settings are wrong.
    #[snafu(display("{}: {}", path.display(), join(errors)))]
    BadSettings {
        /// The file.
        path: PathBuf,
        /// Every error.
        errors: Vec<SettingError>,
    },
    /// An address cannot be listened on.
    #[snafu(display("{source}"))]
    Listen {
        /// Cause.
        source: cowslip_net::Error,
    },
    /// The runtime failed.
    #[snafu(display("runtime: {source}"))]
    Runtime {
        /// Cause.
        source: std::io::Error,
    },
    /// The metrics cannot be set up.
    #[snafu(display("metrics: {source}"))]
    Metrics {
        /// Cause.
        source: prometheus::Error,
    },
}

fn join(errors: &[SettingError]) -> String {
    errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}
