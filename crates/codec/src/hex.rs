//! Hex encoding of digests and salts.

use crate::error::{CodecError, FieldSnafu};

/// Encodes bytes as lower-case hex digits.
#[must_use]
pub fn encode_hex(bytes: &[u8]) -> String {
    hex::encode(bytes)
}

/// Decodes a digest of 32 bytes from 64 hex digits.
///
/// # Errors
/// Returns [`CodecError::Field`] with the name `field` for any other text.
pub fn decode_digest_hex(field: &'static str, text: &str) -> Result<[u8; 32], CodecError> {
    let mut digest = [0; 32];
    hex::decode_to_slice(text, &mut digest).map_err(|error| field_error(field, error))?;
    Ok(digest)
}

/// Decodes bytes from an even number of hex digits; errors carry the name `field`.
pub(crate) fn decode_hex(field: &'static str, text: &str) -> Result<Vec<u8>, CodecError> {
    hex::decode(text).map_err(|error| field_error(field, error))
}

fn field_error(field: &'static str, error: hex::FromHexError) -> CodecError {
    FieldSnafu { field, reason: error.to_string() }.build()
}
