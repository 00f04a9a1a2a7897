//! The version of the assignment table that the store has.

use crate::process::store_position::StorePosition;
use crate::version::epoch::Epoch;
use crate::version::store_era::StoreEra;

/// Position and epoch of the table last read from or written to the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoredTable {
    /// Position of the key.
    pub position: StorePosition,
    /// Epoch of the table.
    pub epoch: Epoch,
    /// Era of the store that its planner knew.
    pub planned_in: StoreEra,
}
