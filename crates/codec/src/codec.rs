//! Encodings: JSON in the log and towards operators, bincode between instances.

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::error::{CodecError, DecodeSnafu, EncodeSnafu, JsonSnafu};

/// Largest message between instances, in bytes.
pub const MAX_PEER_MESSAGE_BYTES: usize = 4_194_304;

/// Decodes a message between instances.
///
/// # Errors
/// Returns [`CodecError::Decode`] when the bytes are not such a message or some are left over.
pub fn decode_peer_message<T>(bytes: &[u8]) -> Result<T, CodecError>
where
    T: DeserializeOwned,
{
    let config = bincode::config::standard().with_limit::<MAX_PEER_MESSAGE_BYTES>();
    let (message, used_bytes) =
        bincode::serde::decode_from_slice(bytes, config).context(DecodeSnafu)?;
    if used_bytes != bytes.len() {
        let reason = format!("{} bytes left over", bytes.len() - used_bytes);
        return Err(CodecError::Field { field: "message", reason });
    }
    Ok(message)
}

/// Encodes a message between instances.
///
/// # Errors
/// Returns [`CodecError::Encode`] when the message is too large.
pub fn encode_peer_message<T>(message: &T) -> Result<Vec<u8>, CodecError>
where
    T: Serialize,
{
    let config = bincode::config::standard().with_limit::<MAX_PEER_MESSAGE_BYTES>();
    bincode::serde::encode_to_vec(message, config).context(EncodeSnafu)
}

/// Reads JSON of the schema.
///
/// # Errors
/// Returns [`CodecError::Json`] with line and column.
pub fn from_json<T>(bytes: &[u8]) -> Result<T, CodecError>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(bytes).context(JsonSnafu)
}

/// Writes JSON of the schema.
///
/// # Panics
/// Never: generated types hold only strings, numbers and lists, which all have a JSON form.
pub fn to_json<T>(message: &T) -> String
where
    T: Serialize,
{
    serde_json::to_string(message).expect("generated types have a JSON form")
}
