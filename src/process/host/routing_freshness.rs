//! Decides whether the adopted routing is known to be recent enough for requests with API keys.
//!
//! A key that operators revoked must not work later than a timeout after the store acknowledged its
//! removal. A daemon therefore keeps the latest time, by its own clock, at which its adopted routing
//! is known to have been the newest. It learns that from its own store calls, and from the grants of
//! its witnesses. The load that this handles: a store that is slow, or unreachable for some daemons,
//! while others reach it.

use std::time::Duration;

use crate::process::moment::Moment;
use crate::version::document_version::DocumentVersion;

/// The part of a time span by which two clocks may differ over it: one in this number. It is the
/// share that the drift margin has of a lease.
const DRIFT_DIVISOR: u32 = 20;
/// The longest watch call, whatever the timeout.
const WATCH_MAX: Duration = Duration::from_secs(1);
/// The part of the timeout that a watch call may take: one in this number. Knowledge is up to two
/// calls old before the next one ends, and each hop to another daemon adds a renewal interval, so
/// that eight hops remain within the default timeout.
const WATCH_DIVISOR: u32 = 8;
/// The age of the knowledge at which a daemon calls the store itself, and the interval of these calls:
/// one in this number of the timeout. While the store is down, 4,400 daemons send 1,760 such calls a
/// second, below the 6,000 reads that it takes.
const OWN_CALL_DIVISOR: u32 = 2;

/// When the adopted routing was the newest; without a timeout it is always recent enough.
#[derive(Clone, Debug, Default)]
pub struct RoutingFreshness {
    timeout: Option<Duration>,
    newest_at: Option<Moment>,
    /// The same, for routings of the present era only.
    shared_at: Option<Moment>,
    /// Whether the routing has teams that may be older than those adopted before.
    is_suspended: bool,
    own_call_at: Option<Moment>,
}

impl RoutingFreshness {
    /// Creates the state of a daemon at which a revoked key must not work later than `timeout` after
    /// its removal.
    pub fn strict(timeout: Duration) -> Self {
        Self {
            timeout: Some(timeout),
            ..Self::default()
        }
    }

    /// Returns whether keys must not work later than a timeout after their removal.
    pub fn is_strict(&self) -> bool {
        self.timeout.is_some()
    }

    /// Records that a routing of a later era was adopted. What was known of the former one holds for this
    /// daemon, but not for another that has a routing of the new era without what the store lost.
    pub fn begin_era(&mut self) {
        self.shared_at = None;
    }

    /// Records that the routing gets teams that may be older than those in force: no key counts as valid
    /// until [`Self::resume`].
    pub fn suspend(&mut self) {
        self.is_suspended = true;
        self.newest_at = None;
        self.shared_at = None;
    }

    /// Records that the operators wrote the teams of the routing after those adopted before.
    pub fn resume(&mut self) {
        self.is_suspended = false;
    }

    /// Records a store call, begun at `started`, that showed no newer routing than the adopted one.
    pub fn record_store_call(&mut self, started: Moment) {
        self.record(started);
    }

    /// Records a store call that returned changes: the next one may follow at once.
    pub fn record_changes(&mut self) {
        self.own_call_at = Some(Moment::default());
    }

    /// Records the answer of a witness to a renewal that this daemon sent at `sent`: `age` before the
    /// answer was sent, `witness_version` was the newest. It counts only if this daemon has adopted
    /// that version or a later one of the same era: one of a later era may lack what the store lost
    /// when it came back from an older copy.
    pub fn record_grant(
        &mut self,
        sent: Moment,
        age: Duration,
        witness_version: DocumentVersion,
        own_version: DocumentVersion,
    ) {
        if own_version >= witness_version && own_version.era == witness_version.era {
            // The witness answered after `sent`, and its clock may have been slow.
            self.record(sent - age - drift(age));
        }
    }

    /// Returns how long ago the adopted routing is known to have been the newest, for other daemons;
    /// `None` if that would not help them.
    pub fn shared_age(&self, now: Moment) -> Option<Duration> {
        let age = now.since(self.shared_at?);
        (age < self.timeout?).then_some(age)
    }

    /// Returns the latest time at which the adopted routing is known to have been the newest.
    pub fn newest_at(&self) -> Option<Moment> {
        self.newest_at
    }

    /// Returns whether no key of the adopted routing can have been removed longer ago than the
    /// timeout.
    pub fn is_recent(&self, now: Moment) -> bool {
        let Some(timeout) = self.timeout else {
            return true;
        };
        let limit = timeout - drift(timeout);
        self.newest_at.is_some_and(|at| now.since(at) <= limit)
    }

    /// Returns the longest watch call of the routing, or `None` for no limit.
    pub fn watch_max(&self) -> Option<Duration> {
        Some((self.timeout? / WATCH_DIVISOR).min(WATCH_MAX))
    }

    /// Returns whether this daemon must call the store itself at `now`, because other daemons' knowledge
    /// does not reach it in time; if so, the next such call is due later.
    pub fn take_own_call(&mut self, now: Moment) -> bool {
        let Some(interval) = self.timeout.map(|t| t / OWN_CALL_DIVISOR) else {
            return false;
        };
        let is_past = |at: Moment| now.since(at) >= interval;
        // The first teams of a routing reach all daemons at once, so these first wait for grants.
        let called_at = *self.own_call_at.get_or_insert(match self.newest_at {
            Some(_) => Moment::default(),
            None => now,
        });
        let due = self.newest_at.is_none_or(is_past) && is_past(called_at);
        if due {
            self.own_call_at = Some(now);
        }
        due
    }

    fn record(&mut self, newest_at: Moment) {
        if self.is_strict() && !self.is_suspended {
            self.newest_at = self.newest_at.max(Some(newest_at));
            self.shared_at = self.shared_at.max(Some(newest_at));
        }
    }
}

/// Returns by how much two clocks may differ over `span`.
fn drift(span: Duration) -> Duration {
    span / DRIFT_DIVISOR
}
