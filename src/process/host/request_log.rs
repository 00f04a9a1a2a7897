//! Log lines of finished requests.

use std::time::Duration;

use crate::process::host::request_progress::RequestTrace;
use crate::request::upstream_outcome::UpstreamOutcome;
use crate::request::upstream_request::UpstreamRequest;
use crate::version::routing_config::{RouteRule, RoutingConfig};

/// Logs a finished request.
pub(super) fn log_request(
    request: &UpstreamRequest,
    rule: &RouteRule,
    routing: &RoutingConfig,
    outcome: &UpstreamOutcome,
    trace: &RequestTrace,
    duration: Duration,
) {
    let (label, cause, status) = match outcome {
        UpstreamOutcome::Ran(r) => ("ran", String::new(), r.status),
        UpstreamOutcome::NotRun { cause, .. } => ("not-run", cause.to_string(), cause.status()),
        UpstreamOutcome::Unknown { reason, timed_out } => (
            "unknown",
            reason.clone(),
            if *timed_out { 504 } else { 502 },
        ),
    };
    let upstream = trace.upstream_daemon.map(|i| i.to_string());
    tracing::info!(
        event = "request",
        request = %request.id,
        service = %request.service,
        route = rule.name,
        key = request.key.map(|k| k.0),
        version = %routing.version,
        outcome = label,
        cause,
        status,
        tries = trace.attempts,
        upstream,
        queued_ms = trace.queued.as_millis() as u64,
        waited_ms = trace.load.map(|l| l.waited_ms),
        ran_ms = trace.load.map(|l| l.ran_ms),
        in_flight = trace.load.map(|l| l.in_flight),
        waiting = trace.load.map(|l| l.waiting),
        ms = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX),
    );
}
