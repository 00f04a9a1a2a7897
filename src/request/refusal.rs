//! Why the system answers in place of an upstream.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The reason for a refusal, or for an outcome that is not known.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Error)]
pub enum Refusal {
    /// The request is malformed; the text says how.
    #[error("{0}")]
    Malformed(String),
    /// The document names no such service.
    #[error("no such service")]
    NoSuchService,
    /// The request may not be repeated and bears no idempotency key.
    #[error("this request may not be repeated: send an Idempotency-Key header with a UUIDv7")]
    NoIdempotencyKey,
    /// The idempotency key was used for another request before.
    #[error("this idempotency key was used for another request")]
    KeyReused,
    /// The request names no key, and its service needs one.
    #[error("this service is divided by key: send a Foxtaildrift-Key header")]
    NoKey,
    /// No daemon is known to own the key now.
    #[error("the key has no owner now: {0}")]
    NoOwner(String),
    /// The owner's queue is full, or the request would not end in time.
    #[error("overloaded: {0}")]
    Overloaded(String),
    /// The time that the caller gave ran out.
    #[error("the deadline passed")]
    DeadlinePassed,
    /// The same request was in flight when upstreams crashed.
    #[error("this request is quarantined: upstreams crashed while they ran it")]
    Quarantined,
    /// The upstream shed the request unrun: it has more work than it bears.
    #[error("the upstream is overloaded")]
    UpstreamShed,
    /// The upstream refused the request unrun.
    #[error("the upstream refused: {0}")]
    UpstreamRefused(String),
    /// The upstream or its connection failed while it had the request.
    #[error("the upstream failed while it had the request: {0}")]
    UpstreamFailed(String),
    /// The connection to the owner failed while it had the request.
    #[error("the owner could not be reached: {0}")]
    OwnerFailed(String),
    /// The record of the request, if there was one, was lost with a former owner.
    #[error(
        "the key's owner changed after this idempotency key was minted, and its record is lost"
    )]
    RecordLost,
    /// The process is stopping.
    #[error("the daemon is stopping")]
    Stopping,
}

impl Refusal {
    /// Returns the HTTP status of the refusal.
    pub fn status(&self) -> u16 {
        match self {
            Refusal::Malformed(_) | Refusal::NoIdempotencyKey | Refusal::NoKey => 400,
            Refusal::NoSuchService => 404,
            Refusal::RecordLost => 409,
            Refusal::KeyReused | Refusal::Quarantined => 422,
            Refusal::UpstreamFailed(_) | Refusal::OwnerFailed(_) => 502,
            Refusal::DeadlinePassed => 504,
            Refusal::NoOwner(_)
            | Refusal::Overloaded(_)
            | Refusal::UpstreamShed
            | Refusal::UpstreamRefused(_)
            | Refusal::Stopping => 503,
        }
    }
}
