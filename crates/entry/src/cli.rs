//! Command line of the daemon.

use std::path::PathBuf;

use clap::Parser;

/// Runs one entry instance of cowslipvale.
///
/// Stops on SIGTERM or SIGINT: no new requests are taken, open ones are finished.
#[derive(Debug, Parser)]
#[command(name = "cowslip-entry", version)]
pub(crate) struct Cli {
    /// INI file with the settings
    pub(crate) settings: PathBuf,

    /// Check the settings and exit
    #[arg(long)]
    pub(crate) check: bool,
}
