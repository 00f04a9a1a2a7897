//! Types with the lifetime of a request: the request and its response, its idempotency record, and
//! the limits that apply to it.
//!
//! ```
//! use foxtaildrift::process::wall_time::WallTime;
//! use foxtaildrift::request::idempotency_key::IdempotencyKey;
//!
//! let key = IdempotencyKey::from_parts(WallTime(1_700_000_000_000), [7; 10]);
//! assert_eq!(key.created_at(), WallTime(1_700_000_000_000));
//! ```

pub mod adaptive_limit;
pub mod body;
pub mod envelope;
pub mod fingerprint;
pub mod headers;
pub mod idempotency_key;
pub mod limiter;
pub mod mapping;
pub mod outcome;
pub mod quarantine;
pub mod records;
pub mod refusal;
pub mod request_id;
pub mod request_kind;
pub mod retry_budget;
pub mod service_response;
pub mod shard_key;
pub mod upstream_load;
pub mod upstream_outcome;
pub mod upstream_request;
