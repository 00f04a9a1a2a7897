//! Tells of the store once it is lost, and once it is back.

use crate::process::store::StoreError;

/// What a thread remembers of its calls to the store.
pub(super) struct StoreHealth {
    name: &'static str,
    lost: bool,
}

impl StoreHealth {
    /// Begins for what the log names `name`.
    pub(super) fn new(name: &'static str) -> Self {
        Self { name, lost: false }
    }

    /// Tells once that the store can't be used.
    pub(super) fn record_failure(&mut self, e: &StoreError) {
        if !self.lost {
            tracing::warn!(event = "store-lost", for_what = self.name, error = %e);
        }
        self.lost = true;
    }

    /// Tells once that the store can be used again.
    pub(super) fn record_success(&mut self) {
        if self.lost {
            tracing::info!(event = "store-regained", for_what = self.name);
        }
        self.lost = false;
    }
}
