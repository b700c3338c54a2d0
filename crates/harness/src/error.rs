//! Errors of the test fleet.

use std::path::PathBuf;

use snafu::Snafu;

/// An error of the test fleet or of a request to it.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A program cannot be started, usually because it was not built.
    #[snafu(display("{} cannot be started ({source}); run cargo build --workspace", path.display()))]
    Start {
        /// Path of the program.
        path: PathBuf,
        /// Error from spawning the process.
        source: std::io::Error,
    },
    /// A file, port or process operation failed.
    #[snafu(display("operating system error: {source}"))]
    Io {
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// A request got no complete response.
    #[snafu(display("HTTP request failed: {source}"))]
    Http {
        /// Error from the HTTP client.
        source: cyper::Error,
    },
    /// A header of a request is malformed.
    #[snafu(display("malformed request header: {source}"))]
    Header {
        /// Error from building the request.
        source: http::Error,
    },
    /// A response differs from the expected one.
    #[snafu(display("{operation}: unexpected response: {response}"))]
    UnexpectedResponse {
        /// Request path or name of the check.
        operation: String,
        /// Text of the response.
        response: String,
    },
    /// A condition did not hold, or a request did not complete, before the deadline.
    #[snafu(display("timed out waiting for {condition}"))]
    Timeout {
        /// Awaited condition, or URL of the request.
        condition: String,
    },
}
