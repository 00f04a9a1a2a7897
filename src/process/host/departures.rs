//! Remembers which processes of the local upstream have announced that they will stop.

use std::collections::VecDeque;

use crate::process::moment::Moment;

/// How many departures are remembered. The processes on one host follow each other, so that older
/// ones have ended long ago.
const DEPARTURES_MAX: usize = 64;

/// One process that announced that it will stop.
#[derive(Debug)]
struct Departure {
    /// Name of the process.
    instance: String,
    /// Start time of the process; `None` if the announcement did not state it, until the next process
    /// with its name reports.
    started_ms: Option<u64>,
    /// Time of the first announcement.
    at: Moment,
}

/// The processes of the local upstream that have announced that they will stop.
///
/// An announcement is never withdrawn, whichever reports come before or after it.
#[derive(Debug, Default)]
pub struct Departures(VecDeque<Departure>);

impl Departures {
    /// Records that the process `instance` announced that it will stop. `None` for `started_ms`
    /// stands for the process with this name that reports next.
    pub fn record(&mut self, now: Moment, instance: &str, started_ms: Option<u64>) {
        let mut known = self.0.iter();
        if known.any(|d| d.instance == instance && d.started_ms == started_ms) {
            return;
        }
        if self.0.len() == DEPARTURES_MAX {
            self.0.pop_front();
        }
        self.0.push_back(Departure {
            instance: instance.to_owned(),
            started_ms,
            at: now,
        });
    }

    /// Returns when the process `instance`, which has just reported the start time `started_ms`,
    /// announced that it will stop, if it did.
    pub fn announced_at(&mut self, instance: &str, started_ms: u64) -> Option<Moment> {
        let mut named = self.0.iter_mut().filter(|d| d.instance == instance);
        let departure = named.find(|d| d.started_ms.is_none_or(|s| s == started_ms))?;
        departure.started_ms = Some(started_ms);
        Some(departure.at)
    }
}
