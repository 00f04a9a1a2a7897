//! Writes the next table to the store when it is due, and join requests while this daemon is not a
//! member.
//!
//! There is no lease for planning. Each write of the table names the revision that it replaces, so
//! one of two concurrent writes fails. The last planner continues; the other daemons take over in
//! order once a plan has been due for a while.

use std::time::{Duration, Instant};

use crate::process::host::store_health::StoreHealth;
use crate::process::host::store_watch::{self, RETRY_DELAY};
use crate::process::host::stored_cell::StoredCell;
use crate::process::host::stored_table::StoredTable;
use crate::process::host::table_restorer;
use crate::process::membership::ActiveConfiguration;
use crate::process::planner::{self, PlanInput};
use crate::process::stop_flag::StopFlag;
use crate::process::store::{CommitOutcome, JOIN_REQUEST_PREFIX, Store, TABLE_KEY, Transaction};
use crate::version::epoch::Epoch;
use crate::version::store_era::StoreEra;
use crate::version::table::Table;

/// Interval at which a daemon checks whether a new table is needed.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// How long a plan must be due, for each daemon ahead in the planning order, before this daemon
/// takes over.
const TAKEOVER_DELAY: Duration = Duration::from_millis(900);
/// Minimum interval between writes of tables that can wait for more changes.
const DEFERRABLE_WRITE_INTERVAL: Duration = Duration::from_millis(600);
/// How long the first table waits for more daemons to join.
const FIRST_TABLE_DELAY: Duration = Duration::from_millis(1500);
/// How long a daemon waits for the members to admit it before it writes a join request to the
/// store.
const JOIN_REQUEST_DELAY: Duration = Duration::from_millis(1200);
/// Interval at which a planner reads the table, or asks the other daemons for theirs, while it can't
/// plan because the store came back from an older copy.
const RESTORE_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which an unfulfilled join request is written again.
const JOIN_REQUEST_INTERVAL: Duration = Duration::from_secs(4);

/// The table to write next.
struct NextTable {
    /// The table in the store that it replaces.
    stored: StoredTable,
    table: Table,
    /// Whether its write can be deferred.
    can_defer: bool,
    /// Whether it is the one in force, which the store lost.
    is_restored: bool,
}

/// Planner of one daemon.
pub(super) struct TablePlanner<'a> {
    store: &'a dyn Store,
    cell: &'a StoredCell,
    health: StoreHealth,
    due_since: Option<Instant>,
    non_member_since: Instant,
    last_request: Option<Instant>,
    /// Era of the store when the last join request was written.
    request_era: StoreEra,
    last_restore_attempt: Option<Instant>,
    last_check: Option<Instant>,
    last_write: Option<Instant>,
}

impl<'a> TablePlanner<'a> {
    /// Creates the planner of a daemon that has written nothing yet.
    pub(super) fn new(store: &'a dyn Store, cell: &'a StoredCell) -> Self {
        Self {
            store,
            cell,
            health: StoreHealth::new("plan"),
            due_since: None,
            non_member_since: Instant::now(),
            last_request: None,
            request_era: StoreEra::default(),
            last_restore_attempt: None,
            last_check: None,
            last_write: None,
        }
    }

    /// Writes tables and join requests that are due, until the process stops.
    pub(super) fn run(&mut self, stop: &StopFlag) {
        while !stop.wait(PLAN_INTERVAL) {
            self.request_membership();
            self.replace_table(stop);
        }
    }

    /// Writes a join request if one is due.
    fn request_membership(&mut self) {
        if self.cell.is_member() {
            self.non_member_since = Instant::now();
            self.last_request = None;
            return;
        }
        let era = self.cell.store_era();
        if self.request_era < era {
            // The store may have lost the request.
            self.request_era = era;
            self.last_request = None;
        }
        if self.is_join_request_due() {
            self.last_request = Some(Instant::now());
            self.write_join_request();
        }
    }

    /// Writes the next table if it is due and this daemon's turn.
    fn replace_table(&mut self, stop: &StopFlag) {
        let position = self.cell.planner_position();
        // Daemons that don't plan now check less often.
        let check_interval = TAKEOVER_DELAY * position;
        if self
            .last_check
            .is_some_and(|at| at.elapsed() < check_interval)
        {
            return;
        }
        self.last_check = Some(Instant::now());
        let Some(next) = self.next_table() else {
            self.due_since = None;
            self.prepare_restored_table();
            return;
        };
        let has_just_written = self
            .last_write
            .is_some_and(|at| at.elapsed() < DEFERRABLE_WRITE_INTERVAL);
        if next.can_defer && has_just_written {
            return;
        }
        let due_since = *self.due_since.get_or_insert_with(Instant::now);
        let (stored, table) = (next.stored, next.table);
        let delay = match stored.epoch == Epoch::default() {
            true => FIRST_TABLE_DELAY + TAKEOVER_DELAY * position,
            false => TAKEOVER_DELAY * position,
        };
        if due_since.elapsed() < delay {
            return;
        }
        if stored.epoch.next() == table.epoch || next.is_restored {
            self.due_since = None;
            self.write_table(stored, &table, stop);
            self.last_write = Some(Instant::now());
        } else {
            // The table came from another daemon, so its revision in the store is unknown.
            self.read_table();
        }
    }

    /// Returns whether to write a join request to the store now.
    fn is_join_request_due(&self) -> bool {
        let Some(stored) = self.cell.stored() else {
            return false;
        };
        let is_first_table = stored.epoch == Epoch::default();
        let waited = is_first_table || self.non_member_since.elapsed() >= JOIN_REQUEST_DELAY;
        waited
            && self
                .last_request
                .is_none_or(|at| at.elapsed() >= JOIN_REQUEST_INTERVAL)
    }

    fn write_join_request(&mut self) {
        let info = self.cell.membership.with_ownership(|o, _| o.info().clone());
        let value = match postcard::to_stdvec(&info) {
            Ok(value) => value,
            Err(e) => {
                tracing::error!(event = "join-not-encoded", error = %e);
                return;
            }
        };
        let key = format!("{JOIN_REQUEST_PREFIX}{}", self.cell.instance);
        let transaction = Transaction {
            puts: vec![(key, value)],
            ..Transaction::default()
        };
        match self.store.commit(&transaction) {
            Ok(_) => tracing::info!(event = "join-asked", session = %info.session),
            Err(e) => self.health.record_failure(&e),
        }
    }

    /// Reads the table if that known is of an earlier era of the store; asks the other daemons for
    /// theirs if it must be restored.
    fn prepare_restored_table(&mut self) {
        let Some(stored) = self.cell.stored() else {
            return;
        };
        let store_era = self.cell.store_era();
        let membership = &self.cell.membership;
        let (is_outdated, must_restore) = membership.with_ownership(|o, _| {
            let is_outdated = stored.position.era() < store_era;
            (
                is_outdated && o.table().document.era < store_era,
                !is_outdated && table_restorer::must_restore(o.table(), stored),
            )
        });
        let has_just_tried = self
            .last_restore_attempt
            .is_some_and(|at| at.elapsed() < RESTORE_RETRY_INTERVAL);
        if has_just_tried || !(is_outdated || must_restore) {
            return;
        }
        self.last_restore_attempt = Some(Instant::now());
        if is_outdated {
            self.read_table();
        } else {
            membership.with_ownership(|o, _| o.query_members());
        }
    }

    /// Returns the table that should replace the stored one.
    fn next_table(&self) -> Option<NextTable> {
        let stored = self.cell.stored()?;
        let active = self.cell.membership.active_configuration();
        active.routing_config.as_ref()?;
        let (era, store_era) = (stored.position.era(), self.cell.store_era());
        let membership = &self.cell.membership;
        let (is_of_era, must_restore) = membership.with_ownership(|o, _| {
            (
                o.table().document.era >= store_era,
                table_restorer::must_restore(o.table(), stored),
            )
        });
        if era < store_era && !is_of_era {
            return None;
        }
        if era == store_era && must_restore {
            return self.restored_table(stored, &active);
        }
        let join_requests = self.cell.all_join_requests();
        let load_reports = self.cell.membership.load_reports();
        self.cell.membership.with_ownership(|o, _| {
            if o.table().epoch < stored.epoch || active.version < o.table().document {
                return None;
            }
            let input = PlanInput {
                table: o.table(),
                document: &active.document,
                document_version: active.version,
                join_requests: &join_requests,
                facts: o.facts(),
                end_certificates: o.end_certificates(),
                load_reports: &load_reports,
                planner: self.cell.instance,
            };
            let table = planner::plan(&input)?;
            let can_defer = planner::can_defer(&input, &table);
            Some(NextTable {
                stored,
                table,
                can_defer,
                is_restored: false,
            })
        })
    }

    /// Returns the table in force, to be written to a store that lost it, once no living daemon can
    /// have a newer one.
    fn restored_table(
        &self,
        stored: StoredTable,
        active: &ActiveConfiguration,
    ) -> Option<NextTable> {
        if active.version.era < stored.position.era() {
            return None;
        }
        let planner = self.cell.instance;
        self.cell.membership.with_ownership(|o, now| {
            o.is_highest_table_known(now).then(|| NextTable {
                stored,
                table: table_restorer::restored(o.table(), stored.epoch, active.version, planner),
                can_defer: false,
                is_restored: true,
            })
        })
    }

    /// Writes a table; after a conflict or a failure reads the table that the store has.
    fn write_table(&mut self, stored: StoredTable, table: &Table, stop: &StopFlag) {
        let value = match postcard::to_stdvec(table) {
            Ok(value) => value,
            Err(e) => {
                tracing::error!(event = "table-not-encoded", error = %e);
                return;
            }
        };
        let bytes = value.len();
        let fulfilled = self.cell.fulfilled_requests(table);
        let transaction = Transaction::table_write(stored.position, value, fulfilled.into_iter());
        match self.store.commit(&transaction) {
            Ok(CommitOutcome::Done(position)) => {
                let epoch = table.epoch;
                let membership = &self.cell.membership;
                tracing::info!(event = "table-written", %epoch, revision = %position, bytes);
                self.cell.record_write(StoredTable {
                    position,
                    epoch,
                    planned_in: table.document.era,
                });
                membership.adopt_platform_table(table.clone());
                membership.forget_fulfilled_joins(table);
                membership.with_ownership(|o, _| o.broadcast_versions());
                self.health.record_success();
            }
            Ok(CommitOutcome::EraChanged) => {
                tracing::warn!(event = "table-written-unseen", epoch = %table.epoch);
                self.read_table();
            }
            Ok(CommitOutcome::Conflict) => {
                tracing::info!(event = "table-conflict", epoch = %table.epoch);
                self.read_table();
            }
            Err(e) => {
                self.health.record_failure(&e);
                stop.wait(RETRY_DELAY);
                self.read_table();
            }
        }
    }

    /// Reads the table from the store, for example after a write with an unknown outcome.
    fn read_table(&mut self) {
        match self.store.range(TABLE_KEY) {
            Ok(range) => {
                store_watch::log_unreadable("table", &range.unreadable);
                self.cell.replace_table(range);
            }
            Err(e) => self.health.record_failure(&e),
        }
    }
}
