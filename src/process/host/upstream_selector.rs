//! Which of the equal upstreams of a service gets a request, from what this daemon saw of them.

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

/// The mean time of an order at an upstream that was not tried yet, in microseconds.
const INITIAL_MEAN_MICROS: f64 = 100_000.0;
/// How fast a load note loses its weight.
const LOAD_DECAY: Duration = Duration::from_millis(400);
/// What a request to another failure domain counts for, in microseconds.
const CROSS_DOMAIN_MICROS: f64 = 15_000.0;
/// What each byte of its body adds to that, in microseconds.
const CROSS_DOMAIN_MICROS_PER_BYTE: f64 = 1.5;
/// The weight of a new outcome in the failing part.
const FAILURE_WEIGHT: f64 = 0.1;
/// How fast the failing part is forgotten.
const FAILURE_DECAY: Duration = Duration::from_secs(4);
/// How many times its cost an upstream counts for that fails always.
const FAILURE_COST_FACTOR: f64 = 8.0;
/// The weight of a new time of the way to an upstream in the running mean.
const NETWORK_TIME_WEIGHT: f64 = 0.3;
/// How fast the time of the way is forgotten.
const NETWORK_TIME_DECAY: Duration = Duration::from_secs(2);
/// The number of upstreams up to which all are compared.
const COMPARE_ALL_MAX: usize = 8;
/// How many of more upstreams in the caller's failure domain are compared, drawn at random: with
/// old notes, all daemons would choose the same one.
const LOCAL_SAMPLES: usize = 2;
/// How many of those in other failure domains.
const REMOTE_SAMPLES: usize = 1;

/// What a daemon saw of one request at an upstream.
#[derive(Clone, Copy, Debug)]
pub struct AttemptOutcome {
    /// Whether it failed.
    pub failed: bool,
    /// How long it took in all.
    pub duration: Duration,
    /// The load that was told with it.
    pub load: Option<UpstreamLoad>,
}

#[derive(Clone, Copy, Debug, Default)]
struct UpstreamStats {
    load: UpstreamLoad,
    load_at: Moment,
    in_flight: u32,
    failure_rate: f64,
    last_ended_at: Moment,
    network_micros: f64,
}

/// What this daemon saw of the upstreams of all services.
#[derive(Debug, Default)]
pub struct UpstreamSelector {
    stats: Mutex<HashMap<InstanceId, UpstreamStats>>,
}

impl UpstreamSelector {
    /// Chooses the upstream with the least expected time for a request with a body of `bytes`
    /// that begins in `domain`, of those of `members` that `tried` does not name.
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
                // Equal costs are told apart at random, so that not all daemons choose alike.
                (cost + rand::random::<f64>() * CROSS_DOMAIN_MICROS / 4.0, m)
            });
        costs.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, m)| m)
    }

    /// Notes that a request goes to an upstream.
    pub fn call_started(&self, instance: InstanceId) {
        sync::lock(&self.stats)
            .entry(instance)
            .or_default()
            .in_flight += 1;
    }

    /// Notes that a request came back.
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

    /// Forgets processes that `keep` does not name.
    pub fn retain(&self, keep: impl Fn(InstanceId) -> bool) {
        sync::lock(&self.stats).retain(|&i, _| keep(i));
    }
}

/// Returns the upstreams to compare: all where there are few, else some of each kind.
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
    /// Returns the expected time of one more order, in microseconds.
    fn cost(&self, now: Moment, member: &Member) -> f64 {
        let slots = member.info.upstream.as_ref().map_or(1, |u| u.slots);
        let mean = match self.load.mean_micros {
            0 => INITIAL_MEAN_MICROS,
            micros => f64::from(micros),
        };
        let age = now.since(self.load_at).as_secs_f64() / LOAD_DECAY.as_secs_f64();
        let reported = f64::from(self.load.in_flight + self.load.waiting) * (-age).exp();
        let load = reported.max(f64::from(self.in_flight));
        let excess = (load + 1.0 - f64::from(slots)).max(0.0);
        let work = mean * (1.0 + load / f64::from(slots) * 0.25);
        let failure_factor = 1.0 + self.failure_rate(now) * FAILURE_COST_FACTOR;
        (work + mean * excess / f64::from(slots)) * failure_factor + self.network_time(now)
    }

    /// Returns how long the way to the upstream and back takes, in microseconds.
    fn network_time(&self, now: Moment) -> f64 {
        let age = now.since(self.last_ended_at).as_secs_f64() / NETWORK_TIME_DECAY.as_secs_f64();
        self.network_micros * (-age).exp()
    }

    fn failure_rate(&self, now: Moment) -> f64 {
        let age = now.since(self.last_ended_at).as_secs_f64() / FAILURE_DECAY.as_secs_f64();
        self.failure_rate * (-age).exp()
    }
}
