//! Key ranges that a daemon owns under one fencing token, as grants name them.
//!
//! ```
//! use foxtaildrift::process::host::owned_range::OwnedRange;
//! use foxtaildrift::version::epoch::Epoch;
//! use foxtaildrift::version::fencing_token::FencingToken;
//!
//! let token = FencingToken { since: Epoch(3), rank: 0, incarnation: 1 };
//! let range = OwnedRange { first: 0, last: 99, token };
//! let remaining = range.subtract_all(&[OwnedRange { first: 10, last: 19, token }]);
//! let bounds: Vec<_> = remaining.iter().map(|r| (r.first, r.last)).collect();
//! assert_eq!(bounds, [(0, 9), (20, 99)]);
//! ```

use crate::connection::protocol::KeyRange;
use crate::request::shard_key::ShardKey;
use crate::version::epoch::Epoch;
use crate::version::fencing_token::FencingToken;

/// Bits of a grant's fencing token that hold the owner's rank among the candidates.
const RANK_BITS: u32 = 2;
/// Bits of a grant's fencing token that count how often the session became live or the upstream
/// needed higher fencing tokens.
const INCARNATION_BITS: u32 = 18;
/// Bits of a grant's fencing token that hold the epoch.
const EPOCH_BITS: u32 = u64::BITS - RANK_BITS - INCARNATION_BITS;

const _: () = assert!(Epoch::LAST.0 == (1 << EPOCH_BITS) - 1);

/// Consecutive keys that are owned under one fencing token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnedRange {
    /// First key.
    pub first: u16,
    /// Last key, inclusive.
    pub last: u16,
    /// Fencing token that the keys are owned under.
    pub token: FencingToken,
}

impl OwnedRange {
    /// Returns the range without its token.
    pub fn keys(&self) -> KeyRange {
        KeyRange {
            first: ShardKey(self.first),
            last: ShardKey(self.last),
        }
    }

    /// Returns whether the range contains `key`.
    pub fn contains(&self, key: u16) -> bool {
        self.first <= key && key <= self.last
    }

    /// Returns whether the ranges have keys in common.
    pub fn overlaps(&self, other: &OwnedRange) -> bool {
        self.first <= other.last && other.first <= self.last
    }

    /// Returns the keys that both ranges contain, under this range's token.
    pub fn intersection(&self, other: &OwnedRange) -> Option<OwnedRange> {
        let first = self.first.max(other.first);
        let last = self.last.min(other.last);
        (first <= last).then_some(OwnedRange {
            first,
            last,
            token: self.token,
        })
    }

    /// Returns the parts of this range that none of `others` contains.
    pub fn subtract_all(&self, others: &[OwnedRange]) -> Vec<OwnedRange> {
        let mut remaining = vec![*self];
        for other in others {
            remaining = remaining
                .iter()
                .flat_map(|range| range.subtract(other))
                .collect();
        }
        remaining
    }

    fn subtract(&self, other: &OwnedRange) -> Vec<OwnedRange> {
        let Some(common) = self.intersection(other) else {
            return vec![*self];
        };
        let mut remaining = Vec::new();
        if self.first < common.first {
            remaining.push(OwnedRange {
                last: common.first - 1,
                ..*self
            });
        }
        if common.last < self.last {
            remaining.push(OwnedRange {
                first: common.last + 1,
                ..*self
            });
        }
        remaining
    }
}

/// Packs a token into one integer that sorts as the tokens of one key do.
pub fn pack_fencing_token(token: FencingToken) -> u64 {
    let rank = u64::from(token.rank).min((1 << RANK_BITS) - 1);
    let incarnation = u64::from(token.incarnation).min((1 << INCARNATION_BITS) - 1);
    (token.since.0 << (RANK_BITS + INCARNATION_BITS)) | (rank << INCARNATION_BITS) | incarnation
}

/// Merges adjacent ranges with the same token; `ranges` must be sorted by key.
pub fn merge_adjacent(ranges: impl IntoIterator<Item = OwnedRange>) -> Vec<OwnedRange> {
    let mut merged: Vec<OwnedRange> = Vec::new();
    for range in ranges {
        match merged.last_mut() {
            Some(last)
                if last.last.checked_add(1) == Some(range.first) && last.token == range.token =>
            {
                last.last = range.last;
            }
            _ => merged.push(range),
        }
    }
    merged
}
