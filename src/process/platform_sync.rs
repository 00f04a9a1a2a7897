//! Keeps the daemon's table and configuration in step with the platform, and plans.
//!
//! A few daemons of a cell watch the configuration and compete for the planner's lease; the
//! others hear from them, and ask the platform themselves only now and then.

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

/// How many daemons of a cell watch the platform.
const WATCHERS: usize = 3;
/// How long one watch waits; a process that stops must wait for it.
const WATCH_TIME: Duration = Duration::from_secs(2);
/// How often, at the most, a daemon that does not watch asks for the configuration.
const POLL_INTERVAL_MIN: Duration = Duration::from_secs(10);
/// How often all daemons of a cell together do, however many they are.
const CELL_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// How often a daemon that is no member asks for the table.
const TABLE_INTERVAL: Duration = Duration::from_millis(500);
/// How often the planner's lease is asked for or renewed.
const HOLD_INTERVAL: Duration = Duration::from_millis(2500);
/// How often the planner looks for something to plan.
const PLAN_INTERVAL: Duration = Duration::from_millis(250);
/// How long to wait after the platform did not answer.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);
/// The largest value that the platform holds, in bytes.
const VALUE_BYTES_MAX: usize = 1024 * 1024;

/// The daemon's dealings with the platform.
pub struct PlatformSync {
    platform: Arc<dyn Platform>,
    membership: Arc<Membership>,
    environment: String,
    cell: u32,
    instance: InstanceId,
}

impl PlatformSync {
    /// Creates the dealings of the process `instance` with `platform`.
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

    /// Follows the configuration until the process stops.
    pub fn follow_configuration(&self, stop: &StopFlag) {
        let key = PlatformKey::configuration(&self.environment);
        let mut revision = Revision::default();
        let mut polled: Option<Instant> = None;
        let mut interval = self.poll_interval();
        while !stop.is_set() {
            let due = polled.is_none_or(|at| at.elapsed() >= interval);
            if !self.watches() && !due {
                stop.wait(FAILURE_PAUSE);
                continue;
            }
            let watching = self.watches() && polled.is_some();
            let read = match watching {
                true => self.platform.watch(&key, revision, WATCH_TIME),
                false => self.platform.read(&key),
            };
            polled = Some(Instant::now());
            interval = self.poll_interval();
            match read {
                Ok(Some(stored)) => {
                    revision = stored.revision;
                    self.adopt_configuration(&stored);
                }
                Ok(None) if !watching => {}
                Ok(None) => {
                    // An absent value answers at once.
                    stop.wait(FAILURE_PAUSE);
                }
                Err(e) => {
                    tracing::debug!(error = %e, "configuration not read");
                    stop.wait(FAILURE_PAUSE);
                }
            }
        }
    }

    /// Draws how long to wait before the next poll, so that the cell's polls spread over time.
    fn poll_interval(&self) -> Duration {
        let members = self.membership.table().members.len();
        let all = CELL_POLL_INTERVAL * u32::try_from(members).unwrap_or(u32::MAX);
        all.max(POLL_INTERVAL_MIN)
            .mul_f64(rand::random_range(0.5..1.5))
    }

    /// Follows the table as long as this daemon is no member, and plans while it holds the
    /// planner's lease, until the process stops.
    pub fn plan(&self, stop: &StopFlag) {
        let mut plan = Planning::default();
        while !stop.wait(PLAN_INTERVAL) {
            if let Err(e) = self.plan_once(&mut plan) {
                plan.note_failure(&e);
                stop.wait(FAILURE_PAUSE);
            }
        }
        if plan.holds
            && let Err(e) = self.platform.release_leases()
        {
            tracing::debug!(error = %e, "the planner's lease was not given back");
        }
    }

    /// Reads the table from the platform and adopts it.
    ///
    /// # Errors
    ///
    /// Returns an error where the platform does not answer well.
    pub fn read_table(&self) -> Result<Base, PlatformError> {
        let key = PlatformKey::table(&self.environment, self.cell);
        let Some(stored) = self.platform.read(&key)? else {
            return Ok(Base::default());
        };
        let table: Table =
            postcard::from_bytes(&stored.bytes).map_err(|e| PlatformError::Malformed {
                location: key.to_string(),
                reason: e.to_string(),
            })?;
        let base = Base {
            revision: stored.revision,
            epoch: table.epoch,
        };
        self.membership.adopt_platform_table(table);
        Ok(base)
    }

    fn plan_once(&self, plan: &mut Planning) -> Result<(), PlatformError> {
        let is_member = self
            .membership
            .with_ownership(|o, _| o.table().members.contains_key(&o.info().session));
        if !is_member && !plan.holds && due(&mut plan.read_at, TABLE_INTERVAL) {
            self.read_table()?;
        }
        if !self.watches() && !plan.holds {
            return Ok(());
        }
        if due(&mut plan.hold_at, HOLD_INTERVAL) {
            self.hold(plan)?;
            plan.note_answer();
        }
        if !plan.holds {
            return Ok(());
        }
        let base = match plan.base {
            Some(base) => base,
            None => self.read_table()?,
        };
        plan.base = Some(base);
        if let Some(table) = self.next_table() {
            // Whatever becomes of the write, what the platform holds then decides.
            plan.base = None;
            self.write(base, &table)?;
            plan.base = Some(self.read_table()?);
            self.membership.forget_fulfilled_joins(&table);
            self.membership
                .with_ownership(|o, _| o.broadcast_versions());
        }
        Ok(())
    }

    /// Asks for the planner's lease, or renews it.
    fn hold(&self, plan: &mut Planning) -> Result<(), PlatformError> {
        let key = PlatformKey::planner(&self.environment, self.cell);
        let held = plan.holds;
        // A lease that may have lapsed is not held.
        plan.holds = false;
        let is_dead = |holder: &str| self.is_dead(holder);
        plan.holds = self
            .platform
            .acquire_lease(&key, &self.instance.to_string(), &is_dead)?;
        if plan.holds && !held {
            tracing::info!("planner's lease taken");
            plan.base = None;
        }
        Ok(())
    }

    /// Returns whether the process `holder` is known to have no session left.
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

    fn next_table(&self) -> Option<Table> {
        let active = self.membership.active_configuration();
        let joins = self.membership.join_requests();
        let loads = self.membership.load_reports();
        self.membership.with_ownership(|o, _| {
            let input = PlanInput {
                table: o.table(),
                document: &active.document,
                document_version: active.version,
                join_requests: &joins,
                facts: o.facts(),
                end_certificates: o.end_certificates(),
                load_reports: &loads,
                planner: self.instance,
            };
            planner::plan(&input)
        })
    }

    fn write(&self, base: Base, table: &Table) -> Result<(), PlatformError> {
        let key = PlatformKey::table(&self.environment, self.cell);
        let malformed = |reason: String| PlatformError::Malformed {
            location: key.to_string(),
            reason,
        };
        let bytes = postcard::to_stdvec(table).map_err(|e| malformed(e.to_string()))?;
        if bytes.len() > VALUE_BYTES_MAX {
            return Err(malformed(format!(
                "a table of {} bytes does not fit",
                bytes.len()
            )));
        }
        match self.platform.compare_and_swap(&key, base.revision, &bytes) {
            Ok(SwapOutcome::Done) => tracing::info!(epoch = %table.epoch, "table written"),
            Ok(SwapOutcome::Conflict) => {
                tracing::info!(epoch = %table.epoch, "another planner wrote")
            }
            Err(e) => tracing::info!(epoch = %table.epoch, error = %e, "write in doubt"),
        }
        Ok(())
    }

    fn adopt_configuration(&self, stored: &StoredValue) {
        let configuration: Configuration = match serde_json::from_slice(&stored.bytes) {
            Ok(configuration) => configuration,
            Err(e) => {
                tracing::error!(error = %e, "the platform holds a malformed configuration");
                return;
            }
        };
        if let Err(e) = self.membership.adopt_configuration(configuration) {
            tracing::error!(error = %e, "configuration refused");
        }
    }

    /// Returns whether this daemon is one of the few that watch the platform.
    fn watches(&self) -> bool {
        self.membership.with_ownership(|o, _| {
            let table = o.table();
            let live = table
                .members
                .keys()
                .filter(|s| !o.end_certificates().contains_key(s));
            let mut domains = BTreeSet::new();
            let mut ranked: Vec<(bool, InstanceId)> = Vec::new();
            for session in live {
                let first_there = domains.insert(&table.members[session].info.domain);
                ranked.push((!first_there, session.instance));
            }
            ranked.sort_unstable();
            let chosen = ranked
                .iter()
                .take(WATCHERS)
                .any(|(_, i)| *i == self.instance);
            chosen || !table.members.contains_key(&o.info().session)
        })
    }
}

/// The table that the platform held when it was last read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Base {
    /// The platform's version of the value.
    pub revision: Revision,
    /// The table's epoch.
    pub epoch: Epoch,
}

/// Where the planner is.
#[derive(Debug, Default)]
struct Planning {
    failing: bool,
    holds: bool,
    base: Option<Base>,
    hold_at: Option<Instant>,
    read_at: Option<Instant>,
}

impl Planning {
    /// Tells once that the platform can't be used.
    fn note_failure(&mut self, e: &PlatformError) {
        if !self.failing {
            tracing::warn!(error = %e, "the platform can't be used; joins, moves and documents wait");
        }
        self.failing = true;
        self.base = None;
    }

    /// Tells once that the platform can be used again.
    fn note_answer(&mut self) {
        if self.failing {
            tracing::info!("the platform can be used again");
        }
        self.failing = false;
    }
}

/// Returns whether `interval` has passed since the time in `at`, and notes the time then.
fn due(at: &mut Option<Instant>, interval: Duration) -> bool {
    let due = at.is_none_or(|at| at.elapsed() >= interval);
    if due {
        *at = Some(Instant::now());
    }
    due
}
