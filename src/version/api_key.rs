//! The API key of a team.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// The length of a digest, in bytes.
const DIGEST_BYTES: usize = 32;

/// The SHA-256 digest of an API key. Keys are secrets: the daemon keeps and compares digests only.
///
/// The time of a comparison of digests depends on their common prefix, which says nothing about how
/// much of a key is right.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ApiKeyDigest([u8; DIGEST_BYTES]);

impl ApiKeyDigest {
    /// Returns the digest of `key`.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl fmt::Debug for ApiKeyDigest {
    /// Writes no part of the digest: a digest would let a reader of logs test guesses of a key.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKeyDigest(..)")
    }
}
