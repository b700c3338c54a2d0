//! Errors of connections.

use std::net::SocketAddr;
use std::time::Duration;

use snafu::Snafu;

/// Why an exchange failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// No connection came about; no byte was sent.
    #[snafu(display("cannot connect to {address}: {source}"))]
    Connect {
        /// Other side.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The address cannot be listened on.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Own side.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// HTTP/1.1 failed.
    #[snafu(display("http: {source}"))]
    Http {
        /// Cause.
        source: hyper::Error,
    },
    /// HTTP/2 failed.
    #[snafu(display("h2: {source}"))]
    H2 {
        /// Cause.
        source: h2::Error,
    },
    /// The message could not be formed.
    #[snafu(display("malformed message: {source}"))]
    BuildRequest {
        /// Cause.
        source: http::Error,
    },
    /// A body was longer than allowed.
    #[snafu(display("the body is longer than {limit_bytes} bytes"))]
    TooLarge {
        /// Limit.
        limit_bytes: usize,
    },
    /// The other side did not answer in time.
    #[snafu(display("no answer within {after:?}"))]
    TimedOut {
        /// Wait.
        after: Duration,
    },
    /// The other side answered with an unexpected status.
    #[snafu(display("unexpected status {status}"))]
    Status {
        /// Status found.
        status: u16,
    },
}
