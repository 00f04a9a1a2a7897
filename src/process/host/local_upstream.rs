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
const SILENCE: Duration = Duration::from_millis(3000);

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
    pub heard: Moment,
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
pub enum Change {
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
    life: Option<UpstreamProcess>,
    down: bool,
}

impl LocalUpstream {
    /// Returns the present run, where it is up.
    pub fn up(&self) -> Option<&UpstreamProcess> {
        self.life.as_ref().filter(|_| !self.down)
    }

    /// Takes in a report.
    pub fn report(&mut self, now: Moment, report: &StatusReport) -> Change {
        let Some(life) = &mut self.life else {
            return self.begin(now, report);
        };
        let same = life.instance == report.instance && life.started_ms == report.started_ms;
        if same && !self.down {
            if report.sequence <= life.sequence {
                return Change::Outdated;
            }
            return refresh(life, now, report);
        }
        let silent = self.down || now.since(life.heard) >= SILENCE;
        let newer = report.started_ms > life.started_ms;
        if same && report.sequence <= life.sequence {
            return Change::Outdated;
        }
        if newer || silent {
            return self.begin(now, report);
        }
        Change::Outdated
    }

    /// Takes in that the run `instance` leaves; returns whether that is news.
    pub fn leave(&mut self, now: Moment, instance: &str, started_ms: Option<u64>) -> bool {
        let Some(life) = &mut self.life else {
            return false;
        };
        let named = life.instance == instance && started_ms.is_none_or(|s| s == life.started_ms);
        if named && life.leaving_since.is_none() {
            life.leaving_since = Some(now);
            return true;
        }
        false
    }

    /// Notes that the upstream's process is gone; returns whether that is news.
    pub fn lose(&mut self) -> bool {
        let news = self.life.is_some() && !self.down;
        self.down = true;
        news
    }

    /// Notes that the upstream is cold for `span` more.
    pub fn turn_cold(&mut self, now: Moment, span: Duration) {
        if let Some(life) = &mut self.life {
            life.cold_until = now + span;
        }
    }

    fn begin(&mut self, now: Moment, report: &StatusReport) -> Change {
        self.down = false;
        self.life = Some(UpstreamProcess {
            instance: report.instance.clone(),
            started_ms: report.started_ms,
            sequence: report.sequence,
            service: report.service.clone(),
            domain: report.domain.clone(),
            slots: report.slots,
            leaving_since: report.draining.then_some(now),
            cold_until: now + report.warmup_remaining,
            heard: now,
        });
        Change::NewProcess
    }
}

/// Takes in a newer report of the present run.
fn refresh(life: &mut UpstreamProcess, now: Moment, report: &StatusReport) -> Change {
    life.sequence = report.sequence;
    life.slots = report.slots;
    life.heard = now;
    life.cold_until = now + report.warmup_remaining;
    if report.draining && life.leaving_since.is_none() {
        life.leaving_since = Some(now);
        return Change::Leaving;
    }
    Change::Refreshed
}
