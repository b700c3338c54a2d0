//! Callers' keys: `csk_NAME_SECRET`, of which only a salted hash is kept.

use std::fmt;

use cowslip_config::Key;
use cowslip_name::Name;
use cowslip_proto as proto;

use crate::hex::encode_hex;

const PREFIX: &str = "csk_";

/// A key as a caller presents it.
#[derive(Clone)]
pub struct ApiKey {
    /// Public part.
    pub name: Name,
    secret: String,
}

impl fmt::Debug for ApiKey {
    /// Leaves the secret out.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ApiKey").field("name", &self.name).finish_non_exhaustive()
    }
}

impl ApiKey {
    /// Takes a bearer token apart; `None` if it has not the form of a key.
    #[must_use]
    pub fn parse(token: &str) -> Option<Self> {
        let (name, secret) = token.strip_prefix(PREFIX)?.rsplit_once('_')?;
        let name = Name::new(name).ok()?;
        Some(Self { name, secret: secret.to_owned() })
    }

    /// Whether the secret belongs to `key`, compared in constant time.
    #[must_use]
    pub fn matches(&self, key: &Key) -> bool {
        hash(&key.salt, &self.secret) == blake3::Hash::from_bytes(key.hash)
    }
}

fn hash(salt: &[u8], secret: &str) -> blake3::Hash {
    blake3::Hasher::new().update(salt).update(secret.as_bytes()).finalize()
}

/// The token for the caller and the object for a ticket.
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
