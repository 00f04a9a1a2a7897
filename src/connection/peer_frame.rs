//! The frames of a connection between daemons.

use std::borrow::Cow;

use serde::{Deserialize, Serialize};

use crate::connection::memory_reservation::MemoryReservation;
use crate::connection::peer_message::{PeerReply, PeerRequest};
use crate::request::upstream_outcome::UpstreamOutcome;

/// A message on a connection between daemons. Many calls may be in progress on one connection; the
/// daemon that connected numbers them.
///
/// Postcard encodes the variants by their position, so their order is part of the wire format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerFrame<'a> {
    /// Starts a call.
    Call {
        /// The number of the call, unique on its connection.
        number: u64,
        /// What is called.
        request: Cow<'a, PeerRequest>,
    },
    /// Ends a call.
    Reply {
        /// The number of the call.
        number: u64,
        /// Its result.
        reply: Cow<'a, PeerReply>,
    },
    /// States that the reply to a call is not wanted any more, so its work must be cancelled.
    Cancel {
        /// The number of the call.
        number: u64,
    },
    /// Asks whether the connection is alive.
    Ping,
    /// The response to [`PeerFrame::Ping`].
    Pong,
    /// States that a call must not begin its work any more, as the caller's daemon stops. Work that has
    /// begun goes on.
    Withdraw {
        /// The number of the call.
        number: u64,
    },
}

impl PeerFrame<'_> {
    /// Returns the message with the memory of its body accounted for by `reservation`, until the body is
    /// dropped.
    pub fn holding(self, reservation: Option<MemoryReservation>) -> Self {
        match self {
            PeerFrame::Call { number, request } => {
                let mut request = request.into_owned();
                if let PeerRequest::Dispatch { request, .. } = &mut request {
                    request.body.hold(reservation);
                }
                let request = Cow::Owned(request);
                PeerFrame::Call { number, request }
            }
            PeerFrame::Reply { number, reply } => {
                let mut reply = reply.into_owned();
                if let PeerReply::Completed { outcome, .. } = &mut reply
                    && let UpstreamOutcome::Ran(response) = &mut **outcome
                {
                    response.body.hold(reservation);
                }
                let reply = Cow::Owned(reply);
                PeerFrame::Reply { number, reply }
            }
            other => other,
        }
    }

    /// Returns the kind of the message, for counts.
    pub fn kind(&self) -> &'static str {
        match self {
            PeerFrame::Call { request, .. } => request.kind(),
            PeerFrame::Reply { reply, .. } => reply.kind(),
            PeerFrame::Cancel { .. } => "cancel",
            PeerFrame::Ping => "ping",
            PeerFrame::Pong => "pong",
            PeerFrame::Withdraw { .. } => "withdraw",
        }
    }
}
