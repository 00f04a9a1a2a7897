//! Decides when a process knows the departures that former processes of its daemon acknowledged. Until
//! then its upstream is not offered. Performs no I/O: callers pass in the time.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::process::moment::Moment;

/// How long the process waits for holders that don't answer: they may be lost.
const SILENT_HOLDERS_WAIT: Duration = Duration::from_millis(500);
/// How long the process waits for a store that does not answer.
const SILENT_STORE_WAIT: Duration = Duration::from_millis(1500);

/// What a process has learnt since its start.
#[derive(Debug)]
pub struct DepartureRecovery {
    started: Moment,
    is_store_read: bool,
    /// When the store was last found not to answer.
    read_failed_at: Option<Moment>,
    /// When holders were asked first.
    asked_at: Option<Moment>,
    /// Holders that have not answered.
    silent: BTreeSet<SocketAddr>,
    /// Number of holders that have answered.
    answers: usize,
}

impl DepartureRecovery {
    /// Starts the recovery of a process that knows nothing.
    pub fn new(started: Moment) -> Self {
        Self {
            started,
            is_store_read: false,
            read_failed_at: None,
            asked_at: None,
            silent: BTreeSet::new(),
            answers: 0,
        }
    }

    /// Records that the departures in the store were read.
    pub fn record_store_read(&mut self) {
        self.is_store_read = true;
    }

    /// Records that the departures in the store could not be read.
    pub fn record_failed_read(&mut self, now: Moment) {
        self.read_failed_at = Some(now);
    }

    /// Returns whether to read the store now, at least `delay` after a read that failed.
    pub fn is_store_read_due(&self, now: Moment, delay: Duration) -> bool {
        let has_waited = self.read_failed_at.is_none_or(|at| now.since(at) >= delay);
        !self.is_store_read && has_waited
    }

    /// Returns whether the departures in the store were read.
    pub fn is_store_read(&self) -> bool {
        self.is_store_read
    }

    /// Records the daemons that may hold copies, once the members are known.
    pub fn begin_asking(&mut self, now: Moment, holders: Vec<SocketAddr>) {
        if self.asked_at.is_none() {
            self.asked_at = Some(now);
            self.silent = holders.into_iter().collect();
        }
    }

    /// Returns whether it is known which daemons may hold copies.
    pub fn is_asking(&self) -> bool {
        self.asked_at.is_some()
    }

    /// Returns the holders that have not answered.
    pub fn silent_holders(&self) -> Vec<SocketAddr> {
        self.silent.iter().copied().collect()
    }

    /// Records that `holder` has answered.
    pub fn record_answer(&mut self, holder: SocketAddr) {
        if self.silent.remove(&holder) {
            self.answers += 1;
        }
    }

    /// Returns how many holders have answered.
    pub fn answers(&self) -> usize {
        self.answers
    }

    /// Returns how long the recovery has taken at `now`.
    pub fn elapsed(&self, now: Moment) -> Duration {
        now.since(self.started)
    }

    /// Returns whether all is known that can be learnt in time: the holders have answered, or all that
    /// live, and the store was read, or does not answer while holders do.
    pub fn is_complete(&self, now: Moment) -> bool {
        let Some(asked_at) = self.asked_at else {
            return false;
        };
        let has_waited = now.since(asked_at) >= SILENT_HOLDERS_WAIT;
        let have_answered = self.silent.is_empty() || has_waited;
        match self.is_store_read {
            true => have_answered,
            false => {
                let is_store_silent = now.since(self.started) >= SILENT_STORE_WAIT;
                have_answered && self.answers > 0 && is_store_silent
            }
        }
    }
}
