//! Chooses the upstream for a request of a shared service, from what this daemon saw itself.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use rand::seq::IndexedRandom;

use crate::process::sync;
use crate::version::instance_id::InstanceId;
use crate::version::member::Member;
use crate::version::service::Policy;

/// The weight of a new time in a running mean.
const MEAN_WEIGHT: f64 = 0.2;
/// How many times the median an upstream's mean must be for it to be set aside.
const OUTLIER_FACTOR: f64 = 2.0;
/// One in so many choices goes to an upstream that is set aside, to see whether it recovered.
const PROBE_ONE_IN: u32 = 50;
/// How many deviations above its mean a call must take before it is hedged.
const HEDGE_DEVIATIONS: f64 = 3.0;
/// The least time before a call is hedged.
const HEDGE_TIME_MIN: Duration = Duration::from_millis(2);
/// The mean of an upstream that has not been tried, in microseconds.
const MEAN_UNTRIED: f64 = 1000.0;

#[derive(Clone, Copy, Debug)]
struct Seen {
    in_flight: u32,
    mean: f64,
    deviation: f64,
    fast_mean: f64,
}

impl Default for Seen {
    fn default() -> Self {
        Self {
            in_flight: 0,
            mean: MEAN_UNTRIED,
            deviation: MEAN_UNTRIED,
            fast_mean: MEAN_UNTRIED,
        }
    }
}

impl Seen {
    /// Returns the expected time of one more call.
    fn cost(&self) -> f64 {
        f64::from(self.in_flight + 1) * self.mean
    }
}

/// What this daemon saw of the upstreams of shared services.
#[derive(Debug, Default)]
pub struct SharedUpstreamSelector {
    seen: Mutex<HashMap<InstanceId, Seen>>,
}

impl SharedUpstreamSelector {
    /// Chooses one of `members` that `avoid` does not name.
    pub fn select<'m>(
        &self,
        members: &'m [Member],
        avoid: &[InstanceId],
        policy: Policy,
    ) -> Option<&'m Member> {
        let mut rng = rand::rng();
        let instance = |m: &Member| m.info.session.instance;
        let free: Vec<&Member> = members
            .iter()
            .filter(|m| !avoid.contains(&instance(m)))
            .collect();
        if policy == Policy::Baseline {
            return free.choose(&mut rng).copied();
        }
        let seen = sync::lock(&self.seen);
        let of = |m: &&Member| seen.get(&instance(m)).copied().unwrap_or_default();
        let fit = set_outliers_aside(&free, &of);
        let probing = rand::random_ratio(1, PROBE_ONE_IN);
        let from = if probing || fit.is_empty() {
            &free
        } else {
            &fit
        };
        let two: Vec<&Member> = from.sample(&mut rng, 2).copied().collect();
        two.into_iter()
            .min_by(|a, b| of(a).cost().total_cmp(&of(b).cost()))
    }

    /// Notes that a call starts.
    pub fn call_started(&self, instance: InstanceId) {
        sync::lock(&self.seen)
            .entry(instance)
            .or_default()
            .in_flight += 1;
    }

    /// Notes that a call ended after `took`.
    pub fn call_ended(&self, instance: InstanceId, took: Duration) {
        let micros = took.as_micros() as f64;
        let mut all = sync::lock(&self.seen);
        let seen = all.entry(instance).or_default();
        seen.in_flight = seen.in_flight.saturating_sub(1);
        seen.deviation += ((micros - seen.mean).abs() - seen.deviation) * MEAN_WEIGHT;
        seen.mean += (micros - seen.mean) * MEAN_WEIGHT;
        let weight = if micros < seen.fast_mean {
            MEAN_WEIGHT
        } else {
            MEAN_WEIGHT / 20.0
        };
        seen.fast_mean += (micros - seen.fast_mean) * weight;
    }

    /// Returns how long a call to one of `members` may take before it is hedged: what the fastest
    /// half of them take at the most.
    pub fn hedge_delay(&self, members: &[Member]) -> Duration {
        let all = sync::lock(&self.seen);
        let seen = members.iter().map(|m| all.get(&m.info.session.instance));
        let mut limits: Vec<f64> = seen
            .map(|s| s.copied().unwrap_or_default())
            .map(|s| s.mean + HEDGE_DEVIATIONS * s.deviation)
            .collect();
        limits.sort_by(f64::total_cmp);
        let median = limits
            .get(limits.len().saturating_sub(1) / 2)
            .copied()
            .unwrap_or(0.0);
        Duration::from_micros(median as u64).max(HEDGE_TIME_MIN)
    }

    /// Forgets processes that `keep` does not name.
    pub fn retain(&self, keep: impl Fn(InstanceId) -> bool) {
        sync::lock(&self.seen).retain(|&i, _| keep(i));
    }
}

/// Returns the members whose mean is near the median; at least half of them stay.
fn set_outliers_aside<'m>(free: &[&'m Member], of: &impl Fn(&&Member) -> Seen) -> Vec<&'m Member> {
    let mut means: Vec<f64> = free.iter().map(|m| of(m).mean).collect();
    means.sort_by(f64::total_cmp);
    let Some(&median) = means.get(means.len().saturating_sub(1) / 2) else {
        return Vec::new();
    };
    free.iter()
        .copied()
        .filter(|m| of(m).mean <= median * OUTLIER_FACTOR)
        .collect()
}
