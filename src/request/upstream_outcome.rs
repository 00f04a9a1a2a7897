//! What became of an order.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::request::body::Body;
use crate::request::headers::Headers;

/// The whole answer of an upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamResponse {
    /// The HTTP status.
    pub status: u16,
    /// The end-to-end headers.
    pub headers: Headers,
    /// The whole body.
    pub body: Body,
}

/// Why no upstream was given an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum NotRunCause {
    /// The daemon does not hold the key, or waits for the former holder.
    NotOwner,
    /// No daemon is known to hold the key, or to run the service.
    NoOwner,
    /// The upstream has more work than it can end in time.
    Overloaded,
    /// The upstream is cold and bears no more now.
    Cold,
    /// The upstream is leaving.
    Draining,
    /// The upstream is down, or unknown.
    Down,
    /// The upstream shed the order, or is another one than expected.
    Shed,
    /// The daemon beside the upstream could not be reached.
    Unreachable,
    /// The failure domain takes no work.
    Evacuated,
    /// The same order made upstreams crash before.
    Quarantined,
    /// Time ran out before the order could be given.
    TimedOut,
    /// The caller left.
    CallerLeft,
    /// The daemon is stopping.
    Stopping,
    /// The daemon knows no routes yet.
    NoRoutes,
}

impl NotRunCause {
    /// Returns the cause as logs and metrics name it.
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
        }
    }
}

impl fmt::Display for NotRunCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// What became of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamOutcome {
    /// An upstream ran it, and this is its whole answer.
    Ran(UpstreamResponse),
    /// No upstream ran it or ever will.
    NotRun {
        /// Why.
        cause: NotRunCause,
        /// After how long another try may fare better.
        retry_after: Duration,
    },
    /// An upstream may have run it.
    Unknown {
        /// What failed.
        reason: String,
        /// Whether the time for it ran out.
        timed_out: bool,
    },
}

impl UpstreamOutcome {
    /// Returns the verdict on an order that no upstream was given.
    pub fn not_run(cause: NotRunCause, retry_after: Duration) -> Self {
        Self::NotRun { cause, retry_after }
    }

    /// Returns the verdict on an order that an upstream may have run.
    pub fn unknown(reason: impl Into<String>) -> Self {
        Self::Unknown {
            reason: reason.into(),
            timed_out: false,
        }
    }

    /// Returns the verdict on an order whose time ran out after it was given.
    pub fn timed_out(reason: impl Into<String>) -> Self {
        Self::Unknown {
            reason: reason.into(),
            timed_out: true,
        }
    }
}
