//! The name of a team.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize};
use thiserror::Error;

/// The maximum length of a team's name, in bytes.
const NAME_BYTES_MAX: usize = 128;

/// The error for text that is not a team's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("not a team's name: use 1 to 128 visible ASCII characters")]
pub struct TeamNameError;

/// The name of a team, such as `hule930`. It consists of visible ASCII characters, so that it is valid
/// as the value of a header.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(transparent)]
pub struct TeamName(Arc<str>);

impl TeamName {
    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for TeamName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for TeamName {
    type Err = TeamNameError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let valid_length = !text.is_empty() && text.len() <= NAME_BYTES_MAX;
        if valid_length && text.bytes().all(|b| b.is_ascii_graphic()) {
            return Ok(Self(text.into()));
        }
        Err(TeamNameError)
    }
}

impl<'de> Deserialize<'de> for TeamName {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
