//! The part of a [`MemoryBudget`] that one user of memory takes.

use std::sync::Arc;

use crate::connection::memory_budget::MemoryBudget;
use crate::connection::transfer::Transfer;

/// The part of a [`MemoryBudget`] that one body, frame or connection takes; dropping it returns that
/// part.
#[derive(Debug)]
pub struct MemoryReservation {
    budget: Arc<MemoryBudget>,
    bytes: usize,
}

impl MemoryReservation {
    /// Creates an empty reservation.
    pub fn new(budget: &Arc<MemoryBudget>) -> Self {
        Self {
            budget: Arc::clone(budget),
            bytes: 0,
        }
    }

    /// Returns the budget of which it is a part.
    pub fn budget(&self) -> &Arc<MemoryBudget> {
        &self.budget
    }

    /// Returns how many bytes are reserved.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Raises the reservation to `bytes`; returns whether the budget has room for that.
    pub fn raise_to(&mut self, bytes: usize) -> bool {
        if bytes <= self.bytes {
            return true;
        }
        let fits = self.budget.replace(self.bytes, bytes);
        if fits {
            self.bytes = bytes;
        }
        fits
    }

    /// Raises the reservation to `bytes` for `asker`, or for a response if that is `None`; if the budget
    /// has no room, ends transfers that must give way and waits for their memory. Returns whether the
    /// budget has room then.
    pub fn raise_or_shed(&mut self, bytes: usize, asker: Option<&Transfer>) -> bool {
        if self.raise_to(bytes) {
            return true;
        }
        let budget = Arc::clone(&self.budget);
        budget.raise(self, bytes, asker)
    }

    /// Lowers the reservation to `bytes`.
    pub fn lower_to(&mut self, bytes: usize) {
        if bytes < self.bytes {
            self.budget.replace(self.bytes, bytes);
            self.bytes = bytes;
        }
    }

    /// Returns all of the reserved bytes.
    pub fn release(&mut self) {
        self.lower_to(0);
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.release();
    }
}
