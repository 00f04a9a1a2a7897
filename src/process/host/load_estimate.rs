//! Estimates the load of one upstream from its latest report, whose age grows until the next reply.
//! Performs no I/O: callers pass in the time.

use std::time::Duration;

use crate::process::host::run_times;
use crate::process::host::upstream_selector::AttemptOutcome;
use crate::process::moment::Moment;
use crate::request::upstream_load::UpstreamLoad;

/// Assumed run time of an upstream without a report, as a multiple of the typical one. Above 1, so
/// that an upstream that joins gets its first requests slowly.
const UNKNOWN_RUN_TIME_FACTOR: f64 = 2.0;
/// Time constant of the decay of a reported load towards the typical one, in mean run times.
const LOAD_DECAY_RUNS: f64 = 8.0;
/// Time for which an own request may be in progress before it counts as queued, in mean run times.
/// With 3, there were up to 16 % more overruns; with 1, daemons whose requests differ in run time by a
/// factor of ten sent more to other domains.
const UNQUEUED_RUNS: f64 = 2.0;
/// Longest queue that is concluded from an own request, in mean run times: the request may just take
/// long. With 2, there were up to 10 % more overruns, and without a limit up to 8 %.
const QUEUED_RUNS_MAX: f64 = 4.0;
/// Smallest run time that counts, as a fraction of the typical one. An upstream that fails at once
/// reports a very short run time.
const RUN_TIME_MIN_FRACTION: f64 = 0.25;
/// Weight of a new outcome in the failure rate.
const FAILURE_WEIGHT: f64 = 0.25;
/// Time constant of the decay of the failure rate.
const FAILURE_DECAY: Duration = Duration::from_secs(2);
/// Weight of a new network time in the moving average.
const NETWORK_TIME_WEIGHT: f64 = 0.3;
/// Time constant of the decay of the network time.
const NETWORK_TIME_DECAY: Duration = Duration::from_secs(2);

/// What is typical of the compared upstreams.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TypicalLoad {
    /// Mean reported utilization, 0 to 1.
    pub utilization: f64,
    /// Median of the reported mean run times, in microseconds.
    pub run_micros: f64,
}

/// The expected load of an upstream at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExpectedLoad {
    /// Number of requests that the upstream runs at once; at least 1.
    pub slots: f64,
    /// Expected number of requests, queued ones included.
    pub requests: f64,
    /// Standard deviation of `requests`, which grows with the age of the report.
    pub deviation: f64,
    /// Mean run time of a request, in microseconds.
    pub run_micros: f64,
    /// Round-trip network time, in microseconds.
    pub network_micros: f64,
    /// Failure rate, 0 to 1.
    pub failure_rate: f64,
}

/// What a daemon has observed of one upstream.
#[derive(Clone, Debug, Default)]
pub struct LoadEstimate {
    /// Latest reported load and when it was received.
    report: Option<(UpstreamLoad, Moment)>,
    /// When the requests that this daemon has at the upstream were sent.
    sent_at: Vec<Moment>,
    /// Failure rate as of `last_ended_at`, 0 to 1.
    failure_rate: f64,
    last_ended_at: Moment,
    /// Round-trip network time as of `last_ended_at`, in microseconds.
    network_micros: f64,
}

impl TypicalLoad {
    /// Returns what is typical of `estimates`.
    pub fn of<'e>(estimates: impl IntoIterator<Item = &'e LoadEstimate>) -> Self {
        let reports = estimates.into_iter().filter_map(|e| e.report);
        let (mut utilizations, mut run_times) = (0.0, Vec::new());
        for (load, _) in reports {
            utilizations += (requests(&load) / f64::from(load.slots.max(1))).min(1.0);
            run_times.push(f64::from(load.mean_micros.max(1)));
        }
        if run_times.is_empty() {
            return Self {
                utilization: 0.0,
                run_micros: run_times::INITIAL_MEAN_MICROS,
            };
        }
        let utilization = utilizations / run_times.len() as f64;
        let middle = run_times.len() / 2;
        let (_, &mut run_micros, _) = run_times.select_nth_unstable_by(middle, f64::total_cmp);
        Self {
            utilization,
            run_micros,
        }
    }
}

impl ExpectedLoad {
    /// Returns the expected share of free slots, 0 to 1.
    pub fn free_share(&self) -> f64 {
        (1.0 - self.requests / self.slots).max(0.0)
    }

    /// Returns the expected time that one more request waits in the queue, in microseconds.
    pub fn wait_micros(&self) -> f64 {
        let excess = expected_excess(self.requests + 1.0 - self.slots, self.deviation);
        self.run_micros * excess / self.slots
    }

    /// Returns the time that a request takes without a queue, in microseconds.
    pub fn service_micros(&self) -> f64 {
        self.run_micros + self.network_micros
    }
}

impl LoadEstimate {
    /// Records that this daemon sends a request to the upstream.
    pub fn record_start(&mut self, now: Moment) {
        self.sent_at.push(now);
    }

    /// Records the outcome of a request.
    pub fn record_end(&mut self, now: Moment, outcome: AttemptOutcome) {
        self.remove_sent(now - outcome.duration);
        let previous = self.failure_rate(now);
        let failed = if outcome.failed { 1.0 } else { 0.0 };
        self.failure_rate = previous + (failed - previous) * FAILURE_WEIGHT;
        let reported = outcome.load.unwrap_or_default();
        let at_upstream =
            Duration::from_millis(u64::from(reported.waited_ms) + u64::from(reported.ran_ms));
        let network = outcome.duration.saturating_sub(at_upstream).as_micros() as f64;
        let before = self.network_micros(now);
        self.network_micros = before + (network - before) * NETWORK_TIME_WEIGHT;
        self.last_ended_at = now;
        self.report = outcome.load.map(|load| (load, now)).or(self.report);
    }

    /// Returns the age of the latest report.
    pub fn report_age(&self, now: Moment) -> Option<Duration> {
        self.report.map(|(_, at)| now.since(at))
    }

    /// Returns the expected load of an upstream with `slots` slots.
    ///
    /// A report counts less the older it is: the requests that it names end, and the other daemons
    /// send theirs, of which this one knows nothing but the typical load. An own request that is in
    /// progress for long tells of a queue before any reply does.
    pub fn expected(&self, now: Moment, slots: u32, typical: &TypicalLoad) -> ExpectedLoad {
        let slots = f64::from(slots.max(1));
        let typical_requests = typical.utilization * slots;
        let (run_micros, weight, reported) = match self.report {
            Some((load, at)) => {
                let run_micros = match load.mean_micros {
                    0 => typical.run_micros,
                    micros => f64::from(micros),
                };
                let run_micros = run_micros.max(typical.run_micros * RUN_TIME_MIN_FRACTION);
                let age_runs = now.since(at).as_micros() as f64 / run_micros;
                let weight = (-age_runs / LOAD_DECAY_RUNS).exp();
                (run_micros, weight, requests(&load))
            }
            None => (
                typical.run_micros * UNKNOWN_RUN_TIME_FACTOR,
                0.0,
                typical_requests,
            ),
        };
        let requests = typical_requests + (reported - typical_requests) * weight;
        let variance = typical_requests.max(1.0) * (1.0 - weight * weight);
        ExpectedLoad {
            slots,
            requests: requests
                .max(self.sent_at.len() as f64)
                .max(slots * self.queued_runs(now, run_micros)),
            deviation: variance.sqrt(),
            run_micros,
            network_micros: self.network_micros(now),
            failure_rate: self.failure_rate(now),
        }
    }

    /// Removes the request that was sent at `sent_at`.
    fn remove_sent(&mut self, sent_at: Moment) {
        match self.sent_at.iter().position(|&s| s >= sent_at) {
            Some(index) => {
                self.sent_at.remove(index);
            }
            None => {
                self.sent_at.pop();
            }
        }
    }

    /// Returns for how long the oldest request of this daemon is taken to be queued, in mean run
    /// times. In each, the upstream ends as many requests as it has slots.
    fn queued_runs(&self, now: Moment, run_micros: f64) -> f64 {
        let oldest = self.sent_at.iter().min();
        let elapsed = oldest.map_or(Duration::ZERO, |&s| now.since(s));
        (elapsed.as_micros() as f64 / run_micros - UNQUEUED_RUNS).clamp(0.0, QUEUED_RUNS_MAX)
    }

    /// Returns the round-trip network time to the upstream, in microseconds.
    fn network_micros(&self, now: Moment) -> f64 {
        self.network_micros * decay(now.since(self.last_ended_at), NETWORK_TIME_DECAY)
    }

    fn failure_rate(&self, now: Moment) -> f64 {
        self.failure_rate * decay(now.since(self.last_ended_at), FAILURE_DECAY)
    }
}

/// Returns the number of requests that a report names, queued ones included.
fn requests(load: &UpstreamLoad) -> f64 {
    f64::from(load.in_flight) + f64::from(load.waiting)
}

fn decay(age: Duration, time_constant: Duration) -> f64 {
    (-age.as_secs_f64() / time_constant.as_secs_f64()).exp()
}

/// Returns the mean of the positive part of a variable with the given mean and standard deviation.
///
/// The variable has a logistic distribution, for which there is a closed form and which is close to
/// the normal one.
fn expected_excess(mean: f64, deviation: f64) -> f64 {
    let scale = deviation * 3.0f64.sqrt() / std::f64::consts::PI;
    // Beyond 30 scales the exponential function adds nothing and would overflow.
    if scale <= 0.0 || mean > 30.0 * scale {
        return mean.max(0.0);
    }
    scale * (mean / scale).exp().ln_1p()
}
