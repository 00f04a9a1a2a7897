//! A service-level objective.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What a service promises its callers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Objective {
    /// The share of requests that are answered, and in time.
    pub availability_percent: f64,
    /// The time within which an answer counts as in time, in milliseconds.
    pub latency_ms: u64,
}

impl Default for Objective {
    fn default() -> Self {
        Self {
            availability_percent: 99.9,
            latency_ms: 250,
        }
    }
}

impl Objective {
    /// Returns the time within which an answer counts as in time.
    pub fn latency(&self) -> Duration {
        Duration::from_millis(self.latency_ms)
    }

    /// Returns the share of requests that may fail.
    pub fn error_budget(&self) -> f64 {
        1.0 - self.availability_percent / 100.0
    }
}
