//! A team of callers.

use serde::{Deserialize, Serialize};

use crate::version::burst::Burst;
use crate::version::request_rate::RequestRate;
use crate::version::team_name::TeamName;

/// A team of callers that share API keys, a priority and a rate limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Team {
    /// The team's name.
    pub name: TeamName,
    /// The priority of the team's requests, which takes precedence over the route's; 0 is the most
    /// urgent. `None` if the route's applies.
    pub priority: Option<u8>,
    /// The rate limit; `None` for no limit.
    pub rate: Option<RequestRate>,
    /// How many requests above the rate the team may send at once.
    pub burst: Burst,
}
