//! Keeps the daemon's table and configuration in sync with the platform, and runs the planner.
//!
//! A few daemons of a cell watch the configuration and compete for the planner's lease. The
//! others receive updates from these daemons and poll the platform only occasionally.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::process::membership::Membership;
use crate::process::planner::{self, PlanInput};
use crate::process::platform::{
    Platform, PlatformError, PlatformKey, Revision, StoredValue, SwapOutcome,
};
use crate::process::stop_flag::StopFlag;
use crate::version::configuration::Configuration;
use crate::version::epoch::Epoch;
use crate::version::instance_id::InstanceId;
use crate::version::table::Table;

/// The maximum number of daemons of a cell that watch the platform.
const WATCHERS_MAX: usize = 3;
/// How long one watch waits for a change. A stopping process waits until its watch has returned.
const WATCH_TIMEOUT: Duration = Duration::from_secs(2);
/// The minimum of the mean interval at which a daemon that does not watch polls the configuration.
const POLL_INTERVAL_MIN: Duration = Duration::from_secs(10);
/// The mean interval between configuration polls of all daemons of a cell together, which keeps
/// the load on the platform independent of the cell's size.
const CELL_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// How often a daemon that is not a member polls the table.
const TABLE_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// How often a daemon tries to acquire or renew the planner's lease.
const LEASE_INTERVAL: Duration = Duration::from_millis(2500);
/// How often the planner checks whether a new table is needed.
const PLAN_INTERVAL: Duration = Duration::from_millis(250);
/// How long to wait after a failed call to the platform, and between checks whether a poll is due.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// The largest value that the platform stores, in bytes.
const VALUE_BYTES_MAX: usize = 1024 * 1024;

/// Syncs the table and the configuration of one daemon with the platform.
pub struct PlatformSync {
    platform: Arc<dyn Platform>,
    membership: Arc<Membership>,
    environment: String,
    cell: u32,
    instance: InstanceId,
}

impl PlatformSync {
    /// Creates the sync between `platform` and the process `instance`.
    pub fn new(
        platform: Arc<dyn Platform>,
        membership: Arc<Membership>,
        environment: String,
        cell: u32,
        instance: InstanceId,
    ) -> Self {
        Self {
            platform,
            membership,
            environment,
            cell,
            instance,
        }
    }

    /// Adopts each new configuration until `stop` is set. Watchers use watches, other daemons poll.
    pub fn follow_configuration(&self, stop: &StopFlag) {
        let key = PlatformKey::configuration(&self.environment);
        let mut revision = Revision::default();
        let mut last_poll: Option<Instant> = None;
        let mut interval = self.poll_interval();
        while !stop.is_set() {
            let due = last_poll.is_none_or(|at| at.elapsed() >= interval);
            if !self.is_watcher() && !due {
                stop.wait(RETRY_DELAY);
                continue;
            }
            let watching = self.is_watcher() && last_poll.is_some();
            let result = match watching {
                true => self.platform.watch(&key, revision, WATCH_TIMEOUT),
                false => self.platform.read(&key),
            };
            last_poll = Some(Instant::now());
            interval = self.poll_interval();
            match result {
                Ok(Some(stored)) => {
                    revision = stored.revision;
                    self.adopt_configuration(&stored);
                }
                Ok(None) if !watching => {}
                Ok(None) => {
                    // A watch of an absent value returns immediately.
                    stop.wait(RETRY_DELAY);
                }
                Err(e) => {
                    tracing::debug!(error = %e, "cannot read the configuration from the platform");
                    stop.wait(RETRY_DELAY);
                }
            }
        }
    }

    /// Returns a random time until the next poll, so that the cell's polls spread over time.
    fn poll_interval(&self) -> Duration {
        let members = self.membership.table().members.len();
        let mean = CELL_POLL_INTERVAL * u32::try_from(members).unwrap_or(u32::MAX);
        mean.max(POLL_INTERVAL_MIN)
            .mul_f64(rand::random_range(0.5..1.5))
    }

    /// Runs the planner while this daemon holds the planner's lease, and polls the table while it
    /// is not a member, until `stop` is set.
    pub fn run_planner(&self, stop: &StopFlag) {
        let mut state = PlannerState::default();
        while !stop.wait(PLAN_INTERVAL) {
            if let Err(e) = self.planner_step(&mut state) {
                state.record_failure(&e);
                stop.wait(RETRY_DELAY);
            }
        }
        if state.holds_lease
            && let Err(e) = self.platform.release_leases()
        {
            tracing::debug!(error = %e, "cannot release the planner's lease");
        }
    }

    /// Reads the table from the platform and adopts it.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails or the stored table is malformed.
    pub fn read_table(&self) -> Result<StoredTable, PlatformError> {
        let key = PlatformKey::table(&self.environment, self.cell);
        let Some(stored) = self.platform.read(&key)? else {
            return Ok(StoredTable::default());
        };
        let table: Table = Table::decode(&stored.bytes).map_err(|e| PlatformError::Malformed {
            location: key.to_string(),
            reason: e.to_string(),
        })?;
        let version = StoredTable {
            revision: stored.revision,
            epoch: table.epoch,
        };
        self.membership.adopt_platform_table(table);
        Ok(version)
    }

    /// Renews the lease if that is due and, as the lease holder, writes the next table if one is
    /// needed.
    fn planner_step(&self, state: &mut PlannerState) -> Result<(), PlatformError> {
        let is_member = self
            .membership
            .with_ownership(|o, _| o.table().members.contains_key(&o.info().session));
        if !is_member && !state.holds_lease && is_due(&mut state.table_read_at, TABLE_POLL_INTERVAL)
        {
            self.read_table()?;
        }
        if !self.is_watcher() && !state.holds_lease {
            return Ok(());
        }
        if is_due(&mut state.lease_tried_at, LEASE_INTERVAL) {
            self.acquire_lease(state)?;
            state.record_success();
        }
        if !state.holds_lease {
            return Ok(());
        }
        let stored = match state.stored {
            Some(stored) => stored,
            None => self.read_table()?,
        };
        state.stored = Some(stored);
        if let Some(table) = self.next_table() {
            // Whether or not the write took effect, the table that is read back is adopted.
            state.stored = None;
            self.write_table(stored, &table)?;
            state.stored = Some(self.read_table()?);
            self.membership.forget_fulfilled_joins(&table);
            self.membership
                .with_ownership(|o, _| o.broadcast_versions());
        }
        Ok(())
    }

    /// Acquires the planner's lease, or renews it.
    fn acquire_lease(&self, state: &mut PlannerState) -> Result<(), PlatformError> {
        let key = PlatformKey::planner_lease(&self.environment, self.cell);
        let held = state.holds_lease;
        // If the call fails, the lease may have lapsed, so it counts as lost.
        state.holds_lease = false;
        let is_dead = |holder: &str| self.is_dead(holder);
        state.holds_lease =
            self.platform
                .acquire_lease(&key, &self.instance.to_string(), &is_dead)?;
        if state.holds_lease && !held {
            tracing::info!("planner's lease acquired");
            state.stored = None;
        }
        Ok(())
    }

    /// Returns whether all sessions of the process `holder` are known to have ended.
    fn is_dead(&self, holder: &str) -> bool {
        let Ok(instance) = holder.parse::<InstanceId>() else {
            return true;
        };
        self.membership.with_ownership(|o, _| {
            let mut sessions = o.table().members.keys().filter(|s| s.instance == instance);
            let mut ended = o
                .end_certificates()
                .keys()
                .filter(|s| s.instance == instance);
            ended.next().is_some() && sessions.all(|s| o.end_certificates().contains_key(s))
        })
    }

    /// Runs the planner; returns the next table, or `None` if no change is needed.
    fn next_table(&self) -> Option<Table> {
        let active = self.membership.active_configuration();
        let join_requests = self.membership.join_requests();
        let load_reports = self.membership.load_reports();
        self.membership.with_ownership(|o, _| {
            let input = PlanInput {
                table: o.table(),
                document: &active.document,
                document_version: active.version,
                join_requests: &join_requests,
                facts: o.facts(),
                end_certificates: o.end_certificates(),
                load_reports: &load_reports,
                planner: self.instance,
            };
            planner::plan(&input)
        })
    }

    /// Writes `table` as the successor of the `stored` one. A conflict or a lost response is not an
    /// error: the planner reads the table back in any case.
    fn write_table(&self, stored: StoredTable, table: &Table) -> Result<(), PlatformError> {
        let key = PlatformKey::table(&self.environment, self.cell);
        let malformed = |reason: String| PlatformError::Malformed {
            location: key.to_string(),
            reason,
        };
        let bytes = postcard::to_stdvec(table).map_err(|e| malformed(e.to_string()))?;
        if bytes.len() > VALUE_BYTES_MAX {
            return Err(malformed(format!(
                "the table has {} bytes, the maximum is {VALUE_BYTES_MAX}",
                bytes.len()
            )));
        }
        match self
            .platform
            .compare_and_swap(&key, stored.revision, &bytes)
        {
            Ok(SwapOutcome::Done) => tracing::info!(epoch = %table.epoch, "table written"),
            Ok(SwapOutcome::Conflict) => {
                tracing::info!(epoch = %table.epoch, "table conflict: another planner wrote first")
            }
            Err(e) => tracing::info!(epoch = %table.epoch, error = %e, "table write in doubt"),
        }
        Ok(())
    }

    /// Decodes a stored configuration and adopts it; an invalid one is logged and ignored.
    fn adopt_configuration(&self, stored: &StoredValue) {
        let configuration: Configuration = match serde_json::from_slice(&stored.bytes) {
            Ok(configuration) => configuration,
            Err(e) => {
                tracing::error!(error = %e, "the configuration in the platform is malformed");
                return;
            }
        };
        if let Err(e) = self.membership.adopt_configuration(configuration) {
            tracing::error!(error = %e, "invalid configuration rejected");
        }
    }

    /// Returns whether this daemon watches the platform. The watchers are the live members with the
    /// lowest instance ids; one member of each failure domain ranks before all others. A
    /// daemon that is not a member always watches.
    fn is_watcher(&self) -> bool {
        self.membership.with_ownership(|o, _| {
            let table = o.table();
            let live = table
                .members
                .keys()
                .filter(|s| !o.end_certificates().contains_key(s));
            let mut domains = BTreeSet::new();
            let mut ranked: Vec<(bool, InstanceId)> = Vec::new();
            for session in live {
                let first_in_domain = domains.insert(&table.members[session].info.domain);
                ranked.push((!first_in_domain, session.instance));
            }
            ranked.sort_unstable();
            let is_chosen = ranked
                .iter()
                .take(WATCHERS_MAX)
                .any(|(_, i)| *i == self.instance);
            is_chosen || !table.members.contains_key(&o.info().session)
        })
    }
}

/// The version of the table that the platform held when it was last read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoredTable {
    /// The platform's revision of the value.
    pub revision: Revision,
    /// The table's epoch.
    pub epoch: Epoch,
}

/// What the planner remembers between two steps.
#[derive(Debug, Default)]
struct PlannerState {
    platform_failing: bool,
    holds_lease: bool,
    /// The version of the table in the platform, if it is known.
    stored: Option<StoredTable>,
    lease_tried_at: Option<Instant>,
    table_read_at: Option<Instant>,
}

impl PlannerState {
    /// Marks the platform as unavailable, and logs it if it was available before.
    fn record_failure(&mut self, e: &PlatformError) {
        if !self.platform_failing {
            tracing::warn!(error = %e, "platform unavailable; joins, moves and documents wait");
        }
        self.platform_failing = true;
        self.stored = None;
    }

    /// Marks the platform as available, and logs it if it was unavailable before.
    fn record_success(&mut self) {
        if self.platform_failing {
            tracing::info!("platform available again");
        }
        self.platform_failing = false;
    }
}

/// Returns whether `interval` has passed since `last`; if so, sets `last` to now.
fn is_due(last: &mut Option<Instant>, interval: Duration) -> bool {
    let due = last.is_none_or(|at| at.elapsed() >= interval);
    if due {
        *last = Some(Instant::now());
    }
    due
}
