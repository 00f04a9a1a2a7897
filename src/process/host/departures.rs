//! Remembers which processes of the local upstream have announced that they will stop.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::process::moment::Moment;

/// How many departures are remembered. The processes on one host follow each other, so that older
/// ones have ended long ago.
const DEPARTURES_MAX: usize = 16;

/// A process of the upstream that has announced that it will stop.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartedProcess {
    /// Name that the process reports for itself.
    pub instance: String,
    /// Start time by the upstream's clock, in milliseconds since 1970; `None` if the announcement did
    /// not state it, until the next process with this name reports.
    pub started_ms: Option<u64>,
}

/// The processes of the local upstream that have announced that they will stop, each with the time of
/// its first announcement.
///
/// An announcement is never withdrawn, whichever reports come before or after it.
#[derive(Debug, Default)]
pub struct Departures(VecDeque<(DepartedProcess, Moment)>);

impl Departures {
    /// Records that `process` announced that it will stop. One without a start time stands for the
    /// process with its name that reports next.
    pub fn record(&mut self, now: Moment, process: DepartedProcess) {
        if self.0.iter().any(|(known, _)| *known == process) {
            return;
        }
        if self.0.len() == DEPARTURES_MAX {
            self.0.pop_front();
        }
        self.0.push_back((process, now));
    }

    /// Returns when the process `instance`, which has just reported the start time `started_ms`,
    /// announced that it will stop, if it did.
    pub fn announced_at(&mut self, instance: &str, started_ms: u64) -> Option<Moment> {
        let mut named = self.0.iter_mut().filter(|(p, _)| p.instance == instance);
        let found = named.find(|(p, _)| p.started_ms.is_none_or(|s| s == started_ms));
        let (process, at) = found?;
        process.started_ms = Some(started_ms);
        Some(*at)
    }

    /// Returns the processes, in the order of their announcements.
    pub fn processes(&self) -> Vec<DepartedProcess> {
        self.0.iter().map(|(process, _)| process.clone()).collect()
    }
}
