//! Command line of `cowslip-entry`.

use std::path::PathBuf;

use clap::Parser;

/// Runs one entry instance of cowslipvale.
///
/// On SIGTERM or SIGINT it stops accepting requests, finishes those in flight and exits.
#[derive(Debug, Parser)]
#[command(name = "cowslip-entry", version)]
pub(crate) struct Cli {
    /// INI file with the settings
    pub(crate) settings: PathBuf,

    /// Check the settings and exit
    #[arg(long)]
    pub(crate) check: bool,
}
