//! When a daemon sends its join request, and to which members.

use std::time::Duration;

use crate::process::moment::Moment;

/// How often a daemon repeats its join request.
const JOIN_INTERVAL: Duration = Duration::from_millis(500);
/// A join request goes to all members each time this number of attempts has failed; the others go
/// to the likely planners.
const JOIN_BROADCAST_EVERY: u32 = 3;

/// The members that get one attempt of a join request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JoinRecipients {
    /// The members at the front of the planning order.
    LikelyPlanners,
    /// All members.
    All,
}

/// The schedule of a daemon's join requests.
#[derive(Debug)]
pub(crate) struct JoinSchedule {
    next_at: Moment,
    /// Attempts since the table last listed the daemon's member info.
    attempts: u32,
}

impl JoinSchedule {
    /// Creates a schedule whose first attempt is due now.
    pub(crate) fn new(now: Moment) -> Self {
        Self {
            next_at: now,
            attempts: 0,
        }
    }

    /// Makes an attempt due now.
    pub(crate) fn advance(&mut self, now: Moment) {
        self.next_at = now;
    }

    /// Records that no attempt is outstanding.
    pub(crate) fn reset_attempts(&mut self) {
        self.attempts = 0;
    }

    /// Returns whether an attempt is due, and schedules the next one if so.
    pub(crate) fn take_due(&mut self, now: Moment) -> bool {
        let is_due = now >= self.next_at;
        if is_due {
            self.next_at = now + JOIN_INTERVAL;
        }
        is_due
    }

    /// Counts an attempt and returns who gets it; `is_successor` is set if a former process at the
    /// daemon's address is not known to have ended.
    pub(crate) fn begin_attempt(&mut self, is_successor: bool) -> JoinRecipients {
        // That a former process at this address is gone may change who plans, so all must know.
        let must_tell_all = self.attempts == 0 && is_successor;
        self.attempts += 1;
        match must_tell_all || self.attempts.is_multiple_of(JOIN_BROADCAST_EVERY) {
            true => JoinRecipients::All,
            false => JoinRecipients::LikelyPlanners,
        }
    }
}
