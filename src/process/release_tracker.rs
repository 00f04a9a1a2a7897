//! Which epochs a daemon may announce as released while releases overlap.

use std::collections::{BTreeMap, BTreeSet};

use crate::version::epoch::Epoch;

/// Tracks the releases in progress. A release for an epoch ends the work on all slices that this
/// epoch or an earlier one took away, unless an earlier release still does.
#[derive(Debug, Default)]
pub struct ReleaseTracker {
    /// The number of releases in progress for each epoch.
    pending: BTreeMap<Epoch, usize>,
    /// The epochs whose releases have ended, but which wait for earlier ones.
    ended: BTreeSet<Epoch>,
    /// The number of releases of all slices in progress, which hold up each announcement.
    of_all: usize,
}

impl ReleaseTracker {
    /// Begins the release of the slices that the table of `epoch` assigns to others.
    pub fn begin(&mut self, epoch: Epoch) {
        *self.pending.entry(epoch).or_default() += 1;
    }

    /// Ends a release; returns the epoch to announce, if there is one.
    pub fn end(&mut self, epoch: Epoch) -> Option<Epoch> {
        if let Some(count) = self.pending.get_mut(&epoch) {
            *count -= 1;
            if *count == 0 {
                self.pending.remove(&epoch);
            }
        }
        self.ended.insert(epoch);
        self.take_announceable()
    }

    /// Begins the release of all slices.
    pub fn begin_all(&mut self) {
        self.of_all += 1;
    }

    /// Ends the release of all slices; returns the epoch to announce, if there is one.
    pub fn end_all(&mut self) -> Option<Epoch> {
        self.of_all -= 1;
        self.take_announceable()
    }

    /// Returns the number of releases in progress.
    pub fn in_progress(&self) -> usize {
        self.pending.values().sum::<usize>() + self.of_all
    }

    /// Removes and returns the newest epoch before which no release is in progress.
    fn take_announceable(&mut self) -> Option<Epoch> {
        if self.of_all > 0 {
            return None;
        }
        let first_pending = self.pending.keys().next().copied();
        let is_complete = |e: &Epoch| first_pending.is_none_or(|p| *e < p);
        let announceable = self.ended.iter().copied().filter(is_complete).max()?;
        self.ended.retain(|e| *e > announceable);
        Some(announceable)
    }
}
