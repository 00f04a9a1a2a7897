//! The version of the assignment table that the store has.

use crate::process::platform::Revision;
use crate::version::epoch::Epoch;

/// Revision and epoch of the table last read from or written to the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct StoredTable {
    /// Revision of the key.
    pub(super) revision: Revision,
    /// Epoch of the table.
    pub(super) epoch: Epoch,
}
