//! What can go wrong in a call to another daemon.

use thiserror::Error;

use crate::connection::frame::FrameError;

/// A call to another daemon that failed.
#[derive(Debug, Error)]
pub enum PeerError {
    /// No connection was made, so nothing was sent.
    #[error("no connection: {0}")]
    NotSent(#[source] std::io::Error),
    /// The connection failed after the call may have been sent.
    #[error("{0}")]
    MaybeSent(#[from] FrameError),
    /// The party that waited for the reply has left.
    #[error("the caller left")]
    RecipientDisconnected,
    /// The reply was of the wrong kind.
    #[error("the reply does not fit the call")]
    Mismatch,
}

impl PeerError {
    /// Returns whether the other daemon can't have seen the call.
    pub fn is_unsent(&self) -> bool {
        matches!(self, PeerError::NotSent(_))
    }
}
