//! A service in the operators' document.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::version::document_error::DocumentError;
use crate::version::objective::Objective;
use crate::version::route::Route;
use crate::version::service_name::ServiceName;

/// Whether the keys of a service have owners.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// Each key is served by a single owner.
    #[default]
    Keyed,
    /// Any upstream may serve any request.
    Shared,
}

/// How the load of a service is limited and placed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Limits, ramps, moves and hedges adapt to measured latencies and load.
    #[default]
    Adaptive,
    /// Limits are fixed at the announced slots; no ramps, early refusals, moves or hedges.
    Baseline,
}

/// The settings of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Service {
    /// Whether the keys of the service have owners.
    pub kind: ServiceKind,
    /// How load is limited and placed.
    pub policy: Policy,
    /// The number of slices that the keys are split into; a change affects new services only.
    pub slices: u32,
    /// Whether the slices are ranges of keys, so that adjacent slices should have the same owner.
    /// Set for services from the routing configuration, never by the document.
    #[serde(skip)]
    pub ranged: bool,
    /// The default deadline of a request, in milliseconds.
    pub deadline_ms: u64,
    /// The maximum number of queued requests per upstream.
    pub queue: u32,
    /// The number of retries allowed per hundred requests.
    pub retry_percent: u32,
    /// The number of hedges allowed per hundred requests.
    pub hedge_percent: u32,
    /// The service-level objective.
    pub objective: Objective,
    /// Which requests are idempotent; the first matching route applies.
    pub routes: Vec<Route>,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            kind: ServiceKind::Keyed,
            policy: Policy::Adaptive,
            slices: 64,
            ranged: false,
            deadline_ms: 1000,
            queue: 64,
            retry_percent: 10,
            hedge_percent: 5,
            objective: Objective::default(),
            routes: Vec::new(),
        }
    }
}

impl Service {
    /// Returns the default deadline of a request.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    /// Returns whether a request may run more than once.
    ///
    /// If no route matches, only requests with the safe methods `GET` and `HEAD` may (RFC 9110,
    /// section 9.2.1).
    pub fn is_repeatable(&self, method: &str, path: &str) -> bool {
        let route = self.routes.iter().find(|r| r.matches(method, path));
        route.map_or_else(|| matches!(method, "GET" | "HEAD"), |r| r.repeatable)
    }

    /// Checks that all fields are in range.
    ///
    /// # Errors
    ///
    /// Returns an error for the first field that is out of range.
    pub fn validate(&self, name: &ServiceName) -> Result<(), DocumentError> {
        let out_of_range = |field, value: String, range| {
            Err(DocumentError::Range {
                service: name.clone(),
                field,
                value,
                range,
            })
        };
        if !(1..=4096).contains(&self.slices) {
            return out_of_range("slices", self.slices.to_string(), "1 to 4096");
        }
        if !(1..=600_000).contains(&self.deadline_ms) {
            return out_of_range("deadline_ms", self.deadline_ms.to_string(), "1 to 600000");
        }
        if self.queue > 100_000 {
            return out_of_range("queue", self.queue.to_string(), "0 to 100000");
        }
        if self.retry_percent > 100 {
            return out_of_range("retry_percent", self.retry_percent.to_string(), "0 to 100");
        }
        if self.hedge_percent > 100 {
            return out_of_range("hedge_percent", self.hedge_percent.to_string(), "0 to 100");
        }
        let availability = self.objective.availability_percent;
        if !(availability > 0.0 && availability < 100.0) {
            let field = "objective.availability_percent";
            return out_of_range(field, availability.to_string(), "above 0 and below 100");
        }
        if !(1..=600_000).contains(&self.objective.latency_ms) {
            let value = self.objective.latency_ms.to_string();
            return out_of_range("objective.latency_ms", value, "1 to 600000");
        }
        match self.routes.iter().find(|r| !r.path.starts_with('/')) {
            Some(route) => out_of_range(
                "routes.path",
                route.path.clone(),
                "a path that starts with /",
            ),
            None => Ok(()),
        }
    }
}
