//! Whether a request ran.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The error for text that is not an outcome.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is not an outcome: expected ran, not-run or unknown")]
pub struct OutcomeError(String);

/// Whether a request ran; each response states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// An upstream ran the request and responded.
    Ran,
    /// The request was sent to no upstream, or the upstream refused it without running it.
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
