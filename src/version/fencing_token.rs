//! The fencing token that accompanies each grant and request.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::version::epoch::Epoch;

/// A fencing token; the tokens of a slice never decrease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FencingToken {
    /// The epoch that assigned the slice's present candidates.
    pub since: Epoch,
    /// The rank of the owner in the candidate list, from zero.
    pub rank: u32,
    /// The number of times that the owner's session recovered from a lapsed lease.
    pub incarnation: u32,
}

impl FencingToken {
    /// Returns whether the tokens differ in their incarnations at most: no other daemon has owned the
    /// slice between them.
    pub fn is_same_ownership(&self, other: &FencingToken) -> bool {
        (self.since, self.rank) == (other.since, other.rank)
    }
}

impl fmt::Display for FencingToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.since, self.rank, self.incarnation)
    }
}

impl FromStr for FencingToken {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.splitn(3, '.');
        let mut next = || parts.next().unwrap_or("");
        Ok(Self {
            since: next().parse()?,
            rank: next().parse()?,
            incarnation: next().parse()?,
        })
    }
}
