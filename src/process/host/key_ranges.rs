//! How keys fall into slices, and slices into ranges of keys.
//!
//! ```
//! use foxtaildrift::process::host::key_ranges;
//! use foxtaildrift::request::shard_key::ShardKey;
//! use foxtaildrift::version::slice_id::SliceId;
//!
//! let slice = key_ranges::slice_of(ShardKey(300), 512);
//! assert_eq!(slice, SliceId(2));
//! let keys = key_ranges::keys_of(slice, SliceId(3), 512);
//! assert_eq!((keys.first, keys.last), (ShardKey(256), ShardKey(511)));
//! ```

use std::collections::BTreeMap;

use crate::connection::dialect::KeyRange;
use crate::request::shard_key::{KEYS, ShardKey};
use crate::version::slice_id::SliceId;
use crate::version::token::Token;

/// The bits of a fence number that hold the place among the candidates.
const RANK_BITS: u32 = 2;
/// The bits of a fence number that count the returns of a session and the lives of an upstream.
const INCARNATION_BITS: u32 = 18;

/// Slices in a row that are held under one token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Run {
    /// The first slice.
    pub first: SliceId,
    /// The last slice.
    pub last: SliceId,
    /// The token.
    pub token: Token,
}

/// Returns the slice that `key` falls in, of `count` slices.
pub fn slice_of(key: ShardKey, count: usize) -> SliceId {
    let count = u64::try_from(count).unwrap_or(u64::MAX);
    SliceId(u64::from(key.0) * count / u64::from(KEYS))
}

/// Returns the keys of the slices from `first` to `last`, of `count` slices.
pub fn keys_of(first: SliceId, last: SliceId, count: usize) -> KeyRange {
    let width = u64::from(KEYS) / u64::try_from(count.max(1)).unwrap_or(1);
    let key = |n: u64| ShardKey(u16::try_from(n).unwrap_or(u16::MAX));
    KeyRange {
        first: key(first.0 * width),
        last: key((last.0 + 1) * width - 1),
    }
}

/// Returns the fence number of a token: it orders as tokens of one slice do.
pub fn fence_of(token: Token) -> u64 {
    let rank = u64::from(token.rank).min((1 << RANK_BITS) - 1);
    let incarnation = u64::from(token.incarnation).min((1 << INCARNATION_BITS) - 1);
    (token.since.0 << (RANK_BITS + INCARNATION_BITS)) | (rank << INCARNATION_BITS) | incarnation
}

/// Joins neighbouring slices with the same token.
pub fn runs_of(slices: &BTreeMap<SliceId, Token>) -> Vec<Run> {
    let mut runs: Vec<Run> = Vec::new();
    for (&slice, &token) in slices {
        match runs.last_mut() {
            Some(run) if run.last.0 + 1 == slice.0 && run.token == token => run.last = slice,
            _ => runs.push(Run {
                first: slice,
                last: slice,
                token,
            }),
        }
    }
    runs
}
