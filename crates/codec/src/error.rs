//! Errors of the border.

use snafu::Snafu;

/// Why a message was refused.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CodecError {
    /// Not JSON, or not of the schema.
    #[snafu(display("line {}, column {}: {source}", source.line(), source.column()))]
    Json {
        /// Cause.
        source: serde_json::Error,
    },
    /// Not a message between instances.
    #[snafu(display("malformed peer message: {source}"))]
    Decode {
        /// Cause.
        source: bincode::error::DecodeError,
    },
    /// The message cannot be encoded.
    #[snafu(display("cannot encode a peer message: {source}"))]
    Encode {
        /// Cause.
        source: bincode::error::EncodeError,
    },
    /// A field holds a value that its type cannot take.
    #[snafu(display("{field}: {reason}"))]
    Field {
        /// Name of the field.
        field: &'static str,
        /// What is wrong.
        reason: String,
    },
    /// A record format that this version does not know.
    #[snafu(display("record format {version} is not known here"))]
    Version {
        /// Format found.
        version: u32,
    },
    /// A snapshot does not have the digest that its chunks name.
    #[snafu(display("the snapshot's digest does not match"))]
    SnapshotDigest,
}
