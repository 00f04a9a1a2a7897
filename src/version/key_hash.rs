//! The hash of a key.

use crate::newtype;

newtype::hexadecimal! {
    /// The hash that places a key, or an idempotency key, in a slice.
    KeyHash
}

impl KeyHash {
    /// Hashes the bytes of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(key))
    }
}
