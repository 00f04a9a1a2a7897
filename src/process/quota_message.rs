//! Parts of the datagrams by which daemons share the quotas of teams.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::version::team_name::TeamName;

/// A number of tokens of one team, each for one request: asked for, or left over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamTokens {
    /// The team.
    pub team: TeamName,
    /// The number of tokens.
    pub tokens: u32,
}

/// The answer of a quota owner to an ask for tokens of one team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamGrant {
    /// The team.
    pub team: TeamName,
    /// The number of tokens, at most as many as were asked for.
    pub tokens: u32,
    /// How long until the team's bucket has another token.
    pub next_token_in: Duration,
}
