//! Sends requests to the daemons beside other upstreams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::connection::peer_error::PeerError;
use crate::connection::peer_message::{PeerReply, PeerRequest};
use crate::connection::peer_pool::{PeerCallReply, PeerPool};
use crate::connection::recipient::Recipient;
use crate::process::host::request_progress::OWNER_RETRY_AFTER;
use crate::process::membership::Membership;
use crate::request::upstream_load::UpstreamLoad;
use crate::request::upstream_outcome::{NotRunCause, UpstreamOutcome};
use crate::request::upstream_request::UpstreamRequest;
use crate::version::instance_id::InstanceId;
use crate::version::member::Member;

/// Timeout of the question whether another daemon has room for a large body.
const RESERVATION_TIMEOUT: Duration = Duration::from_millis(400);
/// How much longer than the request's time left this daemon waits for another daemon, which reports
/// a timeout when the request's time runs out there.
const OUTCOME_GRACE: Duration = Duration::from_millis(60);

/// Sender of requests to other daemons.
pub(super) struct RequestForwarder {
    membership: Arc<Membership>,
    peers: Arc<PeerPool>,
}

impl RequestForwarder {
    /// Creates a sender that uses the connections in `peers`.
    pub(super) fn new(membership: Arc<Membership>, peers: Arc<PeerPool>) -> Self {
        Self { membership, peers }
    }

    /// Sends a request to the daemon `member`.
    pub(super) fn forward(
        &self,
        member: &Member,
        request: &UpstreamRequest,
        recipient: &Recipient,
    ) -> (UpstreamOutcome, Option<UpstreamLoad>) {
        let session = member.info.session;
        let message = PeerRequest::Dispatch {
            instance: session.instance,
            request: Box::new(request.clone()),
        };
        let address = member.info.peer;
        if message.has_large_body()
            && let Err(refusal) = self.reserve_body(address, session.instance, request, recipient)
        {
            return refusal;
        }
        let timeout = request.remaining + OUTCOME_GRACE;
        let has_ended = || self.membership.with_ownership(|o, _| o.has_ended(session));
        let outcome = match self
            .peers
            .call(address, &message, timeout, recipient, has_ended)
        {
            Ok(reply) => return reply.into_outcome(),
            Err(PeerError::RecipientDisconnected) => UpstreamOutcome::unknown("the caller left"),
            Err(e) => {
                let sent = !e.is_unsent();
                tracing::info!(event = "hop-failed", request = %request.id, to = %address, sent, error = %e);
                match sent {
                    true => {
                        UpstreamOutcome::unknown(format!("the daemon beside the upstream: {e}"))
                    }
                    false => UpstreamOutcome::not_run(NotRunCause::Unreachable, OWNER_RETRY_AFTER),
                }
            }
        };
        (outcome, None)
    }

    /// Asks the daemon at `address` whether it has room for the request's large body.
    ///
    /// # Errors
    ///
    /// Returns the outcome if the body must not be sent now.
    fn reserve_body(
        &self,
        address: SocketAddr,
        instance: InstanceId,
        request: &UpstreamRequest,
        recipient: &Recipient,
    ) -> Result<(), (UpstreamOutcome, Option<UpstreamLoad>)> {
        let reservation = PeerRequest::ReserveBody {
            instance,
            id: request.id.clone(),
            attempt: request.attempt,
            bytes: request.body.0.len(),
        };
        let timeout = request.remaining.min(RESERVATION_TIMEOUT);
        let called = self
            .peers
            .call(address, &reservation, timeout, recipient, || false);
        match called {
            Ok(called) if called.reply == PeerReply::Accepted => Ok(()),
            // No copy of the request itself was sent.
            Ok(called) => Err(PeerCallReply {
                resent: false,
                ..called
            }
            .into_outcome()),
            Err(PeerError::RecipientDisconnected) => Err((
                UpstreamOutcome::not_run(NotRunCause::CallerLeft, OWNER_RETRY_AFTER),
                None,
            )),
            Err(e) => {
                tracing::info!(event = "hop-failed", request = %request.id, to = %address, sent = false, error = %e);
                let outcome = UpstreamOutcome::not_run(NotRunCause::Unreachable, OWNER_RETRY_AFTER);
                Err((outcome, None))
            }
        }
    }
}
