//! Metrics and the log line of a selected upstream: what was expected of it, and what came of it.

use crate::process::host::upstream_selector::Candidate;
use crate::process::metrics::Metrics;
use crate::request::upstream_load::UpstreamLoad;
use crate::request::upstream_outcome::UpstreamOutcome;
use crate::request::upstream_request::UpstreamRequest;

/// Records the outcome of a request at the upstream that was selected for it, and the load that its
/// daemon reported.
pub(super) fn record(
    metrics: &Metrics,
    request: &UpstreamRequest,
    selected: &Candidate<'_>,
    outcome: &UpstreamOutcome,
    load: Option<UpstreamLoad>,
) {
    let result = result(outcome, load);
    metrics.record_selection(selected.is_remote, result, selected.report_age);
    tracing::debug!(
        event = "upstream-selected",
        request = %request.id,
        service = %request.service,
        upstream = %selected.member.info.session.instance,
        remote = selected.is_remote,
        report_age_ms = selected.report_age.map(|a| a.as_millis() as u64),
        slots = selected.load.slots as u32,
        expected_requests = selected.load.requests as u32,
        expected_run_ms = (selected.load.run_micros / 1000.0) as u64,
        cost_ms = (selected.cost_micros / 1000.0) as u64,
        result,
        in_flight = load.map(|l| l.in_flight),
        waiting = load.map(|l| l.waiting),
    );
}

/// Returns what came of a request: `started` at once, `queued`, or why it did not run.
fn result(outcome: &UpstreamOutcome, load: Option<UpstreamLoad>) -> &'static str {
    match outcome {
        UpstreamOutcome::NotRun { cause, .. } => cause.as_str(),
        UpstreamOutcome::Unknown { .. } => "unknown",
        UpstreamOutcome::Ran(_) if load.is_some_and(|l| l.waited_ms > 0) => "queued",
        UpstreamOutcome::Ran(_) => "started",
    }
}
