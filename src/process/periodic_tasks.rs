//! Watches the upstream beside the daemon, and reports its load.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::process::gate::{Gate, GateLoad};
use crate::process::key_owner::KeyOwner;
use crate::process::lease_times::LeaseTimes;
use crate::process::load_report::{LoadReport, SliceLoad};
use crate::process::membership::Membership;
use crate::process::metrics::Metrics;
use crate::process::stop_flag::StopFlag;
use crate::version::epoch::Epoch;
use crate::version::member::WEIGHT_FULL;
use crate::version::service::Policy;

/// How often the duties are looked at.
const ROUND: Duration = Duration::from_millis(100);
/// How often the upstream's health is asked for, and how long the answer may take.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// How many probes in a row must fail for the upstream to count as frozen.
const PROBES_FAILED_MAX: u32 = 4;
/// How long the planner may take to move the slices of a daemon without an upstream.
const RESIGN_AFTER: Duration = Duration::from_millis(1500);
/// How often the load is reported.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// The steps in which a daemon's weight is told, in per mille.
const WEIGHT_STEP: u32 = 250;
/// The most slices in a load report.
const REPORT_SLICES_MAX: usize = 16;

/// The regular duties of a daemon.
pub struct PeriodicTasks {
    membership: Arc<Membership>,
    gate: Arc<Gate>,
    owner: Arc<KeyOwner>,
    metrics: Arc<Metrics>,
    times: LeaseTimes,
}

/// What the duties remember from round to round.
struct Round {
    started: Instant,
    probed: Instant,
    probes_failed: u32,
    without_upstream: Option<Instant>,
    reported: Instant,
    epoch: Epoch,
}

impl PeriodicTasks {
    /// Creates the duties.
    pub fn new(
        membership: Arc<Membership>,
        gate: Arc<Gate>,
        owner: Arc<KeyOwner>,
        metrics: Arc<Metrics>,
        times: LeaseTimes,
    ) -> Self {
        Self {
            membership,
            gate,
            owner,
            metrics,
            times,
        }
    }

    /// Does the duties until the process stops.
    pub fn run(&self, stop: &StopFlag) {
        let now = Instant::now();
        let mut round = Round {
            started: now,
            probed: now,
            probes_failed: 0,
            without_upstream: None,
            reported: now,
            epoch: Epoch::default(),
        };
        while !stop.wait(ROUND) {
            self.owner.open_served_slices();
            self.succeed_address(&round);
            self.probe(&mut round);
            self.resign_without_upstream(&mut round);
            self.report(&mut round);
        }
    }

    /// States the end of former processes on this daemon's address, once nothing can still go to
    /// them and a table was read that is newer than any they had.
    fn succeed_address(&self, round: &Round) {
        let waited =
            round.started.elapsed() > self.times.expiry_delay() + self.times.renewal_interval;
        if waited && self.membership.has_read_platform() {
            self.membership
                .with_ownership(|o, now| o.end_former_sessions(now));
        }
    }

    fn probe(&self, round: &mut Round) {
        if round.probed.elapsed() < PROBE_INTERVAL {
            return;
        }
        round.probed = Instant::now();
        let Some(link) = self.gate.link() else {
            round.probes_failed = 0;
            self.lose_upstream();
            return;
        };
        match link.health(PROBE_INTERVAL) {
            Ok(_) => round.probes_failed = 0,
            Err(e) => {
                round.probes_failed += 1;
                tracing::debug!(error = %e, "the upstream does not answer");
            }
        }
        if round.probes_failed >= PROBES_FAILED_MAX {
            tracing::warn!("the upstream is frozen or gone");
            self.gate.close();
            self.lose_upstream();
        }
    }

    /// Tells the planner that there is no upstream here.
    fn lose_upstream(&self) {
        self.membership.with_ownership(|o, now| {
            if o.info().upstream.is_some() {
                o.update_info(now, |info| info.upstream = None);
            }
        });
    }

    /// Ends the session where the planner does not move the slices of a lost upstream in time.
    fn resign_without_upstream(&self, round: &mut Round) {
        let stuck = self.gate.link().is_none()
            && self.membership.with_ownership(|o, _| {
                let me = o.info().session;
                let mut all = o.table().assignments();
                all.any(|(_, _, a)| a.rank(me).is_some())
            });
        if !stuck {
            round.without_upstream = None;
            return;
        }
        let since = *round.without_upstream.get_or_insert_with(Instant::now);
        // A frozen upstream may still end an order; each ends by itself with its lease.
        let idle = self.gate.wait_idle(Duration::ZERO, |_| true);
        if since.elapsed() > RESIGN_AFTER && idle {
            round.without_upstream = None;
            tracing::warn!("session resigned: no upstream");
            self.membership.with_ownership(|o, now| o.resign(now));
        }
    }

    fn report(&self, round: &mut Round) {
        let span = round.reported.elapsed();
        if span < REPORT_INTERVAL {
            return;
        }
        round.reported = Instant::now();
        let load = self.gate.load();
        self.metrics
            .record_upstream_load(load.in_flight, load.limit, load.waiting);
        if self.gate.link().is_none() {
            return;
        }
        let rate = |orders: u64| (orders as f64 / span.as_secs_f64()) as u32;
        let served = self.gate.take_served();
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
        let epoch = std::mem::replace(&mut round.epoch, self.membership.table().epoch);
        let report = LoadReport {
            session: None,
            epoch,
            slices,
            ranges: Vec::new(),
            rate: total,
            utilization: busy_per_mille(total, &load),
            capacity: load.capacity,
        };
        self.membership.report_load(report);
        self.tell_weight(&load);
    }

    /// Tells the planner how much of its full share the upstream gets, in coarse steps.
    fn tell_weight(&self, load: &GateLoad) {
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

/// Returns how much of the upstream's slots `rate` requests a second take.
fn busy_per_mille(rate: u32, load: &GateLoad) -> u32 {
    let in_use = f64::from(rate) * load.mean_micros as f64 / 1e6;
    (in_use / f64::from(load.slots.max(1)) * 1000.0) as u32
}
