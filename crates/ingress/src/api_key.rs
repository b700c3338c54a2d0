//! API keys in parts of a request that an upstream receives.

use std::borrow::Cow;

use http::header::AUTHORIZATION;
use http::{HeaderMap, Uri};
use percent_encoding::percent_decode;

/// Shortest key that is searched for; shorter ones occur in ordinary text.
const MIN_KEY_BYTES: usize = 6;

/// Returns whether the target, a header other than `authorization`, or the body contains the key, as
/// it is or with characters escaped as in URIs or JSON.
#[must_use]
pub fn exposes_key(key: &str, target: &Uri, headers: &HeaderMap, body: &[u8]) -> bool {
    if key.len() < MIN_KEY_BYTES {
        return false;
    }
    let target = target.path_and_query().map_or("", |target| target.as_str());
    contains(target.as_bytes(), key)
        || contains(body, key)
        || headers
            .iter()
            .filter(|(name, _)| **name != AUTHORIZATION)
            .any(|(_, value)| contains(value.as_bytes(), key))
}

fn contains(text: &[u8], key: &str) -> bool {
    let has_key = |text: &[u8]| text.windows(key.len()).any(|window| window == key.as_bytes());
    if has_key(text) {
        return true;
    }
    let has_escapes = text.contains(&b'%') || text.contains(&b'\\');
    has_escapes && {
        let decoded: Cow<'_, [u8]> = percent_decode(text).into();
        has_key(&decoded) || has_key(&decode_json_escapes(&decoded))
    }
}

/// Replaces the escapes of JSON strings that stand for ASCII characters.
fn decode_json_escapes(text: &[u8]) -> Vec<u8> {
    let mut decoded = Vec::with_capacity(text.len());
    let mut rest = text;
    while let Some((byte, after)) = rest.split_first() {
        let escaped = after.strip_prefix(b"u00").filter(|_| *byte == b'\\').and_then(|digits| {
            let (digits, after) = digits.split_at_checked(2)?;
            let code = u8::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?;
            Some((code, after))
        });
        let (byte, after) = match (escaped, after.split_first()) {
            (Some(escaped), _) => escaped,
            // Any other escaped character that can occur in a key stands for itself.
            (None, Some((next, after_next))) if *byte == b'\\' => (*next, after_next),
            (None, _) => (*byte, after),
        };
        decoded.push(byte);
        rest = after;
    }
    decoded
}
