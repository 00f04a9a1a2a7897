//! Why a daemon itself, and not an upstream, responds to a caller.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Why a request was refused, or why its outcome is unknown.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Error)]
pub enum Refusal {
    /// The request is malformed, as the text describes.
    #[error("{0}")]
    Malformed(String),
    /// The document does not define the service.
    #[error("no such service")]
    NoSuchService,
    /// The request is not idempotent and has no idempotency key.
    #[error("this request may not be repeated: send an Idempotency-Key header with a UUIDv7")]
    NoIdempotencyKey,
    /// The idempotency key was already used for a different request.
    #[error("this idempotency key was used for another request")]
    KeyReused,
    /// The request has no key, and its service requires one.
    #[error("this service is divided by key: send a Foxtaildrift-Key header")]
    NoKey,
    /// No daemon is known to own the key.
    #[error("the key has no owner now: {0}")]
    NoOwner(String),
    /// The owner's queue is full, or the request could not finish before its deadline.
    #[error("overloaded: {0}")]
    Overloaded(String),
    /// The caller's deadline passed.
    #[error("the deadline passed")]
    DeadlinePassed,
    /// Identical requests were in flight when upstreams crashed.
    #[error("this request is quarantined: upstreams crashed while they ran it")]
    Quarantined,
    /// The upstream is overloaded and shed the request without running it.
    #[error("the upstream is overloaded")]
    UpstreamShed,
    /// The upstream refused the request without running it.
    #[error("the upstream refused: {0}")]
    UpstreamRefused(String),
    /// The upstream or its connection failed after the request was sent.
    #[error("the upstream failed while it had the request: {0}")]
    UpstreamFailed(String),
    /// The connection to the owner failed after the request was sent.
    #[error("the owner could not be reached: {0}")]
    OwnerFailed(String),
    /// The request's record, if there was one, was lost with a former owner.
    #[error(
        "the key's owner changed after this idempotency key was minted, and its record is lost"
    )]
    RecordLost,
    /// The daemon is stopping.
    #[error("the daemon is stopping")]
    Stopping,
}

impl Refusal {
    /// Returns the HTTP status code of the refusal.
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
