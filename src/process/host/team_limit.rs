//! The rate limit of a team.

use crate::version::team::Team;

/// Longest delay until a token that is computed from a rate, in seconds.
pub(super) const TOKEN_DELAY_MAX_S: f64 = 3600.0;

/// The rate limit of a team over all daemons together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamLimit {
    /// Requests per second, above zero.
    pub rate: f64,
    /// Requests above the rate that the team may send at once.
    pub burst: f64,
}

impl TeamLimit {
    /// Returns the limit of a team, or `None` if it has no rate.
    pub fn of(team: &Team) -> Option<Self> {
        Some(Self {
            rate: team.rate?.per_second(),
            burst: team.burst.0 as f64,
        })
    }

    /// Returns in how many seconds `tokens` tokens accrue; at most one hour.
    pub fn seconds_for(&self, tokens: f64) -> f64 {
        (tokens / self.rate).clamp(0.0, TOKEN_DELAY_MAX_S)
    }
}
