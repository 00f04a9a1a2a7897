//! Why a request to the upstream brought no valid response.

use crate::connection::buffered_connection::ConnectionError;
use crate::connection::protocol::ResponseMetadata;
use crate::request::upstream_outcome::NotRunCause;

/// Why a request to the upstream brought no valid response.
#[derive(Debug, PartialEq, Eq)]
pub enum UpstreamRequestFailure {
    /// The connection was refused: nothing listens at the address, so the upstream's process is
    /// gone.
    Refused,
    /// No connection was established in time, or the request was withdrawn meanwhile: no byte of it was
    /// sent.
    NotSent(String),
    /// The request must not be sent any more, for this cause: no byte of it was sent.
    NotAllowed(NotRunCause),
    /// The upstream responded that it did not run the request.
    NotRun {
        /// The HTTP status.
        status: u16,
        /// The metadata in the response's headers.
        metadata: ResponseMetadata,
    },
    /// The request may have run; the response was lost or is invalid.
    MaybeRun(String),
    /// The request may have run; no response arrived in time.
    TimedOut,
    /// The recipient of the response disconnected.
    RecipientDisconnected {
        /// Whether the upstream may have received the request.
        sent: bool,
    },
}

impl UpstreamRequestFailure {
    /// Converts an error that occurred after the request was sent.
    pub fn after_sending(e: ConnectionError) -> Self {
        match e {
            ConnectionError::TimedOut => Self::TimedOut,
            ConnectionError::RecipientDisconnected => Self::RecipientDisconnected { sent: true },
            e => Self::MaybeRun(e.to_string()),
        }
    }
}

/// Describes the status or the failure of a control request for a log line.
pub fn failure_reason(result: Result<u16, UpstreamRequestFailure>) -> String {
    match result {
        Ok(status) => format!("status {status}"),
        Err(e) => format!("{e:?}"),
    }
}
