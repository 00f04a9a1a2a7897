//! Selects one of the equivalent upstreams of a service, at random in proportion to their expected
//! free capacity.
//!
//! All daemons choose from reports that are some hundreds of milliseconds old. If each took the
//! upstream that looks best, the same ones would be overloaded in turn while others idle. The page
//! `docs/design/even-load.md` has the alternatives and what each gave.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};

use crate::process::host::load_estimate::{ExpectedLoad, LoadEstimate, TypicalLoad};
use crate::process::moment::Moment;
use crate::process::sync;
use crate::request::upstream_load::UpstreamLoad;
use crate::version::domain_name::DomainName;
use crate::version::instance_id::InstanceId;
use crate::version::member::Member;

/// Cost of sending a request to another failure domain, in microseconds.
const CROSS_DOMAIN_MICROS: f64 = 15_000.0;
/// Additional cost of each byte of a body that is sent to another failure domain, in microseconds.
const CROSS_DOMAIN_MICROS_PER_BYTE: f64 = 1.5;
/// Largest number of upstreams in the caller's failure domain that are compared; of more, a random
/// sample is. Samples of 4 and 8 gave up to 2.3 and 1.6 times as many overruns.
const LOCAL_SAMPLES: usize = 16;
/// Largest number of upstreams in other failure domains that are compared, if there are any in the
/// caller's.
const REMOTE_SAMPLES: usize = 8;
/// Exponent of the share of free slots in the weight of an upstream. With 1, there were
/// about twice as many overruns.
const FREE_SHARE_EXPONENT: i32 = 3;
/// Smallest share of free slots that counts, so that full upstreams are tried again.
const FREE_SHARE_MIN: f64 = 0.05;
/// Exponent of `1 - failure rate` in the weight of an upstream.
const SUCCESS_EXPONENT: i32 = 4;
/// Smallest share of successes that counts, so that failing upstreams are tried again.
const SUCCESS_MIN: f64 = 0.2;
/// Exponent of the speed in the weight of an upstream, in addition to 1, where all are idle. There
/// the fast ones have room for more than their share, and answer sooner.
const IDLE_SPEED_EXPONENT: f64 = 5.0;
/// Weight of the service time in the cost that decides about another failure domain. A fast remote
/// upstream isn't worth the bytes between domains while the service is busy, and would be overloaded.
const BUSY_SERVICE_WEIGHT: f64 = 0.25;
/// Additional weight of the service time where all upstreams are idle.
const IDLE_SERVICE_WEIGHT: f64 = 1.5;
/// Relative cost added to an upstream that always fails; scaled by the failure rate.
const FAILURE_COST_FACTOR: f64 = 8.0;

/// One in this number of requests goes to a remote upstream without a recent report, whatever its
/// expected cost. Else a daemon whose local upstreams are slow would never learn of faster ones.
const EXPLORED_ONE_IN: u32 = 100;
/// Age at which the report of a remote upstream is outdated.
const EXPLORED_AGE: Duration = Duration::from_secs(1);
/// Largest cost of sending such a request to another failure domain, in microseconds: a body of 10
/// KB.
const EXPLORED_COST_MAX_MICROS: f64 = 2.0 * CROSS_DOMAIN_MICROS;

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

/// A candidate for a request, with what decides about it.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'m> {
    /// Daemon beside the upstream.
    pub member: &'m Member,
    /// Whether it is in another failure domain than the caller.
    pub is_remote: bool,
    /// Age of the latest report of its load.
    pub report_age: Option<Duration>,
    /// Expected load.
    pub load: ExpectedLoad,
    /// Probability of being chosen in its group, relative to the others in it.
    pub weight: f64,
    /// Cost that decides between the candidates chosen in the caller's failure domain and in the
    /// others, in microseconds.
    pub cost_micros: f64,
}

/// Observations of the upstreams of all services.
#[derive(Debug)]
pub struct UpstreamSelector {
    state: Mutex<SelectorState>,
}

#[derive(Debug)]
struct SelectorState {
    estimates: HashMap<InstanceId, LoadEstimate>,
    rng: SmallRng,
}

/// A request for which an upstream is selected.
struct SelectedFor<'a> {
    now: Moment,
    domain: &'a DomainName,
    /// Cost of sending it to another failure domain, in microseconds.
    cross_domain_micros: f64,
}

impl Default for UpstreamSelector {
    fn default() -> Self {
        Self::with_seed(rand::random())
    }
}

impl UpstreamSelector {
    /// Creates a selector without observations whose random choices depend on `seed`.
    pub fn with_seed(seed: u64) -> Self {
        Self {
            state: Mutex::new(SelectorState {
                estimates: HashMap::new(),
                rng: SmallRng::seed_from_u64(seed),
            }),
        }
    }

    /// Selects the upstream for a request with a body of `bytes` from the failure domain `domain`.
    /// Only `members` that are not in `tried` are considered.
    pub fn select<'m>(
        &self,
        now: Moment,
        members: &'m [Member],
        tried: &[InstanceId],
        domain: &DomainName,
        bytes: usize,
    ) -> Option<Candidate<'m>> {
        let mut state = sync::lock(&self.state);
        let request = SelectedFor::new(now, domain, bytes);
        let untried = members
            .iter()
            .filter(|m| !tried.contains(&m.info.session.instance));
        let sample = sample_members(untried, domain, &mut state.rng);
        let candidates = state.candidates(&sample, &request);
        let (local, remote): (Vec<_>, Vec<_>) = candidates.into_iter().partition(|c| !c.is_remote);
        let local = choose_by_weight(&local, &mut state.rng);
        let remote = choose_by_weight(&remote, &mut state.rng);
        if let Some(remote) = remote
            && request.may_explore(&remote)
            && state.rng.random_ratio(1, EXPLORED_ONE_IN)
        {
            return Some(remote);
        }
        let chosen = local.into_iter().chain(remote);
        chosen.min_by(|a, b| a.cost_micros.total_cmp(&b.cost_micros))
    }

    /// Returns all upstreams as candidates for a request with a body of `bytes` from the failure domain
    /// `domain`: those in that domain first, and the most likely ones first.
    pub fn candidates<'m>(
        &self,
        now: Moment,
        members: &'m [Member],
        domain: &DomainName,
        bytes: usize,
    ) -> Vec<Candidate<'m>> {
        let state = sync::lock(&self.state);
        let members: Vec<_> = members.iter().collect();
        let mut candidates = state.candidates(&members, &SelectedFor::new(now, domain, bytes));
        candidates.sort_by(|a, b| {
            let by_weight = b.weight.total_cmp(&a.weight);
            a.is_remote.cmp(&b.is_remote).then(by_weight)
        });
        candidates
    }

    /// Records that a request is sent to an upstream.
    pub fn call_started(&self, instance: InstanceId) {
        let mut state = sync::lock(&self.state);
        state.estimates.entry(instance).or_default().record_start();
    }

    /// Records the outcome of a request.
    pub fn call_ended(&self, now: Moment, instance: InstanceId, outcome: AttemptOutcome) {
        let mut state = sync::lock(&self.state);
        let estimate = state.estimates.entry(instance).or_default();
        estimate.record_end(now, outcome);
    }

    /// Drops the observations of daemons for which `keep` returns false.
    pub fn retain(&self, keep: impl Fn(InstanceId) -> bool) {
        sync::lock(&self.state).estimates.retain(|&i, _| keep(i));
    }
}

impl<'a> SelectedFor<'a> {
    fn new(now: Moment, domain: &'a DomainName, bytes: usize) -> Self {
        Self {
            now,
            domain,
            cross_domain_micros: CROSS_DOMAIN_MICROS + CROSS_DOMAIN_MICROS_PER_BYTE * bytes as f64,
        }
    }

    /// Returns whether the request is cheap enough to learn of a remote upstream by it.
    fn may_explore(&self, candidate: &Candidate<'_>) -> bool {
        let is_outdated = candidate.report_age.is_none_or(|a| a > EXPLORED_AGE);
        is_outdated && self.cross_domain_micros <= EXPLORED_COST_MAX_MICROS
    }
}

impl SelectorState {
    /// Returns the candidates among `sample`, compared with each other.
    fn candidates<'m>(
        &self,
        sample: &[&'m Member],
        request: &SelectedFor<'_>,
    ) -> Vec<Candidate<'m>> {
        let estimate_of = |m: &Member| self.estimates.get(&m.info.session.instance).copied();
        let estimates: Vec<LoadEstimate> = sample
            .iter()
            .map(|m| estimate_of(m).unwrap_or_default())
            .collect();
        let typical = TypicalLoad::of(estimates.iter().copied());
        sample
            .iter()
            .zip(&estimates)
            .map(|(m, e)| Candidate::new(m, e, &typical, request))
            .collect()
    }
}

impl<'m> Candidate<'m> {
    fn new(
        member: &'m Member,
        estimate: &LoadEstimate,
        typical: &TypicalLoad,
        request: &SelectedFor<'_>,
    ) -> Self {
        let slots = member.info.upstream.as_ref().map_or(1, |u| u.slots);
        let load = estimate.expected(request.now, slots, typical);
        let is_remote = member.info.domain != *request.domain;
        let idleness = (1.0 - typical.utilization).powi(2);
        let transfer = match is_remote {
            true => request.cross_domain_micros,
            false => 0.0,
        };
        Self {
            member,
            is_remote,
            report_age: estimate.report_age(request.now),
            load,
            weight: weight(&load, typical, idleness),
            cost_micros: cost_micros(&load, idleness) + transfer,
        }
    }
}

/// Returns the relative probability with which an upstream is chosen in its group.
fn weight(load: &ExpectedLoad, typical: &TypicalLoad, idleness: f64) -> f64 {
    let free = load
        .free_share()
        .max(FREE_SHARE_MIN)
        .powi(FREE_SHARE_EXPONENT);
    let successes = (1.0 - load.failure_rate)
        .max(SUCCESS_MIN)
        .powi(SUCCESS_EXPONENT);
    let speed = typical.run_micros / load.service_micros();
    let speed = speed.powf(1.0 + IDLE_SPEED_EXPONENT * idleness);
    load.slots * free * successes * speed
}

/// Returns the cost of one more request without its transfer, in microseconds.
fn cost_micros(load: &ExpectedLoad, idleness: f64) -> f64 {
    let service_weight = (BUSY_SERVICE_WEIGHT + IDLE_SERVICE_WEIGHT * idleness).min(1.0);
    let run = load.run_micros * service_weight + load.wait_micros();
    run * (1.0 + load.failure_rate * FAILURE_COST_FACTOR) + load.network_micros
}

/// Returns the members to compare: all if there are few, else a random sample.
fn sample_members<'m>(
    members: impl Iterator<Item = &'m Member>,
    domain: &DomainName,
    rng: &mut SmallRng,
) -> Vec<&'m Member> {
    let (local, remote): (Vec<_>, Vec<_>) = members.partition(|m| m.info.domain == *domain);
    let mut sampled = local.into_iter().sample(rng, LOCAL_SAMPLES);
    let remote_samples = match sampled.is_empty() {
        true => LOCAL_SAMPLES,
        false => REMOTE_SAMPLES,
    };
    sampled.extend(remote.into_iter().sample(rng, remote_samples));
    sampled
}

/// Returns a random candidate, each with a probability in proportion to its weight.
fn choose_by_weight<'m>(candidates: &[Candidate<'m>], rng: &mut SmallRng) -> Option<Candidate<'m>> {
    let total: f64 = candidates.iter().map(|c| c.weight).sum();
    let mut left = rng.random::<f64>() * total;
    let chosen = candidates.iter().find(|c| {
        left -= c.weight;
        left < 0.0
    });
    // All weights may be zero if the reported run times are odd.
    chosen.or(candidates.last()).copied()
}
