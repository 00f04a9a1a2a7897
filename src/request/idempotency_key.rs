//! The caller's name for one piece of work.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;
use uuid::Uuid;

use crate::process::wall_time::WallTime;
use crate::version::key_hash::KeyHash;

/// Text that is no idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is no idempotency key: a UUID of version 7 is expected (RFC 9562, section 5.7)")]
pub struct IdempotencyKeyError(String);

/// A UUID of version 7 by which a caller names one piece of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct IdempotencyKey(Uuid);

impl IdempotencyKey {
    /// Draws a key minted now.
    pub fn generate() -> Self {
        Self(Uuid::now_v7())
    }

    /// Returns the key that holds `minted` and `random`.
    pub fn from_parts(created_at: WallTime, random: [u8; 10]) -> Self {
        Self(uuid::Builder::from_unix_timestamp_millis(created_at.0, &random).into_uuid())
    }

    /// Returns when the key was minted, by the caller's clock.
    pub fn created_at(&self) -> WallTime {
        WallTime(u64::try_from(self.0.as_u128() >> 80).unwrap_or(u64::MAX))
    }

    /// Returns the hash that places the key's record.
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
