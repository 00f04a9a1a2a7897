//! Orders to the upstream beside the daemon, over HTTP.

use std::io::{self, ErrorKind, Read};
use std::net::SocketAddr;
use std::time::Duration;

use ureq::http::{Request, Response};
use ureq::{Agent, Body};

use crate::connection::upstream_error::UpstreamError;
use crate::process::wall_time::WallTime;
use crate::request::body::BODY_BYTES_MAX;
use crate::request::envelope::Envelope;
use crate::request::outcome::Outcome;
use crate::request::refusal::Refusal;
use crate::request::service_response::ServiceResponse;
use crate::version::slice_id::SliceId;
use crate::version::token::Token;
use crate::version::upstream::Upstream;

/// The header that names an order, for its cancellation.
pub const UPSTREAM_REQUEST_ID_HEADER: &str = "foxtaildrift-order";
/// The header that tells when an order must have ended, in milliseconds since 1970 by the clock of
/// the host that daemon and upstream share.
pub const DEADLINE_HEADER: &str = "foxtaildrift-deadline";
/// The header that bears the slice of an order.
pub const SLICE_HEADER: &str = "foxtaildrift-slice";
/// The header that bears the fence token of an order.
pub const TOKEN_HEADER: &str = "foxtaildrift-token";
/// The header that bears the key of an order.
pub const KEY_HEADER: &str = "foxtaildrift-key";
/// The header that bears the idempotency key of an order.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// The header by which an upstream says that it did not run an order.
pub const OUTCOME_HEADER: &str = "foxtaildrift-outcome";

/// The HTTP status by which an upstream sheds an order that it did not run.
const SHED_STATUS: u16 = 503;
/// How long a grant, a cancellation or a probe may take.
const CONTROL_TIME: Duration = Duration::from_millis(500);
/// How long a new connection must stay open to show that something serves it.
const CLOSE_TIME: Duration = Duration::from_millis(5);

/// The right under which an order is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fence {
    /// The slice of the order's key.
    pub slice: SliceId,
    /// The fence token.
    pub token: Token,
}

/// The connections to one run of an upstream.
pub struct UpstreamClient {
    upstream: Upstream,
    agent: Agent,
}

impl UpstreamClient {
    /// Creates a link with no connection yet.
    pub fn new(upstream: Upstream) -> Self {
        let connections = usize::try_from(upstream.connections.max(1)).unwrap_or(1);
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_idle_connections(connections)
            .max_idle_connections_per_host(connections)
            .max_redirects(0)
            .proxy(None)
            .build();
        Self {
            upstream,
            agent: config.new_agent(),
        }
    }

    /// Returns what the upstream announced.
    pub fn upstream(&self) -> &Upstream {
        &self.upstream
    }

    /// Gives an order at `now` and waits `limit` for its answer.
    ///
    /// # Errors
    ///
    /// Returns an error where no whole answer came; it tells whether the order may have been
    /// given.
    pub fn send_request(
        &self,
        envelope: &Envelope,
        fence: Option<Fence>,
        limit: Duration,
        now: WallTime,
    ) -> Result<ServiceResponse, UpstreamError> {
        let url = format!("http://{}{}", self.upstream.address, envelope.path);
        let mut request = Request::builder()
            .method(envelope.method.as_str())
            .uri(url)
            .header(UPSTREAM_REQUEST_ID_HEADER, envelope.id.to_string())
            .header(DEADLINE_HEADER, now.saturating_add(limit).to_string());
        if !envelope.key.is_empty() {
            request = request.header(KEY_HEADER, &envelope.key[..]);
        }
        if let Some(id) = envelope.idempotency_key {
            request = request.header(IDEMPOTENCY_HEADER, id.to_string());
        }
        if let Some(fence) = fence {
            request = request
                .header(SLICE_HEADER, fence.slice.to_string())
                .header(TOKEN_HEADER, fence.token.to_string());
        }
        if let Some(content_type) = &envelope.content_type {
            request = request.header("content-type", content_type);
        }
        let body = envelope.body.0.clone();
        let request = request
            .body(body)
            .map_err(|e| UpstreamError::Malformed(e.to_string()))?;
        read_answer(self.run(request, limit)?)
    }

    /// Grants the upstream a slice until `until`; a higher token renews or replaces the grant.
    ///
    /// # Errors
    ///
    /// Returns an error where the upstream did not take the grant.
    pub fn grant(&self, fence: Fence, until: WallTime) -> Result<(), UpstreamError> {
        let slice = fence.slice.to_string();
        let token = fence.token.to_string();
        let until = until.to_string();
        let headers = [
            (SLICE_HEADER, slice),
            (TOKEN_HEADER, token),
            (DEADLINE_HEADER, until),
        ];
        let status = self.post("/foxtaildrift/grant", &headers)?;
        if status == 200 {
            return Ok(());
        }
        Err(UpstreamError::NotSent(format!(
            "the grant was refused with status {status}"
        )))
    }

    /// Asks the upstream to stop an order; returns whether it says that the order did not run.
    ///
    /// # Errors
    ///
    /// Returns an error where the upstream does not answer.
    pub fn cancel(&self, envelope: &Envelope) -> Result<bool, UpstreamError> {
        let headers = [(UPSTREAM_REQUEST_ID_HEADER, envelope.id.to_string())];
        Ok(self.post("/foxtaildrift/cancel", &headers)? == 200)
    }

    /// Tells the upstream that it will get no more work.
    ///
    /// # Errors
    ///
    /// Returns an error where the upstream does not answer.
    pub fn drain(&self) -> Result<(), UpstreamError> {
        self.post("/foxtaildrift/drain", &[]).map(|_| ())
    }

    /// Asks whether the upstream is alive; returns its HTTP status.
    ///
    /// # Errors
    ///
    /// Returns an error where the upstream does not answer.
    pub fn health(&self, limit: Duration) -> Result<u16, UpstreamError> {
        let url = format!("http://{}/foxtaildrift/health", self.upstream.address);
        let request = Request::get(url).body(Vec::new());
        let request = request.map_err(|e| UpstreamError::Malformed(e.to_string()))?;
        status_of(self.run(request, limit)?)
    }

    fn post(&self, path: &str, headers: &[(&str, String)]) -> Result<u16, UpstreamError> {
        let url = format!("http://{}{path}", self.upstream.address);
        let mut request = Request::post(url);
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        let request = request.body(Vec::new());
        let request = request.map_err(|e| UpstreamError::Malformed(e.to_string()))?;
        status_of(self.run(request, CONTROL_TIME)?)
    }

    fn run(
        &self,
        request: Request<Vec<u8>>,
        limit: Duration,
    ) -> Result<Response<Body>, UpstreamError> {
        let limit = limit.max(Duration::from_millis(1));
        let empty = request.body().is_empty();
        let result = if empty {
            let request = request.map(|_| ());
            let request = self.agent.configure_request(request);
            let config = request
                .timeout_global(Some(limit))
                .allow_non_standard_methods(true);
            self.agent.run(config.build())
        } else {
            let request = self.agent.configure_request(request);
            let config = request.timeout_global(Some(limit));
            self.agent
                .run(config.allow_non_standard_methods(true).build())
        };
        result.map_err(|e| turn(&e))
    }
}

/// Returns the status of an answer; reads the rest, so that its connection can be used again.
fn status_of(response: Response<Body>) -> Result<u16, UpstreamError> {
    let status = response.status().as_u16();
    let read = response.into_body().read_to_vec();
    read.map_err(|e| UpstreamError::MaybeSent(format!("cut answer: {e}")))?;
    Ok(status)
}

/// Reads an upstream's answer whole.
fn read_answer(response: Response<Body>) -> Result<ServiceResponse, UpstreamError> {
    let status = response.status().as_u16();
    let text = |name: &str| {
        let value = response.headers().get(name)?.to_str().ok()?;
        Some(value.to_owned())
    };
    let content_type = text("content-type");
    let not_run = text(OUTCOME_HEADER).is_some_and(|o| o == Outcome::NotRun.to_string());
    let mut body = response.into_body();
    let limit = u64::try_from(BODY_BYTES_MAX).unwrap_or(u64::MAX);
    let read = body.with_config().limit(limit).read_to_vec();
    let bytes = read.map_err(|e| UpstreamError::MaybeSent(format!("cut answer: {e}")))?;
    if not_run && status == SHED_STATUS {
        return Ok(ServiceResponse::not_run(Refusal::UpstreamShed));
    }
    if not_run {
        let reason = String::from_utf8_lossy(&bytes).trim().to_owned();
        return Ok(ServiceResponse::not_run(Refusal::UpstreamRefused(reason)));
    }
    Ok(ServiceResponse::ran(status, content_type, bytes))
}

/// Turns an error of the HTTP library.
fn turn(e: &ureq::Error) -> UpstreamError {
    match e {
        ureq::Error::Io(io) if io.kind() == io::ErrorKind::ConnectionRefused => {
            UpstreamError::NotSent(e.to_string())
        }
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => {
            UpstreamError::NotSent(e.to_string())
        }
        ureq::Error::BadUri(_) | ureq::Error::Http(_) => UpstreamError::Malformed(e.to_string()),
        _ => UpstreamError::MaybeSent(e.to_string()),
    }
}

/// Returns whether something takes connections at `address`.
///
/// A process that ends may close the connection that broke before it closes its listener, which
/// takes a new one for a moment still; so that must stay open for [`CLOSE_TIME`].
pub fn is_listening(address: SocketAddr, limit: Duration) -> bool {
    let Ok(mut stream) = std::net::TcpStream::connect_timeout(&address, limit) else {
        return false;
    };
    if stream.set_read_timeout(Some(CLOSE_TIME)).is_err() {
        return false;
    }
    // The upstream says nothing unasked: anything but a timeout is the end of the connection.
    let read = stream.read(&mut [0]);
    matches!(read, Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut))
}
