//! The assignment tables that a daemon adopted last, from which others are sent only what changed.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::version::epoch::Epoch;
use crate::version::table::Table;
use crate::version::table_delta::TableDelta;

/// The number of tables kept.
const TABLES_MAX: usize = 6;

/// What brings another daemon to the newest table.
#[derive(Clone, Debug, PartialEq)]
pub enum TableUpdate {
    /// No table has been adopted yet.
    None,
    /// The newest table.
    Whole(Arc<Table>),
    /// What changed since the other daemon's table.
    Delta(Arc<TableDelta>),
}

/// The tables that a daemon adopted last.
#[derive(Debug, Default)]
pub struct TableHistory {
    /// The oldest first.
    tables: VecDeque<Arc<Table>>,
    /// The deltas to the newest table that were requested, by the epoch of their base.
    deltas: BTreeMap<Epoch, Arc<TableDelta>>,
}

impl TableHistory {
    /// Records a table that was adopted; ignores one that is not newer than the last.
    pub fn record(&mut self, table: &Arc<Table>) {
        if self.tables.back().is_some_and(|t| t.epoch >= table.epoch) {
            return;
        }
        self.tables.push_back(Arc::clone(table));
        self.deltas.clear();
        if self.tables.len() > TABLES_MAX {
            self.tables.pop_front();
        }
    }

    /// Returns what brings a daemon with the table of epoch `known` to the newest table.
    pub fn update_since(&mut self, known: Epoch) -> TableUpdate {
        let Some(newest) = self.tables.back() else {
            return TableUpdate::None;
        };
        if let Some(delta) = self.deltas.get(&known) {
            return TableUpdate::Delta(Arc::clone(delta));
        }
        match self.tables.iter().find(|t| t.epoch == known) {
            Some(base) if known < newest.epoch => {
                let delta = Arc::new(TableDelta::between(base, newest));
                self.deltas.insert(known, Arc::clone(&delta));
                TableUpdate::Delta(delta)
            }
            _ => TableUpdate::Whole(Arc::clone(newest)),
        }
    }
}
