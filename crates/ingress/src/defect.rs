//! Reasons why a request is refused whatever the rules say.

use std::fmt;

/// Defect of a caller's request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Defect {
    /// The path is not absolute, or contains an empty, `.` or `..` segment, an encoded slash or dot,
    /// a backslash, a control character, a malformed escape, or text that is not UTF-8.
    Path,
    /// The method asks for a tunnel.
    Tunnel,
    /// The version of HTTP is not 1.1.
    Version,
    /// The request has no host or more than one, or its target names another one.
    Host,
    /// The request has more than one `authorization` header.
    Authorization,
    /// A part that an upstream receives contains the caller's API key.
    ExposedKey,
}

impl Defect {
    /// Returns the reason code for the caller and the log.
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            Self::Path => "bad_path",
            Self::Tunnel => "no_tunnels",
            Self::Version => "bad_version",
            Self::Host => "bad_host",
            Self::Authorization => "repeated_authorization",
            Self::ExposedKey => "key_in_request",
        }
    }

    /// Returns the explanation for the caller.
    #[must_use]
    pub const fn message(self) -> &'static str {
        match self {
            Self::Path => "the path is not in normal form",
            Self::Tunnel => "tunnels are not supported",
            Self::Version => "only HTTP/1.1 is supported",
            Self::Host => "the request must name exactly one host",
            Self::Authorization => "the request must have at most one authorization header",
            Self::ExposedKey => {
                "the path, a header or the body holds the caller's key, which no upstream may see"
            }
        }
    }
}

impl fmt::Display for Defect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.message())
    }
}

impl std::error::Error for Defect {}
