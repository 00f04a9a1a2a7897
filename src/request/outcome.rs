//! What became of a request.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Text that names no outcome.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is no outcome: ran, not-run or unknown is expected")]
pub struct OutcomeError(String);

/// What became of a request; each answer says it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// An upstream ran the request, and this is its answer.
    Ran,
    /// No upstream was given the request.
    NotRun,
    /// An upstream may have run the request.
    Unknown,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Outcome::Ran => "ran",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        })
    }
}

impl FromStr for Outcome {
    type Err = OutcomeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "ran" => Ok(Outcome::Ran),
            "not-run" => Ok(Outcome::NotRun),
            "unknown" => Ok(Outcome::Unknown),
            _ => Err(OutcomeError(text.to_owned())),
        }
    }
}
