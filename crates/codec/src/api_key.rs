//! API keys of callers, `csk_NAME_SECRET`. The configuration holds only a salted hash of the secret.

use std::fmt;

use cowslip_config::Key;
use cowslip_name::Name;
use cowslip_proto as proto;

use crate::hex::encode_hex;

/// Start of every API key.
const PREFIX: &str = "csk_";

/// API key as a caller presents it.
#[derive(Clone)]
pub struct ApiKey {
    /// Name of the key, which is not secret; the salted hash is looked up by it.
    pub name: Name,
    secret: String,
}

impl fmt::Debug for ApiKey {
    /// Omits the secret, so that it never reaches a log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ApiKey").field("name", &self.name).finish_non_exhaustive()
    }
}

impl ApiKey {
    /// Splits a bearer token into name and secret; `None` if it is not of the form `csk_NAME_SECRET`.
    #[must_use]
    pub fn parse(token: &str) -> Option<Self> {
        let (name, secret) = token.strip_prefix(PREFIX)?.rsplit_once('_')?;
        let name = Name::new(name).ok()?;
        Some(Self { name, secret: secret.to_owned() })
    }

    /// Returns whether the secret has the hash of `key`, compared in constant time.
    #[must_use]
    pub fn matches(&self, key: &Key) -> bool {
        hash(&key.salt, &self.secret) == blake3::Hash::from_bytes(key.hash)
    }
}

/// Returns the BLAKE3 hash of the salt followed by the secret.
fn hash(salt: &[u8], secret: &str) -> blake3::Hash {
    blake3::Hasher::new().update(salt).update(secret.as_bytes()).finalize()
}

/// Returns the token for the caller and the `key` object for a ticket, which holds only the hash.
#[must_use]
pub fn issue_api_key(
    name: Name,
    workspace: Name,
    salt: &[u8],
    secret: &str,
) -> (String, proto::Key) {
    let token = format!("{PREFIX}{name}_{secret}");
    let hash_hex = hash(salt, secret).to_hex().to_string();
    (token, proto::Key { name, workspace, salt_hex: encode_hex(salt), hash_hex })
}
