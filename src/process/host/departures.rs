//! Remembers which processes of the local upstream have announced that they will stop.

use std::collections::VecDeque;

use crate::process::moment::Moment;
use crate::version::departed_process::DepartedProcess;

/// How many departures are remembered. The processes on one host follow each other, so that older
/// ones have ended long ago.
pub const DEPARTURES_MAX: usize = 16;

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
