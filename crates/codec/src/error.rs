//! Errors of decoding and encoding.

use snafu::Snafu;

/// Error of decoding or encoding a message, record or object.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CodecError {
    /// The text is not JSON or does not match the schema.
    #[snafu(display("line {}, column {}: {source}", source.line(), source.column()))]
    Json {
        /// Error of the parser, with line and column.
        source: serde_json::Error,
    },
    /// The bytes are no valid message between instances.
    #[snafu(display("malformed peer message: {source}"))]
    Decode {
        /// Error of the decoder.
        source: bincode::error::DecodeError,
    },
    /// A message between instances cannot be encoded, because it is too large.
    #[snafu(display("cannot encode a peer message: {source}"))]
    Encode {
        /// Error of the encoder.
        source: bincode::error::EncodeError,
    },
    /// A field holds a value that the type of the decision crates cannot represent.
    #[snafu(display("{field}: {reason}"))]
    Field {
        /// Name of the field in the schema.
        field: &'static str,
        /// Explanation of what is wrong with the value.
        reason: String,
    },
    /// A log entry has a record format that this program does not support.
    #[snafu(display("record format {version} is not supported"))]
    Version {
        /// Format number of the entry.
        version: u32,
    },
    /// The content of a snapshot does not have the digest that its chunks carry.
    #[snafu(display("the content of the snapshot does not match its digest"))]
    SnapshotDigest,
}
