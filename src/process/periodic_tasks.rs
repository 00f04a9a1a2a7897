//! The periodic tasks of a daemon: checks the health of the local upstream, reports its load to the
//! planner, and resigns the session if the upstream is lost and its slices are not moved.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::process::key_owner::KeyOwner;
use crate::process::lease_times::LeaseTimes;
use crate::process::load_report::{LoadReport, SliceLoad};
use crate::process::membership::Membership;
use crate::process::metrics::Metrics;
use crate::process::stop_flag::StopFlag;
use crate::process::upstream_dispatcher::{DispatcherLoad, UpstreamDispatcher};
use crate::version::epoch::Epoch;
use crate::version::member::WEIGHT_FULL;
use crate::version::service::Policy;

/// How often the tasks run.
const TASK_INTERVAL: Duration = Duration::from_millis(100);
/// The interval of the upstream's health checks, which is also the timeout of each.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// How many health checks in a row must fail for the upstream to count as frozen.
const FAILED_PROBES_MAX: u32 = 4;
/// How long the planner may take to move the slices of a daemon without an upstream, before the
/// daemon resigns its session.
const RESIGN_AFTER: Duration = Duration::from_millis(1500);
/// How often the load is reported.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// The multiple to which a daemon's weight is rounded up, in per mille.
const WEIGHT_STEP: u32 = 250;
/// The maximum number of slices in a load report; those with the highest rates are kept.
const REPORT_SLICES_MAX: usize = 16;

/// The periodic tasks of a daemon.
pub struct PeriodicTasks {
    membership: Arc<Membership>,
    dispatcher: Arc<UpstreamDispatcher>,
    owner: Arc<KeyOwner>,
    metrics: Arc<Metrics>,
    times: LeaseTimes,
}

/// What the tasks remember from one run to the next.
struct TaskState {
    started_at: Instant,
    probed_at: Instant,
    /// The number of health checks that failed in a row.
    failed_probes: u32,
    /// Since when this daemon has had slices and no upstream.
    without_upstream_since: Option<Instant>,
    reported_at: Instant,
    /// The epoch of the table at the last load report.
    reported_epoch: Epoch,
}

impl PeriodicTasks {
    /// Creates the tasks of a daemon.
    pub fn new(
        membership: Arc<Membership>,
        dispatcher: Arc<UpstreamDispatcher>,
        owner: Arc<KeyOwner>,
        metrics: Arc<Metrics>,
        times: LeaseTimes,
    ) -> Self {
        Self {
            membership,
            dispatcher,
            owner,
            metrics,
            times,
        }
    }

    /// Runs the tasks until `stop` is set.
    pub fn run(&self, stop: &StopFlag) {
        let now = Instant::now();
        let mut state = TaskState {
            started_at: now,
            probed_at: now,
            failed_probes: 0,
            without_upstream_since: None,
            reported_at: now,
            reported_epoch: Epoch::default(),
        };
        while !stop.wait(TASK_INTERVAL) {
            self.owner.open_served_slices();
            self.end_former_sessions(&state);
            self.probe_upstream(&mut state);
            self.resign_without_upstream(&mut state);
            self.report_load(&mut state);
        }
    }

    /// Declares the sessions of former processes on this daemon's address ended, once no request
    /// can still reach them and a table was read that is newer than any table they had.
    fn end_former_sessions(&self, state: &TaskState) {
        let former_leases_expired = state.started_at.elapsed() > self.times.former_process_delay();
        if former_leases_expired && self.membership.has_read_platform() {
            self.membership
                .with_ownership(|o, now| o.end_former_sessions(now));
        }
    }

    /// Checks the health of the upstream, and closes the connection to it after several failures in
    /// a row.
    fn probe_upstream(&self, state: &mut TaskState) {
        if state.probed_at.elapsed() < PROBE_INTERVAL {
            return;
        }
        state.probed_at = Instant::now();
        let Some(client) = self.dispatcher.client() else {
            state.failed_probes = 0;
            self.withdraw_upstream();
            return;
        };
        match client.health(PROBE_INTERVAL) {
            Ok(_) => state.failed_probes = 0,
            Err(e) => {
                state.failed_probes += 1;
                tracing::debug!(error = %e, "the upstream's health check failed");
            }
        }
        if state.failed_probes >= FAILED_PROBES_MAX {
            tracing::warn!("upstream closed: it is frozen or gone");
            self.dispatcher.remove_upstream();
            self.withdraw_upstream();
        }
    }

    /// Removes the upstream from this daemon's member info, which the planner reads.
    fn withdraw_upstream(&self) {
        self.membership.with_ownership(|o, now| {
            if o.info().upstream.is_some() {
                o.update_info(now, |info| info.upstream = None);
            }
        });
    }

    /// Resigns the session if the planner does not move the slices of a lost upstream in time.
    fn resign_without_upstream(&self, state: &mut TaskState) {
        let needs_move = self.dispatcher.client().is_none()
            && self.membership.with_ownership(|o, _| {
                let own = o.info().session;
                let mut assignments = o.table().assignments();
                assignments.any(|(_, _, a)| a.rank(own).is_some())
            });
        if !needs_move {
            state.without_upstream_since = None;
            return;
        }
        let since = *state
            .without_upstream_since
            .get_or_insert_with(Instant::now);
        if since.elapsed() <= RESIGN_AFTER {
            return;
        }
        // A frozen upstream may still finish a request. A request ends at the latest when the lease
        // under which it was sent lapses.
        let resigned = self.dispatcher.run_if_idle(|| {
            tracing::warn!(
                "session resigned: the planner did not move its slices after the upstream was lost"
            );
            self.membership.with_ownership(|o, now| o.resign(now));
        });
        if resigned.is_some() {
            state.without_upstream_since = None;
        }
    }

    /// Reports the upstream's load and weight to the planner every `REPORT_INTERVAL`.
    fn report_load(&self, state: &mut TaskState) {
        let span = state.reported_at.elapsed();
        if span < REPORT_INTERVAL {
            return;
        }
        state.reported_at = Instant::now();
        let load = self.dispatcher.load();
        self.metrics
            .record_upstream_load(load.in_flight, load.limit, load.waiting);
        if self.dispatcher.client().is_none() {
            return;
        }
        let rate = |requests: u64| (requests as f64 / span.as_secs_f64()) as u32;
        let served = self.dispatcher.take_request_counts();
        let mut slices: Vec<SliceLoad> = served
            .iter()
            .map(|(&slice, &n)| SliceLoad {
                slice,
                rate: rate(n),
            })
            .collect();
        slices.sort_by_key(|s| std::cmp::Reverse(s.rate));
        let total = rate(served.values().sum());
        slices.truncate(REPORT_SLICES_MAX);
        let epoch = std::mem::replace(&mut state.reported_epoch, self.membership.table().epoch);
        let report = LoadReport {
            session: None,
            epoch,
            slices,
            ranges: Vec::new(),
            rate: total,
            utilization: utilization_per_mille(total, &load),
            capacity: load.capacity,
        };
        self.membership.report_load(report);
        self.update_weight(&load);
    }

    /// Publishes the weight of the upstream, rounded up so that small changes of its share do not
    /// change the member info.
    fn update_weight(&self, load: &DispatcherLoad) {
        let weight = match load.policy {
            Policy::Baseline => WEIGHT_FULL,
            Policy::Adaptive => load.share.next_multiple_of(WEIGHT_STEP).min(WEIGHT_FULL),
        };
        self.membership.with_ownership(|o, now| {
            if o.info().weight != weight {
                o.update_info(now, |info| info.weight = weight);
            }
        });
    }
}

/// Returns the share of the upstream's slots that `rate` requests per second occupy, in per mille.
fn utilization_per_mille(rate: u32, load: &DispatcherLoad) -> u32 {
    let slots_in_use = f64::from(rate) * load.mean_micros as f64 / 1e6;
    (slots_in_use / f64::from(load.slots.max(1)) * 1000.0) as u32
}
