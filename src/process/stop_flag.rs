//! Tells all threads of a process that it stops.

use std::sync::{Condvar, Mutex};
use std::time::Duration;

use crate::process::sync;

/// A flag that is raised once, and that threads can wait for.
#[derive(Debug, Default)]
pub struct StopFlag {
    raised: Mutex<bool>,
    changed: Condvar,
}

impl StopFlag {
    /// Raises the flag.
    pub fn set(&self) {
        *sync::lock(&self.raised) = true;
        self.changed.notify_all();
    }

    /// Returns whether the flag is raised.
    pub fn is_set(&self) -> bool {
        *sync::lock(&self.raised)
    }

    /// Waits up to `span` for the flag; returns whether it is raised.
    pub fn wait(&self, span: Duration) -> bool {
        let raised = sync::lock(&self.raised);
        let waited = self.changed.wait_timeout_while(raised, span, |r| !*r);
        *waited.unwrap_or_else(std::sync::PoisonError::into_inner).0
    }
}
