//! The id of a daemon's session.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::version::instance_id::InstanceId;

/// The id of one session of a daemon process as a member; each join starts a new session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionId {
    /// The daemon process.
    pub instance: InstanceId,
    /// The number of the session within the process, from one.
    pub tenure: u32,
}

impl fmt::Display for SessionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.instance, self.tenure)
    }
}

impl FromStr for SessionId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (instance, tenure) = text.split_once('.').unwrap_or((text, ""));
        Ok(Self {
            instance: instance.parse()?,
            tenure: tenure.parse()?,
        })
    }
}
