//! Logs when the store becomes unavailable and when it is available again.

use crate::process::store::StoreError;

/// Whether a thread's calls to the store currently fail.
pub(super) struct StoreHealth {
    name: &'static str,
    failing: bool,
}

impl StoreHealth {
    /// Creates the state of the calls that the log names `name`.
    pub(super) fn new(name: &'static str) -> Self {
        Self {
            name,
            failing: false,
        }
    }

    /// Returns whether the last call failed.
    pub(super) fn is_failing(&self) -> bool {
        self.failing
    }

    /// Logs the first failure after a success.
    pub(super) fn record_failure(&mut self, e: &StoreError) {
        if !self.failing {
            tracing::warn!(event = "store-lost", for_what = self.name, error = %e);
        }
        self.failing = true;
    }

    /// Logs the first success after a failure.
    pub(super) fn record_success(&mut self) {
        if self.failing {
            tracing::info!(event = "store-regained", for_what = self.name);
        }
        self.failing = false;
    }
}
