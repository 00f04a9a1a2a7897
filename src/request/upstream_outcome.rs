//! The outcome of a request that is sent to an upstream.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::request::body::Body;
use crate::request::headers::Headers;

/// The complete response of an upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The end-to-end headers.
    pub headers: Headers,
    /// The complete body.
    pub body: Body,
}

/// Why a request did not run on any upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum NotRunCause {
    /// The daemon does not own the key, or still waits for the former owner to release it.
    NotOwner,
    /// No daemon is known to own the key or to serve the service.
    NoOwner,
    /// The upstream has more work than it can finish in time.
    Overloaded,
    /// The upstream is cold and gets no more requests at present.
    Cold,
    /// The upstream is draining.
    Draining,
    /// The upstream is down, or not known.
    Down,
    /// The upstream shed the request, or is not the expected upstream process.
    Shed,
    /// The daemon on the upstream's host could not be reached.
    Unreachable,
    /// The failure domain is evacuated.
    Evacuated,
    /// Identical requests were in flight when upstreams crashed.
    Quarantined,
    /// The deadline passed before the request could be sent.
    TimedOut,
    /// The caller disconnected.
    CallerLeft,
    /// The daemon is stopping.
    Stopping,
    /// The daemon has no routing configuration yet.
    NoRoutes,
    /// The caller's team has used its quota.
    Quota,
}

impl NotRunCause {
    /// Returns the HTTP status of the response to the caller.
    pub fn status(self) -> u16 {
        match self {
            NotRunCause::Quota => 429,
            _ => 503,
        }
    }

    /// Returns the name of the cause in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            NotRunCause::NotOwner => "not-owner",
            NotRunCause::NoOwner => "no-owner",
            NotRunCause::Overloaded => "overloaded",
            NotRunCause::Cold => "cold",
            NotRunCause::Draining => "draining",
            NotRunCause::Down => "upstream-down",
            NotRunCause::Shed => "shed",
            NotRunCause::Unreachable => "unreachable",
            NotRunCause::Evacuated => "evacuated",
            NotRunCause::Quarantined => "quarantined",
            NotRunCause::TimedOut => "timed-out",
            NotRunCause::CallerLeft => "caller-left",
            NotRunCause::Stopping => "stopping",
            NotRunCause::NoRoutes => "no-routes",
            NotRunCause::Quota => "quota",
        }
    }
}

impl fmt::Display for NotRunCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The outcome of a request that is sent to an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamOutcome {
    /// An upstream ran the request and responded.
    Ran(UpstreamResponse),
    /// No upstream ran the request, and none will run it later.
    NotRun {
        /// Why the request did not run.
        cause: NotRunCause,
        /// How long the caller should wait before it retries.
        retry_after: Duration,
    },
    /// An upstream may have run the request.
    Unknown {
        /// What failed.
        reason: String,
        /// Whether the deadline passed.
        timed_out: bool,
    },
}

impl UpstreamOutcome {
    /// Returns the outcome of a request that no upstream ran.
    pub fn not_run(cause: NotRunCause, retry_after: Duration) -> Self {
        Self::NotRun { cause, retry_after }
    }

    /// Returns the outcome of a request that an upstream may have run.
    pub fn unknown(reason: impl Into<String>) -> Self {
        Self::Unknown {
            reason: reason.into(),
            timed_out: false,
        }
    }

    /// Returns the outcome of a request whose deadline passed after it was sent.
    pub fn timed_out(reason: impl Into<String>) -> Self {
        Self::Unknown {
            reason: reason.into(),
            timed_out: true,
        }
    }
}
