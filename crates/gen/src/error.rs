//! Errors of `cowslip-gen`.

use std::path::PathBuf;

use snafu::Snafu;

/// Reason why the generator failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Error {
    #[snafu(display("{}: {source}", path.display()))]
    File { path: PathBuf, source: std::io::Error },
    #[snafu(display("{}: {source}", path.display()))]
    Json { path: PathBuf, source: serde_json::Error },
    #[snafu(display("schema: {reason}"))]
    Schema { reason: String },
    #[snafu(display("{} is out of date; run `cargo run -p cowslip-gen`", path.display()))]
    Stale { path: PathBuf },
}
