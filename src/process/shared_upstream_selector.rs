//! Selects the upstream for a request of a shared service, from response times and load that this
//! daemon measured itself.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use rand::seq::IndexedRandom;

use crate::process::sync;
use crate::version::instance_id::InstanceId;
use crate::version::member::Member;
use crate::version::service::Policy;

/// The weight of a new sample in a moving average.
const SAMPLE_WEIGHT: f64 = 0.2;
/// The multiple of the median above which an upstream's mean response time makes it an outlier.
const OUTLIER_FACTOR: f64 = 2.0;
/// One in this number of selections includes the outliers, to detect that they have recovered.
const PROBE_ONE_IN: u32 = 50;
/// The number of mean deviations above the mean after which a call is hedged.
const HEDGE_DEVIATIONS: f64 = 3.0;
/// The minimum time before a call is hedged.
const HEDGE_TIME_MIN: Duration = Duration::from_millis(2);
/// The assumed mean response time of an upstream without calls yet, in microseconds.
const UNTRIED_MEAN_MICROS: f64 = 1000.0;

/// The calls in flight to one upstream, and moving averages of its response times in microseconds.
#[derive(Clone, Copy, Debug)]
struct UpstreamStats {
    in_flight: u32,
    mean: f64,
    /// The mean deviation from `mean`.
    deviation: f64,
    /// A mean that falls as fast as `mean` but rises more slowly.
    fast_mean: f64,
}

impl Default for UpstreamStats {
    fn default() -> Self {
        Self {
            in_flight: 0,
            mean: UNTRIED_MEAN_MICROS,
            deviation: UNTRIED_MEAN_MICROS,
            fast_mean: UNTRIED_MEAN_MICROS,
        }
    }
}

impl UpstreamStats {
    /// Returns the expected response time of one more call, in microseconds.
    fn cost(&self) -> f64 {
        f64::from(self.in_flight + 1) * self.mean
    }
}

/// The response times and calls in flight of the upstreams of shared services, and the selection
/// among them.
#[derive(Debug, Default)]
pub struct SharedUpstreamSelector {
    stats: Mutex<HashMap<InstanceId, UpstreamStats>>,
}

impl SharedUpstreamSelector {
    /// Selects one of `members` that is not in `avoid`: the cheaper of two random ones, or a random
    /// one under the baseline policy.
    pub fn select<'m>(
        &self,
        members: &'m [Member],
        avoid: &[InstanceId],
        policy: Policy,
    ) -> Option<&'m Member> {
        let mut rng = rand::rng();
        let instance = |m: &Member| m.info.session.instance;
        let allowed: Vec<&Member> = members
            .iter()
            .filter(|m| !avoid.contains(&instance(m)))
            .collect();
        if policy == Policy::Baseline {
            return allowed.choose(&mut rng).copied();
        }
        let all_stats = sync::lock(&self.stats);
        let stats_of = |m: &&Member| all_stats.get(&instance(m)).copied().unwrap_or_default();
        let regular = exclude_outliers(&allowed, &stats_of);
        let include_outliers = rand::random_ratio(1, PROBE_ONE_IN);
        let pool = if include_outliers || regular.is_empty() {
            &allowed
        } else {
            &regular
        };
        let pair: Vec<&Member> = pool.sample(&mut rng, 2).copied().collect();
        pair.into_iter()
            .min_by(|a, b| stats_of(a).cost().total_cmp(&stats_of(b).cost()))
    }

    /// Records the start of a call.
    pub fn call_started(&self, instance: InstanceId) {
        sync::lock(&self.stats)
            .entry(instance)
            .or_default()
            .in_flight += 1;
    }

    /// Records the end of a call that took `elapsed`.
    pub fn call_ended(&self, instance: InstanceId, elapsed: Duration) {
        let micros = elapsed.as_micros() as f64;
        let mut all_stats = sync::lock(&self.stats);
        let stats = all_stats.entry(instance).or_default();
        stats.in_flight = stats.in_flight.saturating_sub(1);
        stats.deviation += ((micros - stats.mean).abs() - stats.deviation) * SAMPLE_WEIGHT;
        stats.mean += (micros - stats.mean) * SAMPLE_WEIGHT;
        let weight = if micros < stats.fast_mean {
            SAMPLE_WEIGHT
        } else {
            SAMPLE_WEIGHT / 20.0
        };
        stats.fast_mean += (micros - stats.fast_mean) * weight;
    }

    /// Returns how long a call to one of `members` may take before it is hedged: the median of
    /// their upper limits for a normal call.
    pub fn hedge_delay(&self, members: &[Member]) -> Duration {
        let all_stats = sync::lock(&self.stats);
        let stats = members
            .iter()
            .map(|m| all_stats.get(&m.info.session.instance));
        let mut limits: Vec<f64> = stats
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

    /// Removes the statistics of the processes for which `keep` does not hold.
    pub fn retain(&self, keep: impl Fn(InstanceId) -> bool) {
        sync::lock(&self.stats).retain(|&i, _| keep(i));
    }
}

/// Returns the members that are not outliers; at least half of them remain.
fn exclude_outliers<'m>(
    allowed: &[&'m Member],
    stats_of: &impl Fn(&&Member) -> UpstreamStats,
) -> Vec<&'m Member> {
    let mut means: Vec<f64> = allowed.iter().map(|m| stats_of(m).mean).collect();
    means.sort_by(f64::total_cmp);
    let Some(&median) = means.get(means.len().saturating_sub(1) / 2) else {
        return Vec::new();
    };
    allowed
        .iter()
        .copied()
        .filter(|m| stats_of(m).mean <= median * OUTLIER_FACTOR)
        .collect()
}
