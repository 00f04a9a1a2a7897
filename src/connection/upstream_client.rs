//! An HTTP client for the local upstream of the daemon.

use std::io::{self, ErrorKind, Read};
use std::net::SocketAddr;
use std::time::Duration;

use ureq::http::{Request, Response};
use ureq::{Agent, Body};

use crate::connection::memory_budget::MemoryBudget;
use bytes::Bytes;

use crate::connection::body_buffer::{BodyBuffer, BodyLimits};
use crate::connection::upstream_error::UpstreamError;
use crate::process::wall_time::WallTime;
use crate::request::body::BODY_BYTES_MAX;
use crate::request::envelope::Envelope;
use crate::request::outcome::Outcome;
use crate::request::refusal::Refusal;
use crate::request::service_response::ServiceResponse;
use crate::version::fencing_token::FencingToken;
use crate::version::slice_id::SliceId;
use crate::version::upstream::Upstream;

/// The header with the id of a request, by which it can be cancelled.
pub const UPSTREAM_REQUEST_ID_HEADER: &str = "foxtaildrift-order";
/// The header with the time by which a request must have ended, in milliseconds since 1970 by the
/// clock of the host, which daemon and upstream share.
pub const DEADLINE_HEADER: &str = "foxtaildrift-deadline";
/// The header with the slice of a request's key.
pub const SLICE_HEADER: &str = "foxtaildrift-slice";
/// The header with the fencing token of a request.
pub const TOKEN_HEADER: &str = "foxtaildrift-token";
/// The header with the key of a request.
pub const KEY_HEADER: &str = "foxtaildrift-key";
/// The header with the idempotency key of a request.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// The header with which an upstream states that it did not run a request.
pub const OUTCOME_HEADER: &str = "foxtaildrift-outcome";

/// The memory for the bodies of responses that arrive at the same time, in bytes.
const BODIES_BYTES_MAX: usize = 32 * 1024 * 1024;
/// The largest body of a response to a grant, a cancellation or a drain request, in bytes.
const CONTROL_BODY_BYTES_MAX: usize = 1024 * 1024;
/// The most bytes of one read of a body.
const READ_BYTES: usize = 16 * 1024;
/// The HTTP status with which an upstream sheds a request that it did not run.
const SHED_STATUS: u16 = 503;
/// The timeout of a grant, a cancellation or a drain request.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a new connection must stay open to show that a running process accepted it.
const PROBE_OPEN_TIME: Duration = Duration::from_millis(5);

/// The slice and the fencing token under which a request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SliceFence {
    /// The slice of the request's key.
    pub slice: SliceId,
    /// The fencing token of the daemon's ownership of the slice.
    pub token: FencingToken,
}

/// A client of one upstream process, with its pool of connections.
pub struct UpstreamClient {
    upstream: Upstream,
    agent: Agent,
    body_limits: BodyLimits,
}

impl UpstreamClient {
    /// Creates a client without connections.
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
            body_limits: BodyLimits {
                bytes_max: BODY_BYTES_MAX,
                budget: MemoryBudget::new(BODIES_BYTES_MAX),
                transfer: None,
            },
        }
    }

    /// Returns the upstream as it announced itself.
    pub fn upstream(&self) -> &Upstream {
        &self.upstream
    }

    /// Sends a request at the time `now` and waits up to `timeout` for its response.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete response arrives; it says whether the request may have
    /// been sent.
    pub fn send_request(
        &self,
        envelope: &Envelope,
        fence: Option<SliceFence>,
        timeout: Duration,
        now: WallTime,
    ) -> Result<ServiceResponse, UpstreamError> {
        let url = format!("http://{}{}", self.upstream.address, envelope.path);
        let mut request = Request::builder()
            .method(envelope.method.as_str())
            .uri(url)
            .header(UPSTREAM_REQUEST_ID_HEADER, envelope.id.to_string())
            .header(DEADLINE_HEADER, now.saturating_add(timeout).to_string());
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
        let body = envelope.body.0.to_vec();
        let request = request
            .body(body)
            .map_err(|e| UpstreamError::Malformed(e.to_string()))?;
        read_response(self.execute(request, timeout)?, &self.body_limits)
    }

    /// Grants the upstream a slice until `expires_at`; a grant with a higher token renews or
    /// replaces it.
    ///
    /// # Errors
    ///
    /// Returns an error if the upstream does not accept the grant.
    pub fn grant(&self, fence: SliceFence, expires_at: WallTime) -> Result<(), UpstreamError> {
        let slice = fence.slice.to_string();
        let token = fence.token.to_string();
        let expires_at = expires_at.to_string();
        let headers = [
            (SLICE_HEADER, slice),
            (TOKEN_HEADER, token),
            (DEADLINE_HEADER, expires_at),
        ];
        let status = self.post("/foxtaildrift/grant", &headers)?;
        if status == 200 {
            return Ok(());
        }
        Err(UpstreamError::NotSent(format!(
            "the grant was refused with status {status}"
        )))
    }

    /// Asks the upstream to cancel a request; returns whether it confirms that the request did not
    /// run.
    ///
    /// # Errors
    ///
    /// Returns an error if the upstream does not respond.
    pub fn cancel(&self, envelope: &Envelope) -> Result<bool, UpstreamError> {
        let headers = [(UPSTREAM_REQUEST_ID_HEADER, envelope.id.to_string())];
        Ok(self.post("/foxtaildrift/cancel", &headers)? == 200)
    }

    /// Notifies the upstream that it will receive no more requests.
    ///
    /// # Errors
    ///
    /// Returns an error if the upstream does not respond.
    pub fn drain(&self) -> Result<(), UpstreamError> {
        self.post("/foxtaildrift/drain", &[]).map(|_| ())
    }

    /// Requests the upstream's health; returns the HTTP status of the response.
    ///
    /// # Errors
    ///
    /// Returns an error if the upstream does not respond.
    pub fn health(&self, timeout: Duration) -> Result<u16, UpstreamError> {
        let url = format!("http://{}/foxtaildrift/health", self.upstream.address);
        let request = Request::get(url).body(Vec::new());
        let request = request.map_err(|e| UpstreamError::Malformed(e.to_string()))?;
        status_of(self.execute(request, timeout)?)
    }

    /// Sends a `POST` request without a body; returns the HTTP status of the response.
    fn post(&self, path: &str, headers: &[(&str, String)]) -> Result<u16, UpstreamError> {
        let url = format!("http://{}{path}", self.upstream.address);
        let mut request = Request::post(url);
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        let request = request.body(Vec::new());
        let request = request.map_err(|e| UpstreamError::Malformed(e.to_string()))?;
        status_of(self.execute(request, CONTROL_TIMEOUT)?)
    }

    /// Sends a request and waits up to `timeout` for the head of its response.
    fn execute(
        &self,
        request: Request<Vec<u8>>,
        timeout: Duration,
    ) -> Result<Response<Body>, UpstreamError> {
        let timeout = timeout.max(Duration::from_millis(1));
        let empty = request.body().is_empty();
        let result = if empty {
            let request = request.map(|_| ());
            let request = self.agent.configure_request(request);
            let config = request
                .timeout_global(Some(timeout))
                .allow_non_standard_methods(true);
            self.agent.run(config.build())
        } else {
            let request = self.agent.configure_request(request);
            let config = request.timeout_global(Some(timeout));
            self.agent
                .run(config.allow_non_standard_methods(true).build())
        };
        result.map_err(|e| to_upstream_error(&e))
    }
}

/// Returns the status of a response and reads its body, so that the connection can be reused.
fn status_of(response: Response<Body>) -> Result<u16, UpstreamError> {
    let status = response.status().as_u16();
    let discarded = BodyBuffer::discarding(CONTROL_BODY_BYTES_MAX);
    read_body(response.into_body(), discarded)?;
    Ok(status)
}

/// Reads a whole body into `buffer`.
fn read_body(body: Body, mut buffer: BodyBuffer) -> Result<Bytes, UpstreamError> {
    let cut = |e: &dyn std::fmt::Display| UpstreamError::MaybeSent(format!("cut answer: {e}"));
    let mut reader = body.into_reader();
    let mut bytes = vec![0; READ_BYTES];
    loop {
        match reader.read(&mut bytes) {
            Ok(0) => return Ok(buffer.into_body()),
            Ok(count) => buffer.append(&bytes[..count]).map_err(|e| cut(&e))?,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(cut(&e)),
        }
    }
}

/// Reads an upstream's whole response.
fn read_response(
    response: Response<Body>,
    body_limits: &BodyLimits,
) -> Result<ServiceResponse, UpstreamError> {
    let status = response.status().as_u16();
    let text = |name: &str| {
        let value = response.headers().get(name)?.to_str().ok()?;
        Some(value.to_owned())
    };
    let content_type = text("content-type");
    let not_run = text(OUTCOME_HEADER).is_some_and(|o| o == Outcome::NotRun.to_string());
    let body = read_body(response.into_body(), BodyBuffer::new(body_limits))?;
    let bytes = body.to_vec();
    if not_run && status == SHED_STATUS {
        return Ok(ServiceResponse::not_run(Refusal::UpstreamShed));
    }
    if not_run {
        let reason = String::from_utf8_lossy(&bytes).trim().to_owned();
        return Ok(ServiceResponse::not_run(Refusal::UpstreamRefused(reason)));
    }
    Ok(ServiceResponse::ran(status, content_type, bytes))
}

/// Converts an error of the HTTP library.
fn to_upstream_error(e: &ureq::Error) -> UpstreamError {
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

/// Returns whether a running process accepts connections at `address`.
///
/// A process that is ending may close its connections before its listener, which then still accepts
/// a new connection for a moment; so the new one must stay open for `PROBE_OPEN_TIME`.
pub fn is_listening(address: SocketAddr, timeout: Duration) -> bool {
    let Ok(mut stream) = std::net::TcpStream::connect_timeout(&address, timeout) else {
        return false;
    };
    if stream.set_read_timeout(Some(PROBE_OPEN_TIME)).is_err() {
        return false;
    }
    // The upstream sends nothing without a request, so anything but a timeout means that the
    // connection was closed.
    let read = stream.read(&mut [0]);
    matches!(read, Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut))
}

/// Returns whether a connection to `address` is refused, which proves that the upstream's process is
/// gone.
pub fn is_refused(address: SocketAddr, timeout: Duration) -> bool {
    let connected = std::net::TcpStream::connect_timeout(&address, timeout);
    connected.is_err_and(|e| e.kind() == ErrorKind::ConnectionRefused)
}
