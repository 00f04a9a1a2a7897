//! What lives for a request: its envelope and answer, its record, and the rules it meets.
//!
//! ```
//! use foxtaildrift::process::wall_time::WallTime;
//! use foxtaildrift::request::idempotency_key::IdempotencyKey;
//!
//! let key = IdempotencyKey::from_parts(WallTime(1_700_000_000_000), [7; 10]);
//! assert_eq!(key.minted(), WallTime(1_700_000_000_000));
//! ```

pub mod answer;
pub mod body;
pub mod budget;
pub mod envelope;
pub mod fingerprint;
pub mod headers;
pub mod idempotency_key;
pub mod limiter;
pub mod load_note;
pub mod order;
pub mod outcome;
pub mod pace;
pub mod quarantine;
pub mod records;
pub mod refusal;
pub mod request_id;
pub mod shard_key;
pub mod verdict;
