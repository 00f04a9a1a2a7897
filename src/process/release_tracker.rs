//! What a daemon may still use although it no longer serves it, and what it may therefore announce:
//! the newest released epoch, and the end of its session.
//!
//! Releases overlap, and need not begin in the order of the tables that caused them.

use std::collections::BTreeMap;

use crate::process::moment::Moment;
use crate::version::epoch::Epoch;

/// Identifies a release in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReleaseId(u64);

/// A release in progress.
#[derive(Debug)]
struct Release {
    /// The first epoch whose table may have taken the released slices away.
    lost_at: Epoch,
    /// When the release is over, at the latest.
    over_at: Moment,
}

/// Tracks the releases in progress.
#[derive(Debug, Default)]
pub struct ReleaseTracker {
    /// The newest epoch of which all lost slices were released, or are being released.
    covered: Epoch,
    releases: BTreeMap<ReleaseId, Release>,
    last_id: u64,
}

impl ReleaseTracker {
    /// Begins the release of slices that the daemon no longer serves, which is over at `over_at` at
    /// the latest. Any table that is newer than the last one covered may have taken them away.
    pub fn begin(&mut self, over_at: Moment) -> ReleaseId {
        self.last_id += 1;
        let id = ReleaseId(self.last_id);
        let release = Release {
            lost_at: self.covered.next(),
            over_at,
        };
        self.releases.insert(id, release);
        id
    }

    /// Records that the release of all slices which the tables up to `epoch` took away has begun.
    pub fn cover(&mut self, epoch: Epoch) {
        self.covered = self.covered.max(epoch);
    }

    /// Ends a release at `moment`, until which the slices may still be used, unless it is over
    /// earlier anyway.
    pub fn end_at(&mut self, id: ReleaseId, moment: Moment) {
        if let Some(release) = self.releases.get_mut(&id) {
            release.over_at = release.over_at.min(moment);
        }
    }

    /// Forgets the releases that are over, and returns how many are in progress.
    pub fn in_progress(&mut self, now: Moment) -> usize {
        self.releases.retain(|_, r| r.over_at > now);
        self.releases.len()
    }

    /// Returns the newest epoch that may be announced as released: all slices that its table or an
    /// earlier one took away are.
    pub fn released_epoch(&mut self, now: Moment) -> Epoch {
        self.releases.retain(|_, r| r.over_at > now);
        let first_lost = self.releases.values().map(|r| r.lost_at).min();
        first_lost.map_or(self.covered, |e| Epoch(e.0.saturating_sub(1)))
    }
}
