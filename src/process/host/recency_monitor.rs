//! Reports when the routing becomes too old for API keys, and when it is recent again.

use crate::process::membership::Membership;

/// Whether the routing was recent enough for API keys at the last check.
pub(super) struct RecencyMonitor {
    was_recent: bool,
}

impl Default for RecencyMonitor {
    fn default() -> Self {
        Self { was_recent: true }
    }
}

impl RecencyMonitor {
    /// Records the age of the routing, and logs whether it is recent enough if that has changed. Only
    /// routings with teams count, as no other one needs to be recent.
    pub(super) fn check(&mut self, membership: &Membership) {
        let (is_strict, is_recent, age) = membership.with_ownership(|o, now| {
            let freshness = o.routing_freshness();
            let age = freshness.newest_at().map(|at| now.since(at));
            (freshness.is_strict(), freshness.is_recent(now), age)
        });
        let active = membership.active_configuration();
        let routing = active.routing_config.as_ref();
        if !is_strict || routing.is_none_or(|r| r.teams.is_none()) {
            return;
        }
        let age_ms = age.map(|a| u64::try_from(a.as_millis()).unwrap_or(u64::MAX));
        if let Some(age_ms) = age_ms {
            membership.metrics().record_routing_age(age_ms);
        }
        if is_recent != self.was_recent {
            let version = active.version;
            match is_recent {
                true => tracing::info!(event = "routing-recent", %version, age_ms),
                false => tracing::warn!(event = "routing-stale", %version, age_ms),
            }
        }
        self.was_recent = is_recent;
    }
}
