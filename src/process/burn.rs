//! How fast each service uses up the failures that its objective allows.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::process::wall_time::WallTime;
use crate::version::objective::Objective;
use crate::version::service_name::ServiceName;

/// The time that one count covers.
const BUCKET: Duration = Duration::from_secs(10);
/// The windows that are reported, the shortest first.
pub const WINDOWS: [Duration; 3] = [
    Duration::from_secs(300),
    Duration::from_secs(3600),
    Duration::from_secs(6 * 3600),
];

/// Requests counted against an objective.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BurnCount {
    /// All requests.
    pub total: u64,
    /// Those without an answer, or with one that was late.
    pub bad: u64,
}

impl BurnCount {
    /// Adds another count.
    pub fn add(&mut self, other: BurnCount) {
        self.total += other.total;
        self.bad += other.bad;
    }

    /// Returns how many times faster than allowed the objective's budget is used up.
    pub fn burn_rate(&self, objective: &Objective) -> f64 {
        if self.total == 0 {
            return 0.0;
        }
        self.bad as f64 / self.total as f64 / objective.budget()
    }
}

/// The counts of one service, by window and over time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// The service.
    pub service: ServiceName,
    /// What it promises.
    pub objective: Objective,
    /// The count of each window, the shortest first.
    pub windows: Vec<BurnCount>,
    /// The count of each ten seconds of the shortest window, the latest last.
    pub recent: Vec<BurnCount>,
}

/// The counts of all services of one daemon's callers.
#[derive(Debug, Default)]
pub struct BurnCounters {
    services: BTreeMap<ServiceName, VecDeque<(u64, BurnCount)>>,
}

impl BurnCounters {
    /// Counts a request.
    pub fn record(&mut self, now: WallTime, service: &ServiceName, good: bool) {
        let number = bucket_of(now);
        let buckets = self.services.entry(service.clone()).or_default();
        if buckets.back().is_none_or(|(n, _)| *n < number) {
            buckets.push_back((number, BurnCount::default()));
        }
        if let Some((_, count)) = buckets.back_mut() {
            count.add(BurnCount {
                total: 1,
                bad: u64::from(!good),
            });
        }
        let oldest = number.saturating_sub(buckets_in(WINDOWS[WINDOWS.len() - 1]));
        while buckets.front().is_some_and(|(n, _)| *n <= oldest) {
            buckets.pop_front();
        }
    }

    /// Reports on one service.
    pub fn report(&self, now: WallTime, service: &ServiceName, objective: Objective) -> BurnReport {
        let number = bucket_of(now);
        let empty = VecDeque::new();
        let buckets = self.services.get(service).unwrap_or(&empty);
        let sum = |from: u64, to: u64| {
            let mut sum = BurnCount::default();
            for (_, count) in buckets.iter().filter(|(n, _)| (from..=to).contains(n)) {
                sum.add(*count);
            }
            sum
        };
        let start = |span| (number + 1).saturating_sub(buckets_in(span));
        let windows = WINDOWS
            .iter()
            .map(|&span| sum(start(span), number))
            .collect();
        let recent = (start(WINDOWS[0])..=number).map(|n| sum(n, n)).collect();
        BurnReport {
            service: service.clone(),
            objective,
            windows,
            recent,
        }
    }
}

fn bucket_of(now: WallTime) -> u64 {
    now.0 / u64::try_from(BUCKET.as_millis()).unwrap_or(1)
}

fn buckets_in(span: Duration) -> u64 {
    span.as_secs() / BUCKET.as_secs()
}
