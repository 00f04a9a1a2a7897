//! Recognises callers that return after a refusal as they were told. Performs no I/O: callers pass
//! in the time.
//!
//! Answers overload in which refused callers come back: the objective of a request counts from the
//! caller's first attempt, so the returning one goes before those that come for the first time, as
//! long as it can still meet its objective. A caller that doesn't wait as told gains nothing.

use std::collections::HashMap;
use std::time::Duration;

use crate::process::moment::Moment;
use crate::request::fingerprint::Fingerprint;

/// Maximum number of refusals that are remembered.
const REFUSALS_MAX: usize = 4096;
/// How long a refusal is remembered after the caller was told to return.
const RETURN_WINDOW: Duration = Duration::from_secs(2);
/// Callers wait at most this part of the time that they have left, whatever they are told.
const HONOURED_DELAY_DIVISOR: u32 = 3;
/// Fraction of the delay after which a caller counts as returning as told; clocks and timers of
/// callers are not exact.
const DELAY_TOLERANCE: f64 = 0.9;

/// Refusal of a request.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    /// When the first attempt arrived.
    first_at: Moment,
    return_at: Moment,
    expires_at: Moment,
}

/// Requests that were refused a short time ago.
#[derive(Debug, Default)]
pub struct ReturningCallers {
    refusals: HashMap<Fingerprint, Refusal>,
}

impl ReturningCallers {
    /// Returns whether no refusal is remembered, so that no request needs to be looked up.
    pub fn is_empty(&self) -> bool {
        self.refusals.is_empty()
    }

    /// Returns the number of remembered refusals.
    pub fn len(&self) -> usize {
        self.refusals.len()
    }

    /// Records a refusal. `first_at` is when the first attempt arrived, `remaining` how much longer
    /// the caller would have waited.
    pub fn record(
        &mut self,
        now: Moment,
        request: Fingerprint,
        first_at: Moment,
        retry_after: Duration,
        remaining: Duration,
    ) {
        if self.refusals.len() >= REFUSALS_MAX {
            self.refusals.retain(|_, r| r.expires_at > now);
        }
        if self.refusals.len() >= REFUSALS_MAX {
            return;
        }
        let delay = retry_after.min(remaining / HONOURED_DELAY_DIVISOR);
        let refusal = Refusal {
            first_at,
            return_at: now + delay.mul_f64(DELAY_TOLERANCE),
            expires_at: now + delay + RETURN_WINDOW,
        };
        self.refusals.insert(request, refusal);
    }

    /// Returns when the first attempt of a request arrived, if its caller returns as told. Each
    /// refusal counts for one return.
    pub fn take_first_attempt(&mut self, now: Moment, request: Fingerprint) -> Option<Moment> {
        let refusal = self.refusals.remove(&request)?;
        let is_as_told = (refusal.return_at..refusal.expires_at).contains(&now);
        is_as_told.then_some(refusal.first_at)
    }

    /// Drops the refusals whose callers have not returned in time.
    pub fn remove_expired(&mut self, now: Moment) {
        self.refusals.retain(|_, r| r.expires_at > now);
    }
}
