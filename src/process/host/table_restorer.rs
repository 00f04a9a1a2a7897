//! Restores the daemons' table in a store that came back from an older copy.
//!
//! The copy may lack tables that daemons have adopted. The one in force is written again before any
//! plan, so that all later tables follow from it.

use crate::process::host::stored_table::StoredTable;
use crate::version::document_version::DocumentVersion;
use crate::version::epoch::Epoch;
use crate::version::instance_id::InstanceId;
use crate::version::table::Table;

/// How far the epoch of a restored table is above all known ones, so that no epoch that the store lost
/// is used again for another assignment. Planners write at most ten tables a second, so this is enough
/// for copies that are 1.8 hours old.
const RESTORED_EPOCHS: u64 = 1 << 16;

/// Returns whether the table in force must be restored: it, or the one in the store, was planned in an
/// earlier era than the store's.
pub fn must_restore(table: &Table, stored: StoredTable) -> bool {
    let era = stored.position.era();
    table.epoch > Epoch::default() && (table.document.era < era || stored.planned_in < era)
}

/// Returns the table in force as it is written again. Its assignments keep their epochs, so what the
/// daemons serve stays theirs, with the same fencing tokens.
pub fn restored(
    table: &Table,
    stored: Epoch,
    document: DocumentVersion,
    planner: InstanceId,
) -> Table {
    Table {
        epoch: first_epoch_after(table.epoch.max(stored)),
        document: table.document.max(document),
        planner,
        ..table.clone()
    }
}

/// Returns the lowest epoch that a restored table may have if `known` is the highest one.
pub fn first_epoch_after(known: Epoch) -> Epoch {
    Epoch(known.0.saturating_add(RESTORED_EPOCHS))
}
