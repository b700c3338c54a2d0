//! Errors of the network layer.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use snafu::Snafu;

/// Reason why a connection or a request failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The connection could not be opened; no byte was sent.
    #[snafu(display("cannot connect to {address}: {source}"))]
    Connect {
        /// Address of the server.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The server could not listen on the local address.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Address to listen on.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// An HTTP/1.1 connection or request failed.
    #[snafu(display("http: {}", WithCauses(source)))]
    Http {
        /// Error of `hyper`.
        source: hyper::Error,
    },
    /// The head of a response is invalid.
    #[snafu(display("the head of the response is invalid: {why}"))]
    InvalidHead {
        /// What is wrong with it.
        why: &'static str,
    },
    /// An HTTP/2 connection or stream failed.
    #[snafu(display("h2: {source}"))]
    H2 {
        /// Error of `h2`.
        source: h2::Error,
    },
    /// The request could not be built.
    #[snafu(display("cannot build the request: {source}"))]
    BuildRequest {
        /// Error of the request builder.
        source: http::Error,
    },
    /// A body was longer than allowed.
    #[snafu(display("the body is longer than {limit_bytes} bytes"))]
    TooLarge {
        /// Largest allowed size of the body.
        limit_bytes: usize,
    },
    /// The memory for callers is used up, or others needed that of this body.
    #[snafu(display("no memory for the body"))]
    NoMemory,
    /// The connection or the response took too long.
    #[snafu(display("timed out after {after:?}"))]
    TimedOut {
        /// Time after which the request was given up.
        after: Duration,
    },
    /// The peer responded with an unexpected status.
    #[snafu(display("unexpected response status {status}"))]
    Status {
        /// Status of the response.
        status: u16,
    },
}

impl Error {
    /// Returns whether nothing listened on the server's address.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Connect { source, .. }
            if source.kind() == std::io::ErrorKind::ConnectionRefused)
    }

    /// Returns whether the connection could not be opened, or was closed or reset; otherwise it
    /// carried bytes that are no valid message or exceed a limit, or took too long.
    #[must_use]
    pub fn is_disconnect(&self) -> bool {
        match self {
            Self::Connect { .. } => true,
            Self::Http { source } => !source.is_parse() && !has_invalid_bytes(source),
            Self::Listen { .. }
            | Self::InvalidHead { .. }
            | Self::H2 { .. }
            | Self::BuildRequest { .. }
            | Self::TooLarge { .. }
            | Self::NoMemory
            | Self::TimedOut { .. }
            | Self::Status { .. } => false,
        }
    }
}

/// Displays an error of `hyper` with the errors that caused it, which it leaves out.
struct WithCauses<'a>(&'a hyper::Error);

impl fmt::Display for WithCauses<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)?;
        causes(self.0).try_for_each(|cause| write!(formatter, ": {cause}"))
    }
}

fn causes(error: &hyper::Error) -> impl Iterator<Item = &(dyn std::error::Error + 'static)> {
    std::iter::successors(std::error::Error::source(error), |error| error.source())
}

/// Returns whether the cause of the error is a body with invalid framing.
fn has_invalid_bytes(error: &hyper::Error) -> bool {
    causes(error).filter_map(|error| error.downcast_ref::<std::io::Error>()).any(|error| {
        matches!(error.kind(), std::io::ErrorKind::InvalidInput | std::io::ErrorKind::InvalidData)
    })
}
