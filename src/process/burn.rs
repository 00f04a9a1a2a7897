//! Service-level burn: how fast each service consumes the error budget of its objective.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::process::wall_time::WallTime;
use crate::version::objective::Objective;
use crate::version::service_name::ServiceName;

/// The time that one bucket of the counters covers.
const BUCKET_SPAN: Duration = Duration::from_secs(10);
/// The time windows of a report, shortest first.
pub const WINDOWS: [Duration; 3] = [
    Duration::from_secs(300),
    Duration::from_secs(3600),
    Duration::from_secs(6 * 3600),
];

/// The requests of a time span, counted against an objective.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BurnCount {
    /// The number of requests.
    pub total: u64,
    /// The number of requests that got no response, or got it too late for the objective.
    pub bad: u64,
}

impl BurnCount {
    /// Adds the requests of `other`.
    pub fn add(&mut self, other: BurnCount) {
        self.total += other.total;
        self.bad += other.bad;
    }

    /// Returns the burn rate: 1.0 consumes the objective's error budget exactly as fast as allowed.
    pub fn burn_rate(&self, objective: &Objective) -> f64 {
        if self.total == 0 {
            return 0.0;
        }
        self.bad as f64 / self.total as f64 / objective.error_budget()
    }
}

/// The counts of one service, summed over each window and listed over the shortest one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// The name of the service.
    pub service: ServiceName,
    /// The objective that the requests are counted against.
    pub objective: Objective,
    /// The count of each of [`WINDOWS`].
    pub windows: Vec<BurnCount>,
    /// The count of each ten seconds of the shortest window, latest last.
    pub recent: Vec<BurnCount>,
}

/// Counts the requests of one daemon's callers, by service.
#[derive(Debug, Default)]
pub struct BurnCounters {
    services: BTreeMap<ServiceName, VecDeque<(u64, BurnCount)>>,
}

impl BurnCounters {
    /// Counts one request, which is `good` if it met the objective.
    pub fn record(&mut self, now: WallTime, service: &ServiceName, good: bool) {
        let current = bucket_number(now);
        let buckets = self.services.entry(service.clone()).or_default();
        if buckets.back().is_none_or(|(n, _)| *n < current) {
            buckets.push_back((current, BurnCount::default()));
        }
        if let Some((_, count)) = buckets.back_mut() {
            count.add(BurnCount {
                total: 1,
                bad: u64::from(!good),
            });
        }
        let newest_expired = current.saturating_sub(bucket_count(WINDOWS[WINDOWS.len() - 1]));
        while buckets.front().is_some_and(|(n, _)| *n <= newest_expired) {
            buckets.pop_front();
        }
    }

    /// Returns the counts of one service up to `now`.
    pub fn report(&self, now: WallTime, service: &ServiceName, objective: Objective) -> BurnReport {
        let current = bucket_number(now);
        let empty = VecDeque::new();
        let buckets = self.services.get(service).unwrap_or(&empty);
        let sum = |from: u64, to: u64| {
            let mut sum = BurnCount::default();
            for (_, count) in buckets.iter().filter(|(n, _)| (from..=to).contains(n)) {
                sum.add(*count);
            }
            sum
        };
        let start = |span| (current + 1).saturating_sub(bucket_count(span));
        let windows = WINDOWS
            .iter()
            .map(|&span| sum(start(span), current))
            .collect();
        let recent = (start(WINDOWS[0])..=current).map(|n| sum(n, n)).collect();
        BurnReport {
            service: service.clone(),
            objective,
            windows,
            recent,
        }
    }
}

fn bucket_number(now: WallTime) -> u64 {
    now.0 / u64::try_from(BUCKET_SPAN.as_millis()).unwrap_or(1)
}

fn bucket_count(span: Duration) -> u64 {
    span.as_secs() / BUCKET_SPAN.as_secs()
}
