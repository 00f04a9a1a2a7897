//! The reasons for which a daemon does not serve a slice.

use thiserror::Error;

/// The reason for which a daemon does not serve a slice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum NotServing {
    /// The table has no such service or slice.
    #[error("no upstream is known for this service yet")]
    UnknownSlice,
    /// The daemon's session is not live.
    #[error("the daemon's lease has lapsed")]
    LeaseLapsed,
    /// The daemon is not a candidate for the slice.
    #[error("the daemon does not own this key")]
    NotCandidate,
    /// The session of a candidate ranked before this one is not known to have ended.
    #[error("another daemon owns this key")]
    NotFirst,
    /// A former candidate is not known to have released the slice.
    #[error("the former owner has not let go yet")]
    NotReleased,
    /// The witnesses have not confirmed the epoch that assigned the slice to this daemon.
    #[error("the grant is not confirmed yet")]
    EpochUnconfirmed,
}
