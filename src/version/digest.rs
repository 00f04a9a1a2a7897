//! The digest that identifies a document's text.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use thiserror::Error;

/// The number of hexadecimal digits in a digest.
const HEX_DIGITS: usize = 64;

/// The error for text that is not a digest.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is not a digest: expected 64 hexadecimal digits")]
pub struct DigestError(String);

/// The SHA-256 digest of a document's text, in lower-case hexadecimal.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(String);

impl Digest {
    /// Returns the digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        let hash = Sha256::digest(bytes);
        Self(hash.iter().map(|b| format!("{b:02x}")).collect())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for Digest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() == HEX_DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Ok(Self(text.to_ascii_lowercase()));
        }
        Err(DigestError(text.to_owned()))
    }
}
