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

/// Returns the size of an encoded message or part of one, in bytes.
pub fn peer_message_bytes<T>(message: &T) -> usize
where
    T: Serialize,
{
    let mut writer = bincode::enc::write::SizeWriter::default();
    let config = bincode::config::standard();
    bincode::serde::encode_into_writer(message, &mut writer, config)
        .map_or(0, |()| writer.bytes_written)
}

/// Compresses a message between instances.
#[must_use]
pub fn compress_peer_message(message: &[u8]) -> Vec<u8> {
    lz4_flex::block::compress_prepend_size(message)
}

/// Restores a message that [`compress_peer_message`] has compressed.
///
/// # Errors
/// Returns [`CodecError::Field`] when the bytes are malformed, or when the message is larger than
/// [`MAX_PEER_MESSAGE_BYTES`].
pub fn decompress_peer_message(bytes: &[u8]) -> Result<Vec<u8>, CodecError> {
    let malformed = |reason: String| CodecError::Field { field: "message", reason };
    // The size is checked before as much memory is reserved.
    let (size_bytes, rest) =
        lz4_flex::block::uncompressed_size(bytes).map_err(|error| malformed(error.to_string()))?;
    if size_bytes > MAX_PEER_MESSAGE_BYTES {
        return Err(malformed(format!("{size_bytes} bytes are too many")));
    }
    lz4_flex::block::decompress(rest, size_bytes).map_err(|error| malformed(error.to_string()))
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
