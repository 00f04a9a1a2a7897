//! The errors of an assignment table.

use thiserror::Error;

use crate::version::epoch::Epoch;

/// Why a table can't be adopted.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TableError {
    /// The bytes are not an encoded table.
    #[error("malformed table: {0}")]
    Malformed(#[from] postcard::Error),
    /// The table has an epoch above [`Epoch::LAST`].
    #[error("the epoch {0} is too large")]
    EpochTooLarge(Epoch),
    /// A slice was assigned at this epoch, which is above the table's.
    #[error("a slice was assigned at epoch {0}, after the table's")]
    AssignedLater(Epoch),
}
