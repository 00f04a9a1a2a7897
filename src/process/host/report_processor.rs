//! Applies the reports of the local upstream, and decides which may be acknowledged.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::connection::protocol::{StatusReport, UpstreamReport};
use crate::process::host::host_context::HostContext;
use crate::process::host::local_upstream::ReportEffect;
use crate::version::departed_process::DepartedProcess;

/// How long an announcement waits until it outlives this process. The upstream waits a second for the
/// acknowledgement.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_millis(700);

/// Applies the reports of the local upstream.
pub struct ReportProcessor {
    context: Arc<HostContext>,
}

impl ReportProcessor {
    /// Creates the processor of the daemon of `context`.
    pub fn new(context: Arc<HostContext>) -> Self {
        Self { context }
    }

    /// Applies a report of the upstream; returns whether it may be acknowledged. The announcement that
    /// the upstream will stop may be only once it outlives this process.
    pub fn apply(&self, report: UpstreamReport) -> bool {
        let announced = match report {
            UpstreamReport::Status(status) => self.apply_status(&status),
            UpstreamReport::Deregistration {
                instance,
                started_ms,
            } => {
                let process = self
                    .context
                    .dispatcher
                    .departed_process(&instance, started_ms);
                if self
                    .context
                    .dispatcher
                    .mark_upstream_leaving(&instance, process.started_ms)
                {
                    tracing::info!(event = "upstream-leaving", instance, by = "leave");
                    self.context.set_leaving(true);
                }
                Some(process)
            }
        };
        announced.is_none_or(|process| self.await_durable(&process))
    }

    /// Waits until the departure of `process` outlives this process; returns whether it does. The store is
    /// preferred, as it outlives all processes; copies at other daemons do while it does not answer.
    fn await_durable(&self, process: &DepartedProcess) -> bool {
        if self.context.departure_log.is_durable(process) {
            return true;
        }
        let started = Instant::now();
        let mut departures = self.context.dispatcher.departures();
        // Nobody holds copies of the others, which only their start time tells from later processes.
        departures.retain(|p| p.started_ms.is_some());
        // A stop that is about to end waits for no other daemon.
        if !self.context.stop_gate.is_closed() && self.context.departure_copies.send(&departures) {
            self.context.departure_log.record_copied(&departures);
        }
        let left = ACKNOWLEDGE_TIMEOUT.saturating_sub(started.elapsed());
        let is_durable = self.context.departure_log.await_stored(process, left)
            || self.context.departure_log.is_durable(process);
        if !is_durable {
            let instance = &process.instance;
            tracing::warn!(event = "departure-not-acknowledged", instance);
        }
        is_durable
    }

    /// Applies a report of the upstream's state; returns the departure that it announces, if any.
    fn apply_status(&self, status: &StatusReport) -> Option<DepartedProcess> {
        if status.address != self.context.settings.upstream {
            tracing::info!(event = "report-ignored", instance = status.instance, address = %status.address, reason = "another address");
            return None;
        }
        let effect = self.context.dispatcher.apply_report(status);
        match effect {
            ReportEffect::NewProcess => self.begin_process(status),
            ReportEffect::Leaving => {
                tracing::info!(
                    event = "upstream-leaving",
                    instance = status.instance,
                    by = "report"
                );
                self.context.set_leaving(true);
            }
            ReportEffect::Outdated => {
                tracing::info!(
                    event = "report-ignored",
                    instance = status.instance,
                    sequence = status.sequence,
                    reason = "outdated"
                );
            }
            ReportEffect::Refreshed => {}
        }
        status.draining.then(|| DepartedProcess {
            instance: status.instance.clone(),
            started_ms: Some(status.started_ms),
        })
    }

    /// Logs that a process of the upstream is up, and offers it unless a former process of this daemon
    /// may have acknowledged that it leaves.
    fn begin_process(&self, status: &StatusReport) {
        let Some(process) = self.context.dispatcher.upstream_process() else {
            return;
        };
        tracing::info!(
            event = "upstream-up", instance = status.instance, service = %status.service,
            slots = status.slots, cold_ms = status.warmup_remaining.as_millis() as u64,
            draining = process.leaving_since.is_some()
        );
        if self.context.departure_log.is_recovered() {
            self.context.publish_upstream();
        }
    }
}
