//! A rate of requests.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The maximum rate, in requests per second.
const PER_SECOND_MAX: f64 = 1e9;

/// The error for a number that is not a rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("not a rate: expected a number above 0 and up to 1e9 per second")]
pub struct RequestRateError;

/// A rate of requests per second, above zero.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RequestRate(f64);

impl RequestRate {
    /// Returns the number of requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = RequestRateError;

    fn try_from(per_second: f64) -> Result<Self, Self::Error> {
        let valid = per_second > 0.0 && per_second <= PER_SECOND_MAX;
        valid.then_some(Self(per_second)).ok_or(RequestRateError)
    }
}

impl From<RequestRate> for f64 {
    fn from(rate: RequestRate) -> Self {
        rate.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for RequestRate {
    type Err = RequestRateError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let per_second: f64 = text.parse().map_err(|_| RequestRateError)?;
        Self::try_from(per_second)
    }
}
