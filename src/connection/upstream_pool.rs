//! A pool of connections to the local upstream, with one request at a time on each.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::connection::body_buffer::BodyLimits;
use crate::connection::buffered_connection::{BufferedConnection, ConnectionError};
use crate::connection::control_pool::ControlPool;
use crate::connection::http1::{self, Framing, ResponseHead};
use crate::connection::idle_connection::IdleConnection;
use crate::connection::memory_budget::MemoryBudget;
use crate::connection::protocol::{ResponseMetadata, UpstreamProtocol};
use crate::connection::recipient::Recipient;
use crate::connection::upstream_connection::UpstreamConnection;
use crate::connection::upstream_connector::UpstreamConnector;
use crate::connection::upstream_request_failure::UpstreamRequestFailure;
use crate::process::sync;
use crate::request::body::{BODY_BYTES_MAX, Body};
use crate::request::upstream_outcome::{NotRunCause, UpstreamResponse};
use crate::request::upstream_request::UpstreamRequest;

/// The timeout for a connection that only probes whether the upstream listens.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// How long a connection may be idle and still be reused, unless the upstream's `Keep-Alive` header
/// states a time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// The fraction of the time in the `Keep-Alive` header for which a connection is reused.
const KEEP_ALIVE_SHARE: f64 = 0.7;
/// The longest time in the `Keep-Alive` header that counts.
const KEEP_ALIVE_MAX: Duration = Duration::from_secs(3600);
/// The most idle connections in the pool.
const IDLE_MAX: usize = 32;
/// How much of a body is written together with the head, in bytes.
const INLINE_BODY_BYTES_MAX: usize = 16 * 1024;
/// The most response heads that are read on one connection to find the one with the request's id.
const RESPONSE_HEADS_MAX: usize = 4;

/// A response of the upstream with the metadata in its headers.
#[derive(Debug, PartialEq, Eq)]
pub struct ReceivedResponse {
    /// The response, without hop-by-hop headers.
    pub response: UpstreamResponse,
    /// The metadata in its headers.
    pub metadata: ResponseMetadata,
}

/// A request that was written and the response that was read to it.
struct Exchange {
    head: ResponseHead,
    metadata: ResponseMetadata,
    body: Bytes,
    /// Whether the response states that the request did not run.
    not_run: bool,
    /// Whether the connection can carry another request.
    is_reusable: bool,
}

impl Exchange {
    /// Returns the response if it is valid.
    ///
    /// # Errors
    ///
    /// Returns an error if the upstream did not run the request, or its response can't be trusted.
    fn into_result(self) -> Result<ReceivedResponse, UpstreamRequestFailure> {
        let (head, metadata) = (self.head, self.metadata);
        if self.not_run {
            let status = head.status;
            return Err(UpstreamRequestFailure::NotRun { status, metadata });
        }
        let success = (200..300).contains(&head.status);
        if success && !metadata.signed {
            return Err(UpstreamRequestFailure::MaybeRun(
                "an answer without signature".to_owned(),
            ));
        }
        if success && head.headers.get("content-encoding").is_some() {
            return Err(UpstreamRequestFailure::MaybeRun(
                "an encoded answer".to_owned(),
            ));
        }
        let response = UpstreamResponse {
            status: head.status,
            headers: head.headers.end_to_end(),
            body: Body(self.body),
        };
        Ok(ReceivedResponse { response, metadata })
    }
}

/// The pooled connections to one address.
pub struct UpstreamPool {
    connector: Arc<UpstreamConnector>,
    control: ControlPool,
    protocol: Arc<dyn UpstreamProtocol>,
    body_limits: BodyLimits,
    idle: Mutex<Vec<IdleConnection>>,
}

impl UpstreamPool {
    /// Creates a pool without connections, which connects to `to` from the address `from`.
    /// `budget` is the memory for the bodies of responses.
    pub fn new(
        to: SocketAddr,
        from: Option<IpAddr>,
        protocol: Arc<dyn UpstreamProtocol>,
        budget: Arc<MemoryBudget>,
    ) -> Self {
        let connector = Arc::new(UpstreamConnector::new(to, from));
        let control = ControlPool::new(Arc::clone(&connector), Arc::clone(&protocol));
        Self {
            connector,
            control,
            protocol,
            body_limits: BodyLimits {
                bytes_max: BODY_BYTES_MAX,
                budget,
                transfer: None,
            },
            idle: Mutex::default(),
        }
    }

    /// Returns the connections for requests of the daemon itself.
    pub fn control(&self) -> &ControlPool {
        &self.control
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        sync::lock(&self.idle).clear();
        self.control.clear();
    }

    /// Sends a request to the upstream process `instance` and waits up to `timeout` for its
    /// response, or until `recipient` disconnects. `check_allowed` is called immediately before the
    /// request is written, and returns why it must not be.
    ///
    /// # Errors
    ///
    /// Returns why there is no response; the error says whether the request may have run.
    pub fn send_request(
        &self,
        request: &UpstreamRequest,
        instance: &str,
        timeout: Duration,
        recipient: &Recipient,
        check_allowed: impl FnOnce() -> Result<(), NotRunCause>,
    ) -> Result<ReceivedResponse, UpstreamRequestFailure> {
        let deadline = Instant::now() + timeout;
        let mut connection = self.checkout(Some(&request.id), deadline)?;
        let time_left = deadline.saturating_duration_since(Instant::now());
        let headers = self.protocol.request_headers(request, instance, time_left);
        let body = &request.body.0;
        let mut bytes =
            http1::encode_request(&request.method, &request.target, &headers, body.len());
        // A copy of a large body would take its memory a second time.
        let inline = body.len().min(INLINE_BODY_BYTES_MAX);
        bytes.extend_from_slice(&body[..inline]);
        let parts = [&bytes[..], &body[inline..]];
        // Connecting may have taken long, and the process may have been paused.
        if recipient.has_disconnected() {
            return Err(UpstreamRequestFailure::RecipientDisconnected { sent: false });
        }
        if let Err(cause) = check_allowed() {
            self.keep_unused(connection);
            return Err(UpstreamRequestFailure::NotAllowed(cause));
        }
        let conn = &mut connection.conn;
        let exchange = match self.exchange(conn, request, parts, deadline, recipient) {
            Ok(exchange) => exchange,
            Err(e) => {
                connection.conn.reset();
                return Err(e);
            }
        };
        if exchange.not_run {
            connection.record_refusal(&request.id);
        }
        if exchange.is_reusable {
            self.check_in(connection, &exchange.head);
        }
        exchange.into_result()
    }

    /// Writes the parts of `request` and reads the response to it.
    fn exchange(
        &self,
        conn: &mut BufferedConnection,
        request: &UpstreamRequest,
        parts: [&[u8]; 2],
        deadline: Instant,
        recipient: &Recipient,
    ) -> Result<Exchange, UpstreamRequestFailure> {
        let is_written = match write_parts(conn, parts, deadline, recipient) {
            Ok(is_written) => is_written,
            Err(ConnectionError::RecipientDisconnected) => {
                return Err(UpstreamRequestFailure::RecipientDisconnected { sent: true });
            }
            Err(e) => {
                return Err(UpstreamRequestFailure::MaybeRun(format!(
                    "not written: {e}"
                )));
            }
        };
        let (head, metadata) = self.read_head(conn, request, deadline, recipient)?;
        let framing = http1::response_framing(&head, &request.method)
            .map_err(UpstreamRequestFailure::after_sending)?;
        let body = http1::read_body(conn, framing, &self.body_limits, deadline, recipient);
        let not_run = metadata.not_run || head.status == http1::STATUS_MISDIRECTED;
        if framing == Framing::UntilClose && !is_written && !not_run {
            // The end of the connection is the end of the response only if the upstream took the request.
            return Err(UpstreamRequestFailure::MaybeRun(
                "the connection ended before the request was written".to_owned(),
            ));
        }
        let is_reusable = body.is_ok() && is_written && framing != Framing::UntilClose;
        let body = match body {
            Ok(body) => body,
            Err(_) if not_run => Bytes::new(),
            Err(e) => return Err(UpstreamRequestFailure::after_sending(e)),
        };
        Ok(Exchange {
            head,
            metadata,
            body,
            not_run,
            is_reusable,
        })
    }

    /// Reads the head of the response to `request`, and skips responses to other requests.
    fn read_head(
        &self,
        conn: &mut BufferedConnection,
        request: &UpstreamRequest,
        deadline: Instant,
        recipient: &Recipient,
    ) -> Result<(ResponseHead, ResponseMetadata), UpstreamRequestFailure> {
        for _ in 0..RESPONSE_HEADS_MAX {
            let head = http1::read_response_head(conn, deadline, recipient)
                .map_err(UpstreamRequestFailure::after_sending)?;
            let metadata = self.protocol.parse_head(&head);
            if metadata.request_id.as_deref() == Some(&request.id) {
                return Ok((head, metadata));
            }
            tracing::info!(
                event = "stray-answer",
                request = %request.id,
                other = ?metadata.request_id,
            );
            let framing = http1::response_framing(&head, &request.method)
                .map_err(UpstreamRequestFailure::after_sending)?;
            if framing == Framing::UntilClose {
                break;
            }
            http1::discard_body(conn, framing, BODY_BYTES_MAX, deadline, recipient)
                .map_err(UpstreamRequestFailure::after_sending)?;
        }
        Err(UpstreamRequestFailure::MaybeRun(
            "answers to other requests".to_owned(),
        ))
    }

    /// Checks whether a process listens at the address.
    ///
    /// # Errors
    ///
    /// Returns why no connection was established.
    pub fn probe(&self) -> Result<(), UpstreamRequestFailure> {
        let deadline = Instant::now() + PROBE_TIMEOUT;
        let connection = self.checkout(None, deadline)?;
        self.keep_unused(connection);
        Ok(())
    }

    /// Adds a connection that was checked out and not used to the idle ones.
    fn keep_unused(&self, connection: UpstreamConnection) {
        sync::lock(&self.idle).push(IdleConnection {
            connection,
            expires_at: Instant::now() + IDLE_TIMEOUT,
        });
    }

    /// Returns a pooled connection, or a new one. If it is for a request, the upstream has not refused
    /// that request on it.
    fn checkout(
        &self,
        request_id: Option<&str>,
        deadline: Instant,
    ) -> Result<UpstreamConnection, UpstreamRequestFailure> {
        let now = Instant::now();
        while let Some(idle) = self.take_idle(request_id) {
            if idle.is_usable(now) {
                return Ok(idle.connection);
            }
        }
        self.connector.connect(deadline)
    }

    /// Takes the idle connection that was used last, of those that are safe for the request.
    fn take_idle(&self, request_id: Option<&str>) -> Option<IdleConnection> {
        let mut idle = sync::lock(&self.idle);
        let is_safe =
            |i: &IdleConnection| request_id.is_none_or(|id| !i.connection.has_refused(id));
        let index = idle.iter().rposition(is_safe)?;
        Some(idle.remove(index))
    }

    /// Returns a connection to the pool, unless it can't be reused after the response with `head`.
    fn check_in(&self, connection: UpstreamConnection, head: &ResponseHead) {
        if !head.keeps_alive() || connection.is_spent() {
            return;
        }
        let announced = head
            .headers
            .get_str("keep-alive")
            .and_then(keep_alive_timeout);
        let idle_timeout = announced.map_or(IDLE_TIMEOUT, |t| t.mul_f64(KEEP_ALIVE_SHARE));
        let mut idle = sync::lock(&self.idle);
        if idle.len() < IDLE_MAX {
            idle.push(IdleConnection {
                connection,
                expires_at: Instant::now() + idle_timeout,
            });
        }
    }
}

/// Writes all of `parts`, or stops once the peer has sent something; returns whether all was written.
fn write_parts(
    conn: &mut BufferedConnection,
    parts: [&[u8]; 2],
    deadline: Instant,
    recipient: &Recipient,
) -> Result<bool, ConnectionError> {
    for part in parts {
        if conn.write(part, true, deadline, recipient)? < part.len() {
            return Ok(false);
        }
    }
    Ok(true)
}

/// Parses the timeout of a `Keep-Alive` header; a longer one than [`KEEP_ALIVE_MAX`] is reduced to it.
fn keep_alive_timeout(text: &str) -> Option<Duration> {
    let mut parts = text.split(',');
    let seconds = parts.find_map(|p| p.trim().strip_prefix("timeout="))?;
    let timeout = Duration::from_secs(seconds.trim().parse().ok()?);
    Some(timeout.min(KEEP_ALIVE_MAX))
}
