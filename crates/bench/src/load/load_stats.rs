//! Statistics of a load.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

use crate::journal::ReportedOutcomes;

/// Statistics of the callers' requests.
pub struct LoadStats {
    /// The number of requests sent, with retries.
    pub attempts: u64,
    /// Tasks that ended with a response of an upstream.
    pub ran: u64,
    /// Attempts by outcome; `none` stands for no response.
    pub outcomes: BTreeMap<String, u64>,
    /// Tasks that did not end with a response of an upstream.
    pub failed: u64,
    /// Responses that belong to another request than the one sent.
    pub wrong: u64,
    /// The latencies of attempts that ran, in microseconds.
    pub latency: Histogram<u64>,
    /// The longest unavailable time of each key, in milliseconds.
    pub unavailable: BTreeMap<String, u64>,
    /// The total unavailable time of each key, in milliseconds.
    pub unavailable_total: BTreeMap<String, u64>,
    /// The reported outcomes of requests with an idempotency key.
    pub reported: ReportedOutcomes,
    /// Attempts that did not run, counted by the response body or the error.
    pub reasons: BTreeMap<String, u64>,
}

impl Default for LoadStats {
    fn default() -> Self {
        Self {
            attempts: 0,
            ran: 0,
            outcomes: BTreeMap::new(),
            failed: 0,
            wrong: 0,
            latency: Histogram::new(3).expect("three significant digits are valid"),
            unavailable: BTreeMap::new(),
            unavailable_total: BTreeMap::new(),
            reported: ReportedOutcomes::default(),
            reasons: BTreeMap::new(),
        }
    }
}

impl LoadStats {
    /// Returns the latency at `quantile`, in milliseconds.
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// Returns the mean latency, in milliseconds.
    pub fn mean_latency_ms(&self) -> f64 {
        self.latency.mean() / 1000.0
    }

    /// Returns the longest unavailable time of any key, in milliseconds.
    pub fn max_unavailable_ms(&self) -> u64 {
        self.unavailable.values().copied().max().unwrap_or(0)
    }

    /// Returns the mean unavailable time of a key, in milliseconds.
    pub fn mean_unavailable_ms(&self) -> u64 {
        let sum: u64 = self.unavailable_total.values().sum();
        sum / u64::try_from(self.unavailable.len().max(1)).unwrap_or(1)
    }

    /// Returns the number of attempts with the outcome `name`.
    pub fn outcome_count(&self, name: &str) -> u64 {
        self.outcomes.get(name).copied().unwrap_or(0)
    }

    /// Adds the statistics of another caller.
    pub(super) fn merge(&mut self, other: LoadStats) {
        self.attempts += other.attempts;
        self.ran += other.ran;
        self.failed += other.failed;
        self.wrong += other.wrong;
        for (name, n) in other.outcomes {
            *self.outcomes.entry(name).or_default() += n;
        }
        for (name, n) in other.reasons {
            *self.reasons.entry(name).or_default() += n;
        }
        // It can't fail: both histograms have the same precision.
        let _ = self.latency.add(other.latency);
        self.unavailable.extend(other.unavailable);
        self.unavailable_total.extend(other.unavailable_total);
        self.reported.ran.extend(other.reported.ran);
        self.reported.not_run.extend(other.reported.not_run);
    }
}
