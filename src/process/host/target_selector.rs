//! Selects one of a route's weighted targets for each request.

use std::collections::HashMap;
use std::sync::Mutex;

use crate::process::sync;
use crate::version::routing_config::{RouteRule, RouteTarget};

/// State of smooth weighted round-robin over the targets of each route.
#[derive(Default)]
pub(super) struct TargetSelector {
    /// Credits of each route's targets, by route name.
    credits: Mutex<HashMap<String, Vec<i64>>>,
}

impl TargetSelector {
    /// Selects the target of the next request on the route `rule`.
    pub(super) fn select<'t>(&self, rule: &'t RouteRule) -> Option<&'t RouteTarget> {
        if rule.targets.len() < 2 {
            return rule.targets.first();
        }
        let mut credits_by_route = sync::lock(&self.credits);
        let credits = credits_by_route.entry(rule.name.clone()).or_default();
        credits.resize(rule.targets.len(), 0);
        let total: i64 = rule.targets.iter().map(|t| i64::from(t.weight)).sum();
        for (credit, target) in credits.iter_mut().zip(&rule.targets) {
            *credit += i64::from(target.weight);
        }
        let best = (0..credits.len()).max_by_key(|&i| credits[i])?;
        credits[best] -= total;
        rule.targets.get(best)
    }
}
