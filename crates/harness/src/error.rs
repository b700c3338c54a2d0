//! Errors of the environment.

use std::path::PathBuf;

use snafu::Snafu;

/// Why the environment failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A program was not built.
    #[snafu(display("{} cannot be started ({source}); run cargo build --workspace", path.display()))]
    Start {
        /// The program.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// A file or port cannot be used.
    #[snafu(display("{source}"))]
    Io {
        /// Cause.
        source: std::io::Error,
    },
    /// A request got no answer.
    #[snafu(display("{source}"))]
    Http {
        /// Cause.
        source: cyper::Error,
    },
    /// A header of a request is malformed.
    #[snafu(display("{source}"))]
    Header {
        /// Cause.
        source: http::Error,
    },
    /// An answer is not what was expected.
    #[snafu(display("{what}: {text}"))]
    Answer {
        /// What was asked.
        what: String,
        /// What came.
        text: String,
    },
    /// Something did not come about in time.
    #[snafu(display("waited too long for {what}"))]
    Wait {
        /// What was waited for.
        what: String,
    },
}
