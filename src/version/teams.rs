//! The teams of a routing configuration.
//!
//! ```
//! use foxtaildrift::version::api_key::ApiKeyDigest;
//! use foxtaildrift::version::burst::Burst;
//! use foxtaildrift::version::team::Team;
//! use foxtaildrift::version::teams::Teams;
//!
//! let name = "hule930".parse().expect("a name");
//! let team = Team { name, priority: Some(1), rate: None, burst: Burst::default() };
//! let teams = Teams::new([(team, vec![ApiKeyDigest::of(b"a key")])]);
//! let found = teams.of_key(&ApiKeyDigest::of(b"a key")).expect("a team");
//! assert_eq!(found.name.as_str(), "hule930");
//! assert!(teams.of_key(&ApiKeyDigest::of(b"another key")).is_none());
//! ```

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::version::api_key::ApiKeyDigest;
use crate::version::team::Team;
use crate::version::team_name::TeamName;

/// The teams with their API keys.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Teams {
    by_name: BTreeMap<TeamName, Team>,
    by_key: BTreeMap<ApiKeyDigest, TeamName>,
}

impl Teams {
    /// Returns whether a key identifies a team here that it did not identify in `former`.
    pub fn adds_keys_to(&self, former: &Self) -> bool {
        let mut keys = self.by_key.iter();
        keys.any(|(key, name)| former.by_key.get(key) != Some(name))
    }

    /// Returns the teams with their keys. If a name or a key is listed twice, the first one applies.
    pub fn new(teams: impl IntoIterator<Item = (Team, Vec<ApiKeyDigest>)>) -> Self {
        let mut all = Self::default();
        for (team, keys) in teams {
            for key in keys {
                all.by_key.entry(key).or_insert_with(|| team.name.clone());
            }
            all.by_name.entry(team.name.clone()).or_insert(team);
        }
        all
    }

    /// Returns the team that `key` belongs to.
    pub fn of_key(&self, key: &ApiKeyDigest) -> Option<&Team> {
        self.by_name.get(self.by_key.get(key)?)
    }

    /// Returns the team with this name.
    pub fn get(&self, name: &TeamName) -> Option<&Team> {
        self.by_name.get(name)
    }

    /// Returns all teams, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = &Team> {
        self.by_name.values()
    }
}
