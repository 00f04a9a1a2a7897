//! The connections on which the result of one piece of work is awaited.

use std::sync::atomic::{AtomicUsize, Ordering};

use crate::connection::recipient::Recipient;

/// Counts the recipients that wait for the result of the same work, and cancels the work when none
/// is left.
pub struct Waiters {
    count: AtomicUsize,
    work: Recipient,
}

impl Default for Waiters {
    fn default() -> Self {
        Self {
            count: AtomicUsize::new(0),
            work: Recipient::connected(),
        }
    }
}

impl Waiters {
    /// Returns the recipient of the work; it disconnects when the work must be cancelled.
    pub fn work(&self) -> &Recipient {
        &self.work
    }

    /// Counts one more recipient.
    pub(super) fn add(&self) {
        self.count.fetch_add(1, Ordering::SeqCst);
    }

    /// Counts one recipient less.
    pub(super) fn remove(&self) {
        if self.count.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.work.disconnect();
        }
    }

    /// Lets the work not begin any more, whoever else waits.
    pub(super) fn withdraw(&self) {
        self.work.withdraw();
    }

    /// Cancels the work whoever else waits.
    pub(super) fn cancel(&self) {
        self.work.disconnect();
    }
}
