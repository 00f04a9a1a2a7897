//! Tracks the current process of the local upstream and its state, from the upstream's reports.

use std::fmt;
use std::time::Duration;

use crate::connection::protocol::StatusReport;
use crate::process::host::departures::Departures;
use crate::process::moment::Moment;
use crate::version::departed_process::DepartedProcess;
use crate::version::domain_name::DomainName;
use crate::version::service_name::ServiceName;
use crate::version::upstream::UpstreamBoot;

/// How long the current process must be silent before a report of a process with an earlier start
/// time replaces it. The clock that start times come from may have been set back.
const OLDER_PROCESS_SILENCE: Duration = Duration::from_millis(3000);

/// One process of the upstream, from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamProcess {
    /// Name that the process reports for itself.
    pub instance: String,
    /// Start time by the upstream's clock, in milliseconds since 1970.
    pub started_ms: u64,
    /// Sequence number of its newest report.
    pub sequence: u64,
    /// Service that it runs.
    pub service: ServiceName,
    /// Failure domain that it runs in.
    pub domain: DomainName,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Time at which it announced that it will stop, if it did.
    pub leaving_since: Option<Moment>,
    /// Time until which it is cold.
    pub cold_until: Moment,
    /// Time of its latest report.
    pub last_report_at: Moment,
}

impl UpstreamProcess {
    /// Returns the id of this process, a hash of its name and start time.
    pub fn boot(&self) -> UpstreamBoot {
        let name = format!("{}/{}", self.instance, self.started_ms);
        UpstreamBoot(xxhash_rust::xxh3::xxh3_64(name.as_bytes()))
    }
}

/// Why the upstream is taken as lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamLoss {
    /// A connection was refused, so its process is gone.
    Refused {
        /// When the refused attempt began: calls that ended by then went to the process that is
        /// gone.
        at: Moment,
    },
    /// It has answered no grant for a while; its process may still run.
    GrantsNotAnswered,
}

impl fmt::Display for UpstreamLoss {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Refused { .. } => "connection refused",
            Self::GrantsNotAnswered => "grants are not answered",
        })
    }
}

/// What a report changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportEffect {
    /// The report comes from a new process of the upstream.
    NewProcess,
    /// The upstream announced that it will stop.
    Leaving,
    /// The report changed nothing that other daemons need to know.
    Refreshed,
    /// The report is outdated and was ignored.
    Outdated,
}

/// State of the upstream on this host.
#[derive(Debug, Default)]
pub struct LocalUpstream {
    process: Option<UpstreamProcess>,
    is_down: bool,
    /// When a process of it was last known to be gone.
    gone_at: Option<Moment>,
    /// When it last showed that it runs, by a report or an answer.
    seen_at: Moment,
    departures: Departures,
}

impl LocalUpstream {
    /// Returns the current process, if it is up.
    pub fn running(&self) -> Option<&UpstreamProcess> {
        self.process.as_ref().filter(|_| !self.is_down)
    }

    /// Applies a report and returns what it changed.
    ///
    /// Each report is acknowledged, so that the announcement in an outdated one counts as well.
    pub fn apply_report(&mut self, now: Moment, report: &StatusReport) -> ReportEffect {
        if report.draining {
            let process = DepartedProcess {
                instance: report.instance.clone(),
                started_ms: Some(report.started_ms),
            };
            self.departures.record(now, process);
        }
        let effect = self.apply_state(now, report);
        match self.apply_departures() {
            true if effect != ReportEffect::NewProcess => ReportEffect::Leaving,
            _ => effect,
        }
    }

    /// Records that the process `instance` will stop, whether or not it has reported; returns
    /// whether that was new for the current process. `None` for `started_ms` stands for the current
    /// process, or for the next one that reports, if its name matches.
    pub fn mark_leaving(&mut self, now: Moment, instance: &str, started_ms: Option<u64>) -> bool {
        self.departures
            .record(now, self.departed_process(instance, started_ms));
        self.apply_departures()
    }

    /// Returns the process that an announcement of `instance` is about. Without a start time that is the
    /// current process, if its name matches.
    pub fn departed_process(&self, instance: &str, started_ms: Option<u64>) -> DepartedProcess {
        let current = self.process.as_ref().filter(|p| p.instance == instance);
        DepartedProcess {
            instance: instance.to_owned(),
            started_ms: started_ms.or(current.map(|p| p.started_ms)),
        }
    }

    /// Returns the processes that have announced that they will stop.
    pub fn departures(&self) -> Vec<DepartedProcess> {
        self.departures.processes()
    }

    /// Records that `processes` had announced that they will stop before this daemon started; returns
    /// whether that is new for the current process.
    pub fn add_departures(&mut self, processes: &[DepartedProcess]) -> bool {
        for process in processes {
            self.departures.record(Moment::default(), process.clone());
        }
        self.apply_departures()
    }

    fn apply_state(&mut self, now: Moment, report: &StatusReport) -> ReportEffect {
        let Some(process) = &mut self.process else {
            return self.start_process(now, report);
        };
        let same = process.instance == report.instance && process.started_ms == report.started_ms;
        if same && !self.is_down {
            if report.sequence <= process.sequence {
                return ReportEffect::Outdated;
            }
            self.seen_at = now;
            return refresh(process, now, report);
        }
        let silent = self.is_down || now.since(process.last_report_at) >= OLDER_PROCESS_SILENCE;
        let newer = report.started_ms > process.started_ms;
        if same && report.sequence <= process.sequence {
            return ReportEffect::Outdated;
        }
        if newer || silent {
            return self.start_process(now, report);
        }
        ReportEffect::Outdated
    }

    /// Sets since when the current process leaves; returns whether that is new.
    fn apply_departures(&mut self) -> bool {
        let Some(process) = &mut self.process else {
            return false;
        };
        let was_leaving = process.leaving_since.is_some();
        process.leaving_since = self
            .departures
            .announced_at(&process.instance, process.started_ms);
        process.leaving_since.is_some() && !was_leaving
    }

    /// Returns the latest time at which a process of the upstream was known to be gone.
    pub fn gone_at(&self) -> Option<Moment> {
        self.gone_at
    }

    /// Returns when the upstream last showed that it runs.
    pub fn seen_at(&self) -> Moment {
        self.seen_at
    }

    /// Records that the upstream answered a request.
    pub fn record_answer(&mut self, now: Moment) {
        self.seen_at = now;
    }

    /// Records that the upstream is lost; returns whether it was up.
    pub fn mark_down(&mut self, loss: UpstreamLoss) -> bool {
        if let UpstreamLoss::Refused { at } = loss {
            self.gone_at = self.gone_at.max(Some(at));
        }
        let changed = self.process.is_some() && !self.is_down;
        self.is_down = true;
        changed
    }

    /// Records that the upstream is cold for another `duration`.
    pub fn set_cold_for(&mut self, now: Moment, duration: Duration) {
        if let Some(process) = &mut self.process {
            process.cold_until = now + duration;
        }
    }

    fn start_process(&mut self, now: Moment, report: &StatusReport) -> ReportEffect {
        self.is_down = false;
        self.seen_at = now;
        self.process = Some(UpstreamProcess {
            instance: report.instance.clone(),
            started_ms: report.started_ms,
            sequence: report.sequence,
            service: report.service.clone(),
            domain: report.domain.clone(),
            slots: report.slots,
            leaving_since: None,
            cold_until: now + report.warmup_remaining,
            last_report_at: now,
        });
        ReportEffect::NewProcess
    }
}

/// Applies a newer report of the current process.
fn refresh(process: &mut UpstreamProcess, now: Moment, report: &StatusReport) -> ReportEffect {
    process.sequence = report.sequence;
    process.slots = report.slots;
    process.last_report_at = now;
    process.cold_until = now + report.warmup_remaining;
    ReportEffect::Refreshed
}
