//! Errors of calls to other daemons.

use thiserror::Error;

use crate::connection::frame::FrameError;

/// A call to another daemon that failed.
#[derive(Debug, Error)]
pub enum PeerError {
    /// No connection was established, so nothing was sent.
    #[error("no connection: {0}")]
    NotSent(#[source] std::io::Error),
    /// The call failed after the request may have been sent.
    #[error("{0}")]
    MaybeSent(#[from] FrameError),
    /// The recipient of the result disconnected.
    #[error("the caller left")]
    RecipientDisconnected,
    /// The reply is not one for this kind of request.
    #[error("the reply does not fit the call")]
    Mismatch,
}

impl PeerError {
    /// Returns whether the other daemon can't have received the request.
    pub fn is_unsent(&self) -> bool {
        matches!(self, PeerError::NotSent(_))
    }
}
