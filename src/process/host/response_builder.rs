//! Builds the responses to callers.

use std::sync::Arc;
use std::time::Duration;

use crate::connection::http_listener::HttpResponse;
use crate::connection::protocol::CallerProtocol;
use crate::process::host::authentication::AuthenticationRefusal;
use crate::request::upstream_outcome::{NotRunCause, UpstreamOutcome};

/// Retry delay returned while the routing is unknown.
const ROUTING_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Retry delay returned while the routing may be too old for keys: a store that answers again makes it
/// recent within about this time.
const STALE_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Retry delay returned to a request that was not read to its end.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Builder of responses in the protocol of the callers.
pub(super) struct ResponseBuilder {
    protocol: Arc<dyn CallerProtocol>,
}

impl ResponseBuilder {
    /// Creates a builder for `protocol`.
    pub(super) fn new(protocol: Arc<dyn CallerProtocol>) -> Self {
        Self { protocol }
    }

    /// Builds the response to a request that arrives before the routing is known.
    pub(super) fn routing_unknown(&self) -> HttpResponse {
        let mut response = HttpResponse::text(503, "not run: the routing is not known yet\n");
        self.add_retry_after(&mut response, ROUTING_RETRY_AFTER);
        response
    }

    /// Builds the response to a request with a key that may have been revoked.
    pub(super) fn routing_stale(&self, id: &str) -> HttpResponse {
        let reason = "not run: the routing may be too old for the key\n";
        let mut response = HttpResponse::text(503, reason);
        self.add_retry_after(&mut response, STALE_RETRY_AFTER);
        self.add_id(&mut response, id);
        response
    }

    /// Builds the response to a request without a valid key.
    pub(super) fn unauthorized(&self, id: &str, refusal: AuthenticationRefusal) -> HttpResponse {
        let reason = format!("not run: {}\n", refusal.as_str());
        let mut response = HttpResponse::text(401, reason);
        let (name, value) = self.protocol.challenge_header();
        response.headers.push(name, value);
        self.add_id(&mut response, id);
        response
    }

    /// Builds the response to a request that was not read to its end, as its memory or its thread is
    /// needed for others.
    pub(super) fn overloaded(&self) -> HttpResponse {
        let mut response = HttpResponse::text(503, "not run: too much is in progress\n");
        self.add_retry_after(&mut response, OVERLOAD_RETRY_AFTER);
        response
    }

    /// Builds the response to the caller from an outcome.
    pub(super) fn build(&self, id: &str, outcome: UpstreamOutcome) -> HttpResponse {
        let mut response = match outcome {
            UpstreamOutcome::Ran(upstream) => {
                return HttpResponse {
                    status: upstream.status,
                    headers: upstream.headers,
                    body: upstream.body.0,
                    close_without_response: false,
                };
            }
            UpstreamOutcome::NotRun {
                cause: NotRunCause::CallerLeft,
                ..
            } => HttpResponse {
                close_without_response: true,
                ..HttpResponse::default()
            },
            UpstreamOutcome::NotRun { cause, retry_after } => {
                let mut response =
                    HttpResponse::text(cause.status(), format!("not run: {cause}\n"));
                self.add_retry_after(&mut response, retry_after);
                response
            }
            UpstreamOutcome::Unknown { reason, timed_out } => {
                let status = if timed_out { 504 } else { 502 };
                HttpResponse::text(status, format!("may have run: {reason}\n"))
            }
        };
        self.add_id(&mut response, id);
        response
    }

    fn add_id(&self, response: &mut HttpResponse, id: &str) {
        let (name, value) = self.protocol.request_id_header(id);
        response.headers.push(name, value);
    }

    fn add_retry_after(&self, response: &mut HttpResponse, delay: Duration) {
        let (name, value) = self.protocol.retry_after_header(delay);
        response.headers.push(name, value);
    }
}
