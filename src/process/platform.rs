//! The interface to the platform's key-value service.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use thiserror::Error;

use crate::newtype;
use crate::version::digest::Digest;

newtype::decimal! {
    /// The platform's version of a value; zero stands for an absent value.
    Revision
}

/// A key of the key-value service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlatformKey(String);

impl PlatformKey {
    /// Returns the key of the configuration of `environment`.
    pub fn configuration(environment: &str) -> Self {
        Self(format!("foxtaildrift/{environment}/configuration"))
    }

    /// Returns the key of the text of the document with `digest`.
    pub fn document(digest: &Digest) -> Self {
        Self(format!("foxtaildrift/documents/{digest}"))
    }

    /// Returns the key of the assignment table of a cell.
    pub fn table(environment: &str, cell: u32) -> Self {
        Self(format!("foxtaildrift/{environment}/cells/{cell}/table"))
    }

    /// Returns the key of the planner's lease of a cell.
    pub fn planner_lease(environment: &str, cell: u32) -> Self {
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
    /// The content of the value.
    pub bytes: Vec<u8>,
}

/// The outcome of a compare-and-swap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwapOutcome {
    /// The value was written.
    Done,
    /// The value had another revision than expected, and was left unchanged.
    Conflict,
}

/// Why a call to the platform failed.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// The call did not reach the platform, or the platform's response was lost. A write may have
    /// taken effect.
    #[error("the platform at {location} does not answer: {reason}")]
    NoResponse {
        /// The URL of the platform, or the key of the value.
        location: String,
        /// The error of the connection.
        reason: String,
    },
    /// The platform refused the call.
    #[error("the platform at {location} refused the call with status {status}")]
    Refused {
        /// The URL of the platform, or the key of the value.
        location: String,
        /// The HTTP status.
        status: u16,
    },
    /// The platform's response, or a value in it, can't be decoded.
    #[error("the platform at {location} sent a malformed answer: {reason}")]
    Malformed {
        /// The URL of the platform, or the key of the value.
        location: String,
        /// The error of the decoder.
        reason: String,
    },
}

/// A client of the platform's key-value service.
pub trait Platform: Send + Sync {
    /// Returns the value of `key`, or `None` if it is absent.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
    fn read(&self, key: &PlatformKey) -> Result<Option<StoredValue>, PlatformError>;

    /// Waits up to `wait` until the value of `key` has another revision than `revision`, and
    /// returns the value at that time.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
    fn watch(
        &self,
        key: &PlatformKey,
        revision: Revision,
        wait: Duration,
    ) -> Result<Option<StoredValue>, PlatformError>;

    /// Writes `bytes` if the current value has the revision `expected`.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails; the write may have taken effect, so the caller must
    /// read the value back.
    fn compare_and_swap(
        &self,
        key: &PlatformKey,
        expected: Revision,
        bytes: &[u8],
    ) -> Result<SwapOutcome, PlatformError>;

    /// Acquires or renews this process's lease on `key`, with `holder` as its value; returns
    /// whether this process holds the lease. Another holder's lease is ended only if `is_dead`
    /// returns true for that holder.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
    fn acquire_lease(
        &self,
        key: &PlatformKey,
        holder: &str,
        is_dead: &dyn Fn(&str) -> bool,
    ) -> Result<bool, PlatformError>;

    /// Releases the leases of this process.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
    fn release_leases(&self) -> Result<(), PlatformError>;
}
