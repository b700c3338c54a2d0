//! Errors of the generator.

use std::path::PathBuf;

use snafu::Snafu;

/// Why generation failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Error {
    #[snafu(display("{}: {source}", path.display()))]
    File { path: PathBuf, source: std::io::Error },
    #[snafu(display("{}: {source}", path.display()))]
    Json { path: PathBuf, source: serde_json::Error },
    #[snafu(display("schema: {reason}"))]
    Schema { reason: String },
    #[snafu(display("{} is stale; run cargo run -p cowslip-gen", path.display()))]
    Stale { path: PathBuf },
}
