//! The flag that asks the threads of a process to stop.

use std::sync::{Condvar, Mutex};
use std::time::Duration;

use crate::process::sync;

/// A flag that is set once, and that threads can wait for.
#[derive(Debug, Default)]
pub struct StopFlag {
    is_set: Mutex<bool>,
    condvar: Condvar,
}

impl StopFlag {
    /// Sets the flag and wakes all waiting threads.
    pub fn set(&self) {
        *sync::lock(&self.is_set) = true;
        self.condvar.notify_all();
    }

    /// Returns whether the flag is set.
    pub fn is_set(&self) -> bool {
        *sync::lock(&self.is_set)
    }

    /// Waits up to `timeout` for the flag; returns whether it is set.
    pub fn wait(&self, timeout: Duration) -> bool {
        let guard = sync::lock(&self.is_set);
        let result = self
            .condvar
            .wait_timeout_while(guard, timeout, |is_set| !*is_set);
        *result.unwrap_or_else(std::sync::PoisonError::into_inner).0
    }
}
