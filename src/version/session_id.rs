//! The identity of a daemon's session.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::version::instance_id::InstanceId;

/// One tenure of a daemon process as a member; a fresh one at each join.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionId {
    /// The process that holds the session.
    pub instance: InstanceId,
    /// The number of the tenure within the process, from one.
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
