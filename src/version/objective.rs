//! A service-level objective.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The availability and latency objective of a service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Objective {
    /// The target percentage of requests that succeed within the latency objective.
    pub availability_percent: f64,
    /// The latency objective, in milliseconds.
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
    /// Returns the latency objective.
    pub fn latency(&self) -> Duration {
        Duration::from_millis(self.latency_ms)
    }

    /// Returns the error budget: the fraction of requests that may fail.
    pub fn error_budget(&self) -> f64 {
        1.0 - self.availability_percent / 100.0
    }
}
