//! Serialization: JSON for the log and operators, bincode between instances.

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::error::{CodecError, DecodeSnafu, EncodeSnafu, JsonSnafu};

/// Largest encoded message between instances, in bytes.
pub const MAX_PEER_MESSAGE_BYTES: usize = 4_194_304;

/// Decodes a message between instances.
///
/// # Errors
/// Returns [`CodecError::Decode`] when the bytes are no message of type `T`, and
/// [`CodecError::Field`] when bytes follow the message.
pub fn decode_peer_message<T>(bytes: &[u8]) -> Result<T, CodecError>
where
    T: DeserializeOwned,
{
    let config = bincode::config::standard().with_limit::<MAX_PEER_MESSAGE_BYTES>();
    let (message, used_bytes) =
        bincode::serde::decode_from_slice(bytes, config).context(DecodeSnafu)?;
    if used_bytes != bytes.len() {
        let reason = format!("{} unexpected bytes after its end", bytes.len() - used_bytes);
        return Err(CodecError::Field { field: "message", reason });
    }
    Ok(message)
}

/// Encodes a message between instances.
///
/// # Errors
/// Returns [`CodecError::Encode`] when the message exceeds [`MAX_PEER_MESSAGE_BYTES`].
pub fn encode_peer_message<T>(message: &T) -> Result<Vec<u8>, CodecError>
where
    T: Serialize,
{
    let config = bincode::config::standard().with_limit::<MAX_PEER_MESSAGE_BYTES>();
    bincode::serde::encode_to_vec(message, config).context(EncodeSnafu)
}

/// Parses JSON into a generated type.
///
/// # Errors
/// Returns [`CodecError::Json`] with line and column when the text is not JSON or not of type `T`.
pub fn from_json<T>(bytes: &[u8]) -> Result<T, CodecError>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(bytes).context(JsonSnafu)
}

/// Encodes a generated type as JSON.
///
/// # Panics
/// Never for generated types: they hold only strings, numbers, lists and maps with string keys,
/// which all have a JSON form.
pub fn to_json<T>(message: &T) -> String
where
    T: Serialize,
{
    serde_json::to_string(message).expect("every generated type has a JSON form")
}
