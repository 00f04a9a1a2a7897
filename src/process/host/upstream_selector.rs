//! Selects one of the equivalent upstreams of a service, from the latency, load and failures that
//! this daemon observed.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use rand::seq::IteratorRandom;

use crate::process::moment::Moment;
use crate::process::sync;
use crate::request::upstream_load::UpstreamLoad;
use crate::version::domain_name::DomainName;
use crate::version::instance_id::InstanceId;
use crate::version::member::Member;

/// Assumed mean run time at an upstream without observations, in microseconds.
const INITIAL_MEAN_MICROS: f64 = 100_000.0;
/// Time constant of the decay of a reported load.
const LOAD_DECAY: Duration = Duration::from_millis(400);
/// Cost of sending a request to another failure domain, in microseconds.
const CROSS_DOMAIN_MICROS: f64 = 15_000.0;
/// Additional cost of each byte of a body that is sent to another failure domain, in microseconds.
const CROSS_DOMAIN_MICROS_PER_BYTE: f64 = 1.5;
/// Weight of a new outcome in the failure rate.
const FAILURE_WEIGHT: f64 = 0.1;
/// Time constant of the decay of the failure rate.
const FAILURE_DECAY: Duration = Duration::from_secs(4);
/// Relative cost added to an upstream that always fails; scaled by the failure rate.
const FAILURE_COST_FACTOR: f64 = 8.0;
/// Weight of a new network time in the moving average.
const NETWORK_TIME_WEIGHT: f64 = 0.3;
/// Time constant of the decay of the network time.
const NETWORK_TIME_DECAY: Duration = Duration::from_secs(2);
/// Maximum number of upstreams that are all compared; of more, a random sample is compared.
const COMPARE_ALL_MAX: usize = 8;
/// Number of upstreams in the caller's failure domain in the random sample. If all upstreams were
/// compared, all daemons would choose the same one from outdated loads.
const LOCAL_SAMPLES: usize = 2;
/// Number of upstreams in other failure domains in the random sample.
const REMOTE_SAMPLES: usize = 1;

/// Observed outcome of one request to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct AttemptOutcome {
    /// Whether the request failed.
    pub failed: bool,
    /// Total duration, network time included.
    pub duration: Duration,
    /// Load that the upstream's daemon reported with the outcome.
    pub load: Option<UpstreamLoad>,
}

#[derive(Clone, Copy, Debug, Default)]
struct UpstreamStats {
    /// Latest reported load, received at `load_at`.
    load: UpstreamLoad,
    load_at: Moment,
    /// Requests that this daemon has at the upstream.
    in_flight: u32,
    /// Failure rate as of `last_ended_at`, 0 to 1.
    failure_rate: f64,
    last_ended_at: Moment,
    /// Round-trip network time as of `last_ended_at`, in microseconds.
    network_micros: f64,
}

/// Observations of the upstreams of all services.
#[derive(Debug, Default)]
pub struct UpstreamSelector {
    stats: Mutex<HashMap<InstanceId, UpstreamStats>>,
}

impl UpstreamSelector {
    /// Selects the upstream with the lowest expected cost for a request with a body of `bytes` from
    /// the failure domain `domain`. Only `members` that are not in `tried` are considered.
    pub fn select<'m>(
        &self,
        now: Moment,
        members: &'m [Member],
        tried: &[InstanceId],
        domain: &DomainName,
        bytes: usize,
    ) -> Option<&'m Member> {
        let stats = sync::lock(&self.stats);
        let untried = members
            .iter()
            .filter(|m| !tried.contains(&m.info.session.instance));
        let costs = sample_candidates(untried.collect(), domain)
            .into_iter()
            .map(|m| {
                let known = stats.get(&m.info.session.instance).copied();
                let mut cost = known.unwrap_or_default().cost(now, m);
                if m.info.domain != *domain {
                    cost += CROSS_DOMAIN_MICROS + CROSS_DOMAIN_MICROS_PER_BYTE * bytes as f64;
                }
                // Random noise breaks ties, so that the daemons don't all choose the same upstream.
                (cost + rand::random::<f64>() * CROSS_DOMAIN_MICROS / 4.0, m)
            });
        costs.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, m)| m)
    }

    /// Records that a request is sent to an upstream.
    pub fn call_started(&self, instance: InstanceId) {
        sync::lock(&self.stats)
            .entry(instance)
            .or_default()
            .in_flight += 1;
    }

    /// Records the outcome of a request.
    pub fn call_ended(&self, now: Moment, instance: InstanceId, outcome: AttemptOutcome) {
        let mut stats = sync::lock(&self.stats);
        let upstream = stats.entry(instance).or_default();
        upstream.in_flight = upstream.in_flight.saturating_sub(1);
        let previous = upstream.failure_rate(now);
        let failed = if outcome.failed { 1.0 } else { 0.0 };
        upstream.failure_rate = previous + (failed - previous) * FAILURE_WEIGHT;
        let reported = outcome.load.unwrap_or_default();
        let at_upstream =
            Duration::from_millis(u64::from(reported.waited_ms) + u64::from(reported.ran_ms));
        let network = outcome.duration.saturating_sub(at_upstream).as_micros() as f64;
        let before = upstream.network_time(now);
        upstream.network_micros = before + (network - before) * NETWORK_TIME_WEIGHT;
        upstream.last_ended_at = now;
        if let Some(load) = outcome.load {
            upstream.load = load;
            upstream.load_at = now;
        }
    }

    /// Drops the observations of daemons for which `keep` returns false.
    pub fn retain(&self, keep: impl Fn(InstanceId) -> bool) {
        sync::lock(&self.stats).retain(|&i, _| keep(i));
    }
}

/// Returns the upstreams to compare: all if there are few, else a random sample.
fn sample_candidates<'m>(untried: Vec<&'m Member>, domain: &DomainName) -> Vec<&'m Member> {
    if untried.len() <= COMPARE_ALL_MAX {
        return untried;
    }
    let (local, remote): (Vec<_>, Vec<_>) =
        untried.into_iter().partition(|m| m.info.domain == *domain);
    let mut rng = rand::rng();
    let remote_samples = REMOTE_SAMPLES + LOCAL_SAMPLES.saturating_sub(local.len());
    let mut sampled = local.into_iter().sample(&mut rng, LOCAL_SAMPLES);
    sampled.extend(remote.into_iter().sample(&mut rng, remote_samples));
    sampled
}

impl UpstreamStats {
    /// Returns the expected cost of one more request, in microseconds.
    fn cost(&self, now: Moment, member: &Member) -> f64 {
        let slots = member.info.upstream.as_ref().map_or(1, |u| u.slots);
        let mean = match self.load.mean_micros {
            0 => INITIAL_MEAN_MICROS,
            micros => f64::from(micros),
        };
        let age = now.since(self.load_at).as_secs_f64() / LOAD_DECAY.as_secs_f64();
        let reported = f64::from(self.load.in_flight) + f64::from(self.load.waiting);
        let reported = reported * (-age).exp();
        let load = reported.max(f64::from(self.in_flight));
        let excess = (load + 1.0 - f64::from(slots)).max(0.0);
        let work = mean * (1.0 + load / f64::from(slots) * 0.25);
        let failure_factor = 1.0 + self.failure_rate(now) * FAILURE_COST_FACTOR;
        (work + mean * excess / f64::from(slots)) * failure_factor + self.network_time(now)
    }

    /// Returns the round-trip network time to the upstream, in microseconds.
    fn network_time(&self, now: Moment) -> f64 {
        let age = now.since(self.last_ended_at).as_secs_f64() / NETWORK_TIME_DECAY.as_secs_f64();
        self.network_micros * (-age).exp()
    }

    fn failure_rate(&self, now: Moment) -> f64 {
        let age = now.since(self.last_ended_at).as_secs_f64() / FAILURE_DECAY.as_secs_f64();
        self.failure_rate * (-age).exp()
    }
}
