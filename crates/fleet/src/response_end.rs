//! Judges how an exchange with an upstream ended. No other place decides whether a response is whole,
//! whether the request may have run, and whether its end is evidence that it crashes upstreams.

use crate::health::SendOutcome;

/// How the end of a response's body is marked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// The body has a stated length, or its status allows no body.
    Length,
    /// The last chunk ends the body.
    Chunked,
    /// The end of the connection ends the body.
    ConnectionEnd,
}

/// What a response is read as.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseKind {
    /// One body, which is passed on when it is complete.
    Buffered,
    /// A series of events, each passed on when it is complete.
    Stream,
}

/// How far the body of a response had come at its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    /// No byte of it has arrived.
    Empty,
    /// A part of it has arrived; the newest byte of a stream is inside an event.
    Inside,
    /// The newest byte of a stream ends an event.
    BetweenEvents,
}

/// Why an exchange ended before the end of its response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Interruption {
    /// The connection could not be opened, or was closed or reset.
    Disconnected,
    /// The bytes are no valid response, or exceed a limit.
    Malformed,
    /// The response belongs to another request or does not come from an upstream.
    Foreign,
    /// The upstream stated that it did not run the request.
    Refused,
    /// The upstream stated that its identity or role is not the expected one.
    Misdirected,
    /// The upstream does not meet a condition that the caller has set.
    Unmet,
    /// This instance has no memory for the response.
    NoMemory,
}

/// Why an exchange yielded no usable response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// No byte of the request was sent, so it did not run.
    NotArrived,
    /// The upstream stated that the request was not run.
    NotRun,
    /// The upstream stated that the request was not run, because its identity or role is not the
    /// expected one.
    Misdirected,
    /// The upstream does not meet a condition that the caller has set, so it did not run the request.
    Unmet,
    /// The connection broke: the request may have run, and the upstream may be lost.
    Broken,
    /// The upstream sends bytes that are no response: the request may have run.
    Malformed,
    /// The response does not belong to this request, or is an error: the request may have run.
    Spoilt,
    /// This instance has no memory for the response: the request may have run.
    NoMemory,
}

impl Failure {
    /// Returns the failure of an exchange that ended before the end of its response, by whether any
    /// byte of the request may have been sent.
    #[must_use]
    pub fn of_interruption(is_sent: bool, interruption: Interruption) -> Self {
        match interruption {
            _ if !is_sent => Self::NotArrived,
            Interruption::Disconnected => Self::Broken,
            Interruption::Malformed => Self::Malformed,
            Interruption::Foreign => Self::Spoilt,
            Interruption::Refused => Self::NotRun,
            Interruption::Misdirected => Self::Misdirected,
            Interruption::Unmet => Self::Unmet,
            Interruption::NoMemory => Self::NoMemory,
        }
    }

    /// Returns whether the upstream is known not to have run the request.
    #[must_use]
    pub fn is_not_run(self) -> bool {
        matches!(self, Self::NotArrived | Self::NotRun | Self::Misdirected | Self::Unmet)
    }

    /// Returns the failure of a request that was sent to two upstreams: the one after which it may
    /// have run, if there is one.
    #[must_use]
    pub fn gravest(self, other: Self) -> Self {
        if self.is_not_run() { other } else { self }
    }

    /// Returns whether the upstream may have crashed on the request.
    #[must_use]
    pub fn is_loss(self) -> bool {
        self == Self::Broken
    }

    /// Returns the outcome that counts for the upstream's health; `None` if the cause is here.
    #[must_use]
    pub fn outcome(self) -> Option<SendOutcome> {
        match self {
            Self::NotArrived | Self::Broken | Self::Malformed => {
                Some(SendOutcome::ConnectionFailed)
            }
            Self::NotRun | Self::Misdirected => Some(SendOutcome::Refused),
            Self::Spoilt => Some(SendOutcome::Failed),
            // It says nothing about the upstream.
            Self::Unmet => Some(SendOutcome::Responded),
            Self::NoMemory => None,
        }
    }
}

/// Judges a response that ended as its framing announces.
///
/// A response whose end is the end of its connection is whole only after its first byte, and a stream
/// only after a complete event: an upstream that crashes ends its connections in the same way.
///
/// # Errors
/// Returns the [`Failure`] if the response is not whole.
pub fn check_end(kind: ResponseKind, framing: Framing, progress: Progress) -> Result<(), Failure> {
    match (progress, kind, framing) {
        (Progress::BetweenEvents, _, _)
        | (Progress::Empty, _, Framing::Length | Framing::Chunked)
        | (Progress::Inside, ResponseKind::Buffered, _) => Ok(()),
        (Progress::Empty, _, Framing::ConnectionEnd)
        | (Progress::Inside, ResponseKind::Stream, Framing::ConnectionEnd) => Err(Failure::Broken),
        (Progress::Inside, ResponseKind::Stream, Framing::Length | Framing::Chunked) => {
            Err(Failure::Malformed)
        }
    }
}
