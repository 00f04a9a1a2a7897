//! How far the requests of a team may exceed its rate limit, and how that allowance is divided.
//!
//! In a window of `window` seconds a team may get (`rate` x window + `burst`) x (1 + `overage`) +
//! `slack` requests. The quota owner's bucket gives at most capacity + refill x (window + validity)
//! tokens that are used in one window: those issued in it, and those issued up to their validity
//! earlier. All fixed shares together give [`QuotaConfig::fixed_requests`]. Of the overage of the
//! rate, half goes to the validity, a quarter to the refill, and a quarter to the fixed shares; half
//! of the slack goes to the capacity, half to the fixed shares. The overage of the burst is left for
//! tables that differ between daemons.

use std::time::Duration;

use crate::process::host::team_limit::TeamLimit;

/// Fraction of the overage that goes to tokens which are used later than they are issued.
const VALIDITY_FRACTION: f64 = 0.5;
/// Fraction of the overage by which the bucket is refilled faster than the rate, to make up for tokens
/// that expire unused or are lost with a datagram: without it, a team that uses all of its rate is
/// refused some requests.
const REFILL_FRACTION: f64 = 0.25;
/// Fraction of the overage that goes to the fixed shares.
const FIXED_FRACTION: f64 = 0.25;
/// Fraction of the slack that enlarges the quota owner's bucket, so that a team without a burst may
/// send several requests at once; the rest goes to the fixed shares.
const BUCKET_SLACK_FRACTION: f64 = 0.5;
/// Longest validity of a token: longer ones are lost to other daemons while they are not used.
const TOKEN_VALIDITY_MAX: Duration = Duration::from_millis(250);
/// Shortest validity of a token, in which an answer of the quota owner still arrives.
const TOKEN_VALIDITY_MIN: Duration = Duration::from_millis(20);
/// Longest interval between two asks for tokens while there is demand.
const ASK_INTERVAL_MAX: Duration = Duration::from_millis(100);
/// Number of asks within the validity of a token, so that one may be lost.
const ASKS_PER_VALIDITY: f64 = 2.5;

/// Allowance over the rate limits of teams, over all daemons together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaConfig {
    /// Length of the window in which a limit holds.
    pub window: Duration,
    /// Fraction by which a limit may be exceeded.
    pub overage: f64,
    /// Requests per window in addition.
    pub slack: f64,
}

impl QuotaConfig {
    /// Returns how many requests of a team may be sent in any window.
    pub fn allowance(&self, limit: &TeamLimit) -> f64 {
        let nominal = limit.rate * self.window.as_secs_f64() + limit.burst;
        nominal * (1.0 + self.overage) + self.slack
    }

    /// Returns how many tokens the quota owner keeps at most for a team that sends nothing.
    pub fn capacity(&self, limit: &TeamLimit) -> f64 {
        // What accrues between two asks of one daemon must fit.
        let between_asks = self.refill_rate(limit) * self.ask_interval().as_secs_f64();
        self.free_capacity(limit).max(between_asks).max(1.0)
    }

    /// Returns how many tokens the bucket gets in a second.
    pub fn refill_rate(&self, limit: &TeamLimit) -> f64 {
        limit.rate * (1.0 + self.overage * REFILL_FRACTION)
    }

    /// Returns how long a token is valid from the time at which it was asked for.
    pub fn token_validity(&self, limit: &TeamLimit) -> Duration {
        let excess = self.capacity(limit) - self.free_capacity(limit);
        let validity = self.longest_validity().as_secs_f64() - limit.seconds_for(excess);
        Duration::from_secs_f64(validity.max(TOKEN_VALIDITY_MIN.as_secs_f64()))
    }

    /// Returns the interval between two asks of a daemon that has tokens left.
    pub fn ask_interval(&self) -> Duration {
        let interval = self.longest_validity().div_f64(ASKS_PER_VALIDITY);
        interval.min(ASK_INTERVAL_MAX)
    }

    /// Returns how many requests of a team all daemons without an answer of the quota owner may send
    /// in a window.
    pub fn fixed_requests(&self, limit: &TeamLimit) -> u64 {
        let overage = limit.rate * self.window.as_secs_f64() * self.overage;
        let slack = self.slack * (1.0 - BUCKET_SLACK_FRACTION);
        (overage * FIXED_FRACTION + slack) as u64
    }

    /// Returns the capacity that takes nothing from the validity of tokens.
    fn free_capacity(&self, limit: &TeamLimit) -> f64 {
        let unpaid = self.longest_validity().saturating_sub(self.paid_validity());
        let capacity = limit.burst + self.slack * BUCKET_SLACK_FRACTION;
        (capacity - limit.rate * unpaid.as_secs_f64()).max(0.0)
    }

    fn longest_validity(&self) -> Duration {
        self.paid_validity()
            .clamp(TOKEN_VALIDITY_MIN, TOKEN_VALIDITY_MAX)
    }

    /// Returns the validity for which the overage allows.
    fn paid_validity(&self) -> Duration {
        // Tokens are issued at the refill rate.
        let overage = self.overage / (1.0 + self.overage * REFILL_FRACTION);
        self.window.mul_f64(overage * VALIDITY_FRACTION)
    }
}
