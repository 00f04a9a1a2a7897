//! The platform's key-value service, as the system uses it.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use thiserror::Error;

use crate::newtype;
use crate::version::digest::Digest;

newtype::decimal! {
    /// The platform's own version of a value; zero stands for an absent value.
    Revision
}

/// A key in the platform.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlatformKey(String);

impl PlatformKey {
    /// Returns the key of the configuration of `environment`.
    pub fn configuration(environment: &str) -> Self {
        Self(format!("foxtaildrift/{environment}/configuration"))
    }

    /// Returns the key of the document's text with `digest`.
    pub fn document(digest: &Digest) -> Self {
        Self(format!("foxtaildrift/documents/{digest}"))
    }

    /// Returns the key of the assignment table of a cell.
    pub fn table(environment: &str, cell: u32) -> Self {
        Self(format!("foxtaildrift/{environment}/cells/{cell}/table"))
    }

    /// Returns the key of the planner's lease of a cell.
    pub fn planner(environment: &str, cell: u32) -> Self {
        Self(format!("foxtaildrift/{environment}/cells/{cell}/planner"))
    }
}

impl fmt::Display for PlatformKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for PlatformKey {
    type Err = std::convert::Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self(text.to_owned()))
    }
}

/// A value with its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredValue {
    /// The platform's version of the value.
    pub revision: Revision,
    /// The value.
    pub bytes: Vec<u8>,
}

/// How a compare-and-swap ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwapOutcome {
    /// The value was written.
    Done,
    /// The value was another than expected, and stays.
    Conflict,
}

/// A call to the platform that failed.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// The call did not reach the platform, or its answer was lost: it may have taken effect.
    #[error("the platform at {location} does not answer: {reason}")]
    NoAnswer {
        /// The platform.
        location: String,
        /// What failed.
        reason: String,
    },
    /// The platform refused the call.
    #[error("the platform at {location} refused the call with status {status}")]
    Refused {
        /// The platform.
        location: String,
        /// The HTTP status.
        status: u16,
    },
    /// The platform's answer makes no sense.
    #[error("the platform at {location} sent a malformed answer: {reason}")]
    Malformed {
        /// The platform.
        location: String,
        /// What is wrong.
        reason: String,
    },
}

/// The platform's key-value service.
pub trait Platform: Send + Sync {
    /// Returns the value of `key`, or `None` where it is absent.
    ///
    /// # Errors
    ///
    /// Returns an error where the platform does not answer well.
    fn read(&self, key: &PlatformKey) -> Result<Option<StoredValue>, PlatformError>;

    /// Waits up to `wait` for a value of `key` other than the one of `revision`, and returns what
    /// is there then.
    ///
    /// # Errors
    ///
    /// Returns an error where the platform does not answer well.
    fn watch(
        &self,
        key: &PlatformKey,
        revision: Revision,
        wait: Duration,
    ) -> Result<Option<StoredValue>, PlatformError>;

    /// Writes `bytes` where the present value is the one of `expected`.
    ///
    /// # Errors
    ///
    /// Returns an error where the platform does not answer well; the write may have taken effect,
    /// so the caller must read back.
    fn compare_and_swap(
        &self,
        key: &PlatformKey,
        expected: Revision,
        bytes: &[u8],
    ) -> Result<SwapOutcome, PlatformError>;

    /// Takes or renews this process's lease on `key`; returns whether it holds the lease. The lease
    /// of another holder stands, unless `is_dead` says so of that holder.
    ///
    /// # Errors
    ///
    /// Returns an error where the platform does not answer well.
    fn acquire_lease(
        &self,
        key: &PlatformKey,
        holder: &str,
        is_dead: &dyn Fn(&str) -> bool,
    ) -> Result<bool, PlatformError>;

    /// Gives this process's leases back.
    ///
    /// # Errors
    ///
    /// Returns an error where the platform does not answer well.
    fn release_leases(&self) -> Result<(), PlatformError>;
}
