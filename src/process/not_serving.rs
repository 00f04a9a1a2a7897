//! Why a daemon does not serve a slice.

use thiserror::Error;

/// Why a daemon does not serve a slice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum NotServing {
    /// The table has no such service or slice.
    #[error("no upstream is known for this service yet")]
    UnknownSlice,
    /// The daemon's session is not live.
    #[error("the daemon's lease has lapsed")]
    Lapsed,
    /// The daemon is no candidate of the slice.
    #[error("the daemon does not own this key")]
    NotCandidate,
    /// A candidate before this one is not known to have ended.
    #[error("another daemon owns this key")]
    NotFirst,
    /// A former candidate is not known to have let go.
    #[error("the former owner has not let go yet")]
    Waiting,
    /// The witnesses have not confirmed the epoch that gave the slice to this daemon.
    #[error("the grant is not confirmed yet")]
    Unconfirmed,
}
