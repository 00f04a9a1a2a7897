//! What outlives this process of the announcements of the local upstream that it will stop. Only such an
//! announcement is acknowledged.

use std::sync::{Condvar, Mutex, PoisonError};
use std::time::Duration;

use crate::process::sync;
use crate::version::departed_process::DepartedProcess;

#[derive(Debug, Default)]
struct State {
    /// Departures in the store.
    stored: Vec<DepartedProcess>,
    /// Departures of which other daemons hold copies.
    copied: Vec<DepartedProcess>,
    /// Whether the departures that former processes of this daemon acknowledged are known.
    is_recovered: bool,
    /// Whether nothing is stored any more.
    is_closed: bool,
}

/// Departures that outlive this process.
#[derive(Debug, Default)]
pub struct DepartureLog {
    state: Mutex<State>,
    /// Notified when departures are stored, and when the log is closed.
    stored_changed: Condvar,
}

impl DepartureLog {
    /// Records that the store has `processes`.
    pub fn record_stored(&self, processes: &[DepartedProcess]) {
        sync::lock(&self.state).stored = processes.to_vec();
        self.stored_changed.notify_all();
    }

    /// Records that enough other daemons hold copies of `processes`.
    pub fn record_copied(&self, processes: &[DepartedProcess]) {
        sync::lock(&self.state).copied = processes.to_vec();
    }

    /// Returns whether the departure of `process` outlives this process.
    pub fn is_durable(&self, process: &DepartedProcess) -> bool {
        let state = sync::lock(&self.state);
        state.stored.contains(process) || state.copied.contains(process)
    }

    /// Waits up to `timeout` until the store has the departure of `process`; returns whether it does.
    pub fn await_stored(&self, process: &DepartedProcess, timeout: Duration) -> bool {
        let state = sync::lock(&self.state);
        let is_pending = |s: &mut State| !s.is_closed && !s.stored.contains(process);
        let waited = self
            .stored_changed
            .wait_timeout_while(state, timeout, is_pending);
        let (state, _) = waited.unwrap_or_else(PoisonError::into_inner);
        state.stored.contains(process)
    }

    /// Records that the departures that former processes of this daemon acknowledged are known.
    pub fn set_recovered(&self) {
        sync::lock(&self.state).is_recovered = true;
    }

    /// Returns whether the departures that former processes of this daemon acknowledged are known.
    pub fn is_recovered(&self) -> bool {
        sync::lock(&self.state).is_recovered
    }

    /// Ends the waits for the store, as the process ends.
    pub fn close(&self) {
        sync::lock(&self.state).is_closed = true;
        self.stored_changed.notify_all();
    }
}
