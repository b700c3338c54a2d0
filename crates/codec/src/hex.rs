//! Bytes as hex digits.

use crate::error::{CodecError, FieldSnafu};

/// Hex digits of bytes.
#[must_use]
pub fn encode_hex(bytes: &[u8]) -> String {
    hex::encode(bytes)
}

/// 32 bytes from 64 hex digits.
///
/// # Errors
/// Returns [`CodecError::Field`] for anything else.
pub fn decode_digest_hex(field: &'static str, text: &str) -> Result<[u8; 32], CodecError> {
    let mut digest = [0; 32];
    hex::decode_to_slice(text, &mut digest).map_err(|error| field_error(field, error))?;
    Ok(digest)
}

/// Bytes from an even number of hex digits.
pub(crate) fn parse_bytes(field: &'static str, text: &str) -> Result<Vec<u8>, CodecError> {
    hex::decode(text).map_err(|error| field_error(field, error))
}

fn field_error(field: &'static str, error: hex::FromHexError) -> CodecError {
    FieldSnafu { field, reason: error.to_string() }.build()
}
