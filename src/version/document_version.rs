//! The version of the operators' document.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::version::store_era::StoreEra;

/// A version of the operators' document; it never decreases.
///
/// Encoded as one integer, which in era 0 is the number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(from = "u128", into = "u128")]
pub struct DocumentVersion {
    /// The era of the store in which the version was read.
    pub era: StoreEra,
    /// The number of the version within the era.
    pub number: u64,
}

impl DocumentVersion {
    /// Returns the version with the next number.
    pub fn next(self) -> Self {
        Self {
            number: self.number.saturating_add(1),
            ..self
        }
    }

    /// Returns the version with the number before, or the same one if there is none.
    pub fn previous(self) -> Self {
        Self {
            number: self.number.saturating_sub(1),
            ..self
        }
    }
}

impl From<u64> for DocumentVersion {
    fn from(number: u64) -> Self {
        Self {
            era: StoreEra::default(),
            number,
        }
    }
}

impl From<u128> for DocumentVersion {
    fn from(encoded: u128) -> Self {
        let [era, number] = [encoded >> u64::BITS, encoded & u128::from(u64::MAX)]
            .map(|half| u64::try_from(half).unwrap_or(u64::MAX));
        Self {
            era: StoreEra(era),
            number,
        }
    }
}

impl From<DocumentVersion> for u128 {
    fn from(version: DocumentVersion) -> Self {
        u128::from(version.era.0) << u64::BITS | u128::from(version.number)
    }
}

impl fmt::Display for DocumentVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era.0 {
            0 => write!(f, "{}", self.number),
            era => write!(f, "{era}.{}", self.number),
        }
    }
}

impl FromStr for DocumentVersion {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (era, number) = text.split_once('.').unwrap_or(("0", text));
        Ok(Self {
            era: era.parse()?,
            number: number.parse()?,
        })
    }
}
