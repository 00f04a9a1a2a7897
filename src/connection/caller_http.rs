//! Receives callers' requests over HTTP.

use std::io::Read;
use std::sync::Arc;
use std::time::Duration;

use tiny_http::{Header, Request, Response};

use crate::connection::http_server::HttpHandler;
use crate::connection::upstream_client::{IDEMPOTENCY_HEADER, KEY_HEADER, OUTCOME_HEADER};
use crate::request::body::{BODY_BYTES_MAX, Body};
use crate::request::envelope::Envelope;
use crate::request::idempotency_key::IdempotencyKey;
use crate::request::refusal::Refusal;
use crate::request::request_id::RequestId;
use crate::request::service_response::ServiceResponse;
use crate::version::service_name::ServiceName;

/// The header with the time that the caller waits, in milliseconds.
pub const TIMEOUT_HEADER: &str = "foxtaildrift-timeout-ms";
/// The header with which the caller marks its first attempt; its value is `first`.
///
/// If it receives no response, such a caller does not send the same idempotency key again before
/// its timeout has passed since the creation of the key.
pub const ATTEMPT_HEADER: &str = "foxtaildrift-attempt";
/// The header of a response with the id that logs give to the request.
pub const REQUEST_ID_HEADER: &str = "foxtaildrift-request-id";
/// The longest timeout that a caller may request.
const TIMEOUT_MAX: Duration = Duration::from_secs(600);
/// The longest key, in bytes.
const KEY_BYTES_MAX: usize = 1024;

/// The methods whose requests must have no body.
const METHODS_WITHOUT_BODY: [&str; 6] = ["GET", "HEAD", "DELETE", "OPTIONS", "TRACE", "CONNECT"];

/// Handles callers' requests.
pub trait CallerHandler: Send + Sync {
    /// Returns the response to a request.
    fn handle(&self, envelope: Envelope) -> ServiceResponse;

    /// Returns the policy for a request, or `None` if there is no such service.
    fn request_policy(
        &self,
        service: &ServiceName,
        method: &str,
        path: &str,
    ) -> Option<RequestPolicy>;
}

/// The rules of the configuration document for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestPolicy {
    /// How long the request may take if its caller requests no timeout.
    pub default_timeout: Duration,
    /// Whether the request is idempotent: it may run more than once.
    pub repeatable: bool,
    /// The largest difference between the clocks of hosts and callers.
    pub clock_skew: Duration,
}

/// Converts callers' HTTP requests to envelopes, and service responses to HTTP responses.
pub struct CallerHttpHandler {
    handler: Arc<dyn CallerHandler>,
}

impl CallerHttpHandler {
    /// Creates a handler that passes requests on to `handler`.
    pub fn new(handler: Arc<dyn CallerHandler>) -> Self {
        Self { handler }
    }
}

impl HttpHandler for CallerHttpHandler {
    fn serve(&self, mut request: Request) {
        let id = RequestId::generate();
        let response = match read_envelope(&mut request, id, &*self.handler) {
            Ok(envelope) => self.handler.handle(envelope),
            Err(refusal) => ServiceResponse::not_run(refusal),
        };
        if let Err(e) = request.respond(to_http_response(id, response)) {
            tracing::debug!(request = %id, error = %e, "could not write the response");
        }
    }
}

/// Reads a whole request and validates it.
fn read_envelope(
    request: &mut Request,
    id: RequestId,
    handler: &dyn CallerHandler,
) -> Result<Envelope, Refusal> {
    let malformed = |reason: &str| Refusal::Malformed(reason.to_owned());
    // The body is read first: closing a connection with unread bytes resets it, and the response
    // is lost.
    let body = read_body(request)?;
    let method = request.method().to_string();
    let url = request.url().to_owned();
    let (service, path) =
        split_service(&url).ok_or_else(|| malformed("the path names no service"))?;
    let policy = handler
        .request_policy(&service, &method, path)
        .ok_or(Refusal::NoSuchService)?;
    let key = header(request, KEY_HEADER).unwrap_or_default().into_bytes();
    if key.len() > KEY_BYTES_MAX {
        return Err(malformed("the key is longer than 1024 bytes"));
    }
    let idempotency_key = header(request, IDEMPOTENCY_HEADER)
        .map(|text| text.trim_matches('"').parse::<IdempotencyKey>())
        .transpose()
        .map_err(|e| Refusal::Malformed(e.to_string()))?;
    let remaining = match header(request, TIMEOUT_HEADER) {
        Some(text) => parse_timeout(&text)
            .ok_or_else(|| malformed("the timeout is no number from 1 to 600000"))?,
        None => policy.default_timeout,
    };
    let first = header(request, ATTEMPT_HEADER).is_some_and(|a| a.eq_ignore_ascii_case("first"));
    // A caller that marks its first attempt sends no second one before its timeout has passed, so
    // until then no other attempt exists, in whatever order attempts arrive.
    let sole_attempt_until = |id: IdempotencyKey| {
        id.created_at()
            .saturating_add(remaining)
            .saturating_sub(policy.clock_skew)
    };
    let fresh_until = idempotency_key.filter(|_| first).map(sole_attempt_until);
    let content_type = header(request, "content-type");
    if !body.0.is_empty() && METHODS_WITHOUT_BODY.contains(&method.as_str()) {
        return Err(malformed("a request of this method takes no body"));
    }
    Ok(Envelope {
        id,
        service,
        method,
        path: path.to_owned(),
        key,
        idempotency_key,
        fresh_until,
        repeatable: policy.repeatable,
        remaining,
        content_type,
        body,
    })
}

/// Splits a path such as `/order-desk/bookings` into the service's name and the rest.
fn split_service(url: &str) -> Option<(ServiceName, &str)> {
    let rest = url.strip_prefix('/')?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let path = if rest[end..].starts_with('/') {
        &rest[end..]
    } else {
        "/"
    };
    Some((rest[..end].parse().ok()?, path))
}

/// Parses a caller's timeout in milliseconds.
fn parse_timeout(text: &str) -> Option<Duration> {
    let timeout = Duration::from_millis(text.trim().parse().ok()?);
    (!timeout.is_zero() && timeout <= TIMEOUT_MAX).then_some(timeout)
}

/// Returns the value of the first header `name`.
fn header(request: &Request, name: &str) -> Option<String> {
    let found = request
        .headers()
        .iter()
        .find(|h| h.field.as_str().as_str().eq_ignore_ascii_case(name));
    found.map(|h| h.value.as_str().to_owned())
}

/// Reads the body and rejects one that is shorter than its `Content-Length`.
fn read_body(request: &mut Request) -> Result<Body, Refusal> {
    let content_length = request.body_length();
    let mut bytes = Vec::new();
    let limit = u64::try_from(BODY_BYTES_MAX).unwrap_or(u64::MAX) + 1;
    let read = request.as_reader().take(limit).read_to_end(&mut bytes);
    read.map_err(|e| Refusal::Malformed(format!("the body could not be read: {e}")))?;
    if bytes.len() > BODY_BYTES_MAX {
        return Err(Refusal::Malformed(format!(
            "the body is larger than {BODY_BYTES_MAX} bytes"
        )));
    }
    if content_length.is_some_and(|length| length != bytes.len()) {
        return Err(Refusal::Malformed("the body ended early".to_owned()));
    }
    Ok(Body(bytes.into()))
}

/// Converts a service response, and adds the headers with the outcome and the request id.
fn to_http_response(
    id: RequestId,
    response: ServiceResponse,
) -> Response<std::io::Cursor<Vec<u8>>> {
    let mut http_response = Response::from_data(response.body.0).with_status_code(response.status);
    let outcome = response.outcome.to_string();
    let id = id.to_string();
    let mut headers = vec![(OUTCOME_HEADER, outcome), (REQUEST_ID_HEADER, id)];
    headers.extend(response.content_type.map(|t| ("content-type", t)));
    for (name, value) in headers {
        if let Ok(header) = Header::from_bytes(name, value) {
            http_response.add_header(header);
        }
    }
    http_response
}
