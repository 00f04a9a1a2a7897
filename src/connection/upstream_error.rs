//! Errors of requests to the upstream.

use thiserror::Error;

/// A request to which the upstream did not respond.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum UpstreamError {
    /// No connection was established, so the request was not sent.
    #[error("no connection: {0}")]
    NotSent(String),
    /// The connection failed or timed out after the request may have been sent.
    #[error("{0}")]
    MaybeSent(String),
    /// The request could not be expressed in HTTP.
    #[error("malformed order: {0}")]
    Malformed(String),
}
