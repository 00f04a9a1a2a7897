//! The hash of a key.

use crate::newtype;

newtype::hexadecimal! {
    /// The hash of a key or idempotency key, which selects its slice; where slices are ranges of
    /// shard keys, the shard key itself.
    KeyHash
}

impl KeyHash {
    /// Returns the XXH3 hash of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(key))
    }
}
