//! The key by which a caller identifies one operation across its attempts.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;
use uuid::Uuid;

use crate::process::wall_time::WallTime;
use crate::version::key_hash::KeyHash;

/// The error for text that is not an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is no idempotency key: a UUID of version 7 is expected (RFC 9562, section 5.7)")]
pub struct IdempotencyKeyError(String);

/// A UUIDv7 that a caller chooses for one operation; all attempts of the operation carry it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct IdempotencyKey(Uuid);

impl IdempotencyKey {
    /// Generates a key with the current time.
    pub fn generate() -> Self {
        Self(Uuid::now_v7())
    }

    /// Returns the key with the timestamp `created_at` and the random bits `random`.
    pub fn from_parts(created_at: WallTime, random: [u8; 10]) -> Self {
        Self(uuid::Builder::from_unix_timestamp_millis(created_at.0, &random).into_uuid())
    }

    /// Returns the key's timestamp: when it was created by the caller's clock.
    pub fn created_at(&self) -> WallTime {
        WallTime(u64::try_from(self.0.as_u128() >> 80).unwrap_or(u64::MAX))
    }

    /// Returns the hash that selects the slice that keeps the key's record.
    pub fn key_hash(&self) -> KeyHash {
        KeyHash::of(self.0.as_bytes())
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for IdempotencyKey {
    type Err = IdempotencyKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let uuid = Uuid::parse_str(text)
            .ok()
            .filter(|u| u.get_version_num() == 7);
        uuid.map(Self)
            .ok_or_else(|| IdempotencyKeyError(text.chars().take(64).collect()))
    }
}
