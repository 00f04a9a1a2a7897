//! Which run of the upstream beside the daemon is the present one, and in what state: time and
//! reports in, changes out.

use std::time::Duration;

use crate::connection::protocol::StatusReport;
use crate::process::moment::Moment;
use crate::version::domain_name::DomainName;
use crate::version::service_name::ServiceName;
use crate::version::upstream::UpstreamBoot;

/// How long an upstream must have been silent before the report of a run that seems older is
/// believed: its clock may have been set back.
const OLDER_PROCESS_SILENCE: Duration = Duration::from_millis(3000);

/// One run of the upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamProcess {
    /// Its name.
    pub instance: String,
    /// When it started, in milliseconds since 1970, by its own clock.
    pub started_ms: u64,
    /// The number of its newest report.
    pub sequence: u64,
    /// Its service.
    pub service: ServiceName,
    /// Its failure domain.
    pub domain: DomainName,
    /// The orders that it works on at once.
    pub slots: u32,
    /// Since when it is about to stop, if it is.
    pub leaving_since: Option<Moment>,
    /// Until when it is cold.
    pub cold_until: Moment,
    /// When it was last heard of.
    pub last_report_at: Moment,
}

impl UpstreamProcess {
    /// Returns the number that stands for this run.
    pub fn boot(&self) -> UpstreamBoot {
        let name = format!("{}/{}", self.instance, self.started_ms);
        UpstreamBoot(xxhash_rust::xxh3::xxh3_64(name.as_bytes()))
    }
}

/// What a report changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportEffect {
    /// A new run of the upstream.
    NewProcess,
    /// The upstream is about to stop.
    Leaving,
    /// Nothing that others must know.
    Refreshed,
    /// The report is old and changes nothing.
    Outdated,
}

/// The upstream beside the daemon.
#[derive(Debug, Default)]
pub struct LocalUpstream {
    process: Option<UpstreamProcess>,
    down: bool,
}

impl LocalUpstream {
    /// Returns the present run, where it is up.
    pub fn running(&self) -> Option<&UpstreamProcess> {
        self.process.as_ref().filter(|_| !self.down)
    }

    /// Takes in a report.
    pub fn apply_report(&mut self, now: Moment, report: &StatusReport) -> ReportEffect {
        let Some(process) = &mut self.process else {
            return self.start_process(now, report);
        };
        let same = process.instance == report.instance && process.started_ms == report.started_ms;
        if same && !self.down {
            if report.sequence <= process.sequence {
                return ReportEffect::Outdated;
            }
            return refresh(process, now, report);
        }
        let silent = self.down || now.since(process.last_report_at) >= OLDER_PROCESS_SILENCE;
        let newer = report.started_ms > process.started_ms;
        if same && report.sequence <= process.sequence {
            return ReportEffect::Outdated;
        }
        if newer || silent {
            return self.start_process(now, report);
        }
        ReportEffect::Outdated
    }

    /// Takes in that the run `instance` leaves; returns whether that is news.
    pub fn mark_leaving(&mut self, now: Moment, instance: &str, started_ms: Option<u64>) -> bool {
        let Some(process) = &mut self.process else {
            return false;
        };
        let matches =
            process.instance == instance && started_ms.is_none_or(|s| s == process.started_ms);
        if matches && process.leaving_since.is_none() {
            process.leaving_since = Some(now);
            return true;
        }
        false
    }

    /// Notes that the upstream's process is gone; returns whether that is news.
    pub fn mark_down(&mut self) -> bool {
        let changed = self.process.is_some() && !self.down;
        self.down = true;
        changed
    }

    /// Notes that the upstream is cold for `duration` more.
    pub fn set_cold_for(&mut self, now: Moment, duration: Duration) {
        if let Some(process) = &mut self.process {
            process.cold_until = now + duration;
        }
    }

    fn start_process(&mut self, now: Moment, report: &StatusReport) -> ReportEffect {
        self.down = false;
        self.process = Some(UpstreamProcess {
            instance: report.instance.clone(),
            started_ms: report.started_ms,
            sequence: report.sequence,
            service: report.service.clone(),
            domain: report.domain.clone(),
            slots: report.slots,
            leaving_since: report.draining.then_some(now),
            cold_until: now + report.warmup_remaining,
            last_report_at: now,
        });
        ReportEffect::NewProcess
    }
}

/// Takes in a newer report of the present run.
fn refresh(process: &mut UpstreamProcess, now: Moment, report: &StatusReport) -> ReportEffect {
    process.sequence = report.sequence;
    process.slots = report.slots;
    process.last_report_at = now;
    process.cold_until = now + report.warmup_remaining;
    if report.draining && process.leaving_since.is_none() {
        process.leaving_since = Some(now);
        return ReportEffect::Leaving;
    }
    ReportEffect::Refreshed
}
