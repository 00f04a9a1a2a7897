//! What one daemon may do under the limit of one team.

use std::time::Duration;

use crate::process::host::quota_config::QuotaConfig;
use crate::process::host::quota_placement::TeamPlacement;
use crate::process::host::team_limit::TeamLimit;

/// The limit of a team, as one daemon applies it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTerms {
    /// The limit over all daemons.
    pub limit: TeamLimit,
    /// Length of the window in which the fixed share holds.
    pub window: Duration,
    /// How long a token is valid from the time at which it was asked for.
    pub token_validity: Duration,
    /// Interval between two asks while there are tokens left.
    pub ask_interval: Duration,
    /// How many requests this daemon may send in a window while the quota owner doesn't answer.
    pub fixed_share: u64,
}

impl QuotaTerms {
    /// Returns the terms of a daemon with this place among the members.
    pub fn new(config: &QuotaConfig, limit: TeamLimit, placement: &TeamPlacement) -> Self {
        Self {
            limit,
            window: config.window,
            token_validity: config.token_validity(&limit),
            ask_interval: config.ask_interval(),
            fixed_share: placement.share_of(config.fixed_requests(&limit)),
        }
    }
}
