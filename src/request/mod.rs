//! What lives for a request: its envelope and answer, its record, and the rules it meets.

pub mod answer;
pub mod body;
pub mod budget;
pub mod envelope;
pub mod fingerprint;
pub mod idempotency_key;
pub mod limiter;
pub mod outcome;
pub mod pace;
pub mod quarantine;
pub mod records;
pub mod refusal;
pub mod request_id;
