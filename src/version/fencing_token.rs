//! The fence token that goes with each grant and order.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::version::epoch::Epoch;

/// A fence token; for one slice it only rises.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FencingToken {
    /// The epoch that gave the slice its present candidates.
    pub since: Epoch,
    /// The place of the holder in the candidate list, from zero.
    pub rank: u32,
    /// The number of times that the holder's session came back from a lapse.
    pub incarnation: u32,
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
