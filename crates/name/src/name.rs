//! Validated names that are cheap to clone.

use std::borrow::Borrow;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use snafu::{Snafu, ensure};

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Error for a string that is not a valid name.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum NameError {
    /// The string is empty.
    #[snafu(display("a name must not be empty"))]
    Empty,
    /// The string is longer than [`MAX_NAME_BYTES`].
    #[snafu(display("a name has at most {MAX_NAME_BYTES} bytes, this one has {len_bytes}"))]
    TooLong {
        /// Length of the string, in bytes.
        len_bytes: usize,
    },
    /// The string holds a character outside `a-z`, `0-9`, `-`, `_` and `.`.
    #[snafu(display("a name holds only a-z, 0-9, '-', '_' and '.', not {found:?}"))]
    BadCharacter {
        /// First forbidden character.
        found: char,
    },
}

/// An immutable name; clones share one string by reference count.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Name(Arc<str>);

impl Name {
    /// Validates `text` and copies it into a new shared string.
    ///
    /// # Errors
    /// Returns a [`NameError`] if `text` is empty, too long or holds a forbidden character.
    pub fn new(text: &str) -> Result<Self, NameError> {
        ensure!(!text.is_empty(), EmptySnafu);
        ensure!(text.len() <= MAX_NAME_BYTES, TooLongSnafu { len_bytes: text.len() });
        match text.chars().find(|c| !is_name_char(*c)) {
            Some(found) => BadCharacterSnafu { found }.fail(),
            None => Ok(Self(Arc::from(text))),
        }
    }

    /// Returns the name as a string slice.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

fn is_name_char(c: char) -> bool {
    c.is_ascii_lowercase() || c.is_ascii_digit() || matches!(c, '-' | '_' | '.')
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

impl Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl FromStr for Name {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::new(text)
    }
}

impl Serialize for Name {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Name {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = String::deserialize(deserializer)?;
        Self::new(&text).map_err(serde::de::Error::custom)
    }
}
