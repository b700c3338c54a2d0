//! Bytes as hex digits.

use crate::error::{Error, FieldSnafu};

/// Hex digits of bytes.
#[must_use]
pub fn digest_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// 32 bytes from 64 hex digits.
///
/// # Errors
/// Returns [`Error::Field`] for anything else.
pub fn parse_digest(field: &'static str, text: &str) -> Result<[u8; 32], Error> {
    blake3::Hash::from_hex(text)
        .map(|hash| *hash.as_bytes())
        .map_err(|error| FieldSnafu { field, reason: error.to_string() }.build())
}

/// Bytes from an even number of hex digits.
pub(crate) fn parse_bytes(field: &'static str, text: &str) -> Result<Vec<u8>, Error> {
    let wrong = || FieldSnafu { field, reason: "expected pairs of hex digits".to_owned() }.build();
    if !text.is_ascii() || !text.len().is_multiple_of(2) {
        return Err(wrong());
    }
    (0..text.len() / 2)
        .map(|index| u8::from_str_radix(&text[2 * index..2 * index + 2], 16).map_err(|_| wrong()))
        .collect()
}
