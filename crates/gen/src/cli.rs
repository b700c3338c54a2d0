//! Command line of `cowslip-gen`.

use std::path::PathBuf;

use clap::Parser;

/// Generates Rust types and docs/SETTINGS.md from the schema folders.
#[derive(Debug, Parser)]
pub(crate) struct Cli {
    /// Compare with the existing files instead of writing them
    #[arg(long)]
    pub(crate) check: bool,

    /// Root of the repository
    #[arg(long, default_value = ".")]
    pub(crate) root: PathBuf,
}
