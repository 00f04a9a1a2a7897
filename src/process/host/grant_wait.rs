//! Decides how long a request waits at the next owner of its key until the key is granted to the
//! upstream. Performs no I/O: callers pass in the time.

use std::time::Duration;

use crate::process::moment::Moment;
use crate::request::upstream_outcome::{NotRunCause, UpstreamOutcome};

/// A request waits its objective divided by this for a key that is moving to another owner.
pub const MOVE_WAIT_DIVISOR: u32 = 2;
/// Longest wait before the conditions are checked again.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Wait of one request.
#[derive(Clone, Copy, Debug)]
pub struct GrantWait {
    until: Moment,
}

impl GrantWait {
    /// Starts the wait of a request that counts as slow after `objective`.
    pub fn new(now: Moment, objective: Duration) -> Self {
        Self {
            until: now + objective / MOVE_WAIT_DIVISOR,
        }
    }

    /// Returns how long to wait before the conditions are checked again, or `None` if the request
    /// must be refused with `refusal` now. `is_next_owner` states whether this daemon is the one
    /// that the key moves to: only then the grant is to be expected.
    pub fn next(
        &self,
        now: Moment,
        refusal: &UpstreamOutcome,
        is_next_owner: bool,
    ) -> Option<Duration> {
        let is_moving = matches!(
            refusal,
            UpstreamOutcome::NotRun {
                cause: NotRunCause::NotOwner,
                ..
            }
        );
        let remaining = self.until.since(now);
        let waits = is_moving && is_next_owner && !remaining.is_zero();
        waits.then(|| remaining.min(CHECK_INTERVAL))
    }
}
