//! What can go wrong with an order to the upstream.

use thiserror::Error;

/// An order that the upstream did not answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum UpstreamError {
    /// No connection was made, so the upstream was not given the order.
    #[error("no connection: {0}")]
    NotSent(String),
    /// The connection failed or was late after the order may have been given.
    #[error("{0}")]
    MaybeSent(String),
    /// The order could not be put into HTTP.
    #[error("malformed order: {0}")]
    Malformed(String),
}
