//! A pool of connections to the local upstream, with one request at a time on each.

use std::io::ErrorKind;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::connection::body_budget::BodyBudget;
use crate::connection::body_buffer::BodyLimits;
use crate::connection::buffered_connection::{BufferedConnection, ConnectionError};
use crate::connection::connection_group::{ConnectionGroup, ConnectionGroups};
use crate::connection::connection_use::ConnectionUse;
use crate::connection::http1::{self, Framing, ResponseHead};
use crate::connection::protocol::{OutgoingRequest, ResponseMetadata, UpstreamProtocol};
use crate::connection::recipient::Recipient;
use crate::connection::upstream_connection::UpstreamConnection;
use crate::connection::upstream_request_failure::UpstreamRequestFailure;
use crate::process::sync;
use crate::request::body::{BODY_BYTES_MAX, Body};
use crate::request::upstream_outcome::UpstreamResponse;
use crate::request::upstream_request::UpstreamRequest;

/// The timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// The timeout for a connection that only probes whether the upstream listens.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// How long a connection may be idle and still be reused, unless the upstream's `Keep-Alive` header
/// states a time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// The fraction of the time in the `Keep-Alive` header for which a connection is reused.
const KEEP_ALIVE_SHARE: f64 = 0.7;
/// The longest time in the `Keep-Alive` header that counts.
const KEEP_ALIVE_MAX: Duration = Duration::from_secs(3600);
/// From which time on a connection that took long to establish is logged.
const CONNECT_SLOW_MIN: Duration = Duration::from_millis(200);
/// How long a response is read that may have arrived before its deadline.
const READ_TIME_MIN: Duration = Duration::from_millis(5);
/// The most idle connections in the pool.
const IDLE_MAX: usize = 32;
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
    body: Vec<u8>,
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

/// A request of the daemon itself that was sent and not answered yet.
pub struct PendingControlRequest {
    connection: UpstreamConnection,
    method: &'static str,
}

/// A connection without a request in progress.
struct IdleConnection {
    connection: UpstreamConnection,
    /// When it must not be reused any more.
    expires_at: Instant,
}

/// The pooled connections to one address.
pub struct UpstreamPool {
    to: SocketAddr,
    from: Option<IpAddr>,
    protocol: Arc<dyn UpstreamProtocol>,
    body_limits: BodyLimits,
    idle: Mutex<Vec<IdleConnection>>,
    groups: ConnectionGroups,
}

impl UpstreamPool {
    /// Creates a pool without connections, which connects to `to` from the address `from`.
    /// `body_budget` is the memory for the bodies of responses.
    pub fn new(
        to: SocketAddr,
        from: Option<IpAddr>,
        protocol: Arc<dyn UpstreamProtocol>,
        body_budget: Arc<BodyBudget>,
    ) -> Self {
        Self {
            to,
            from,
            protocol,
            body_limits: BodyLimits {
                bytes_max: BODY_BYTES_MAX,
                budget: body_budget,
            },
            idle: Mutex::default(),
            groups: ConnectionGroups::default(),
        }
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        sync::lock(&self.idle).clear();
    }

    /// Sends a request to the upstream process `instance` and waits up to `timeout` for its
    /// response, or until `recipient` disconnects.
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
    ) -> Result<ReceivedResponse, UpstreamRequestFailure> {
        let deadline = Instant::now() + timeout;
        let mut connection = self.checkout(ConnectionUse::Request(&request.id), deadline)?;
        // Connecting may have taken long.
        if recipient.has_disconnected() {
            return Err(UpstreamRequestFailure::RecipientDisconnected { sent: false });
        }
        let time_left = deadline.saturating_duration_since(Instant::now());
        let headers = self.protocol.request_headers(request, instance, time_left);
        let body = &request.body.0;
        let mut bytes =
            http1::encode_request(&request.method, &request.target, &headers, body.len());
        bytes.extend_from_slice(body);
        let conn = &mut connection.conn;
        let exchange = match self.exchange(conn, request, &bytes, deadline, recipient) {
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

    /// Writes the bytes of `request` and reads the response to it.
    fn exchange(
        &self,
        conn: &mut BufferedConnection,
        request: &UpstreamRequest,
        bytes: &[u8],
        deadline: Instant,
        recipient: &Recipient,
    ) -> Result<Exchange, UpstreamRequestFailure> {
        let written = match conn.write(bytes, true, deadline, recipient) {
            Ok(written) => written,
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
        let not_run = metadata.not_run || head.status == 421;
        let is_reusable = body.is_ok() && written == bytes.len() && framing != Framing::UntilClose;
        let body = match body {
            Ok(body) => body.bytes,
            Err(_) if not_run => Vec::new(),
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

    /// Sends a request of the daemon itself and waits up to `timeout` for its response.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete response arrives.
    pub fn send_control_request(
        &self,
        request: OutgoingRequest,
        timeout: Duration,
    ) -> Result<(ResponseHead, ResponseMetadata), UpstreamRequestFailure> {
        let deadline = Instant::now() + timeout;
        let pending = self.begin_control_request(|_| Some(request), deadline)?;
        self.finish_control_request(pending, deadline)
    }

    /// Sends a request of the daemon itself. `build` is called with the group of the connection once
    /// that stands, and returns `None` if the request must not be sent on it.
    ///
    /// # Errors
    ///
    /// Returns an error if it was not sent, or only in part.
    pub fn begin_control_request(
        &self,
        build: impl FnOnce(ConnectionGroup) -> Option<OutgoingRequest>,
        deadline: Instant,
    ) -> Result<PendingControlRequest, UpstreamRequestFailure> {
        let mut connection = self.checkout(ConnectionUse::Control, deadline)?;
        let Some(request) = build(connection.group) else {
            self.keep_unused(connection);
            let reason = "it was withdrawn while connecting";
            return Err(UpstreamRequestFailure::NotSent(reason.to_owned()));
        };
        let mut bytes = http1::encode_request(
            request.method,
            &request.target,
            &request.headers,
            request.body.len(),
        );
        bytes.extend_from_slice(&request.body);
        connection.record_control();
        let written = connection
            .conn
            .write(&bytes, false, deadline, &Recipient::none());
        if let Err(e) = written {
            connection.conn.reset();
            return Err(UpstreamRequestFailure::after_sending(e));
        }
        Ok(PendingControlRequest {
            connection,
            method: request.method,
        })
    }

    /// Waits until `deadline` for the response to a request of the daemon itself; takes one that has
    /// arrived already also later.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete response arrives.
    pub fn finish_control_request(
        &self,
        pending: PendingControlRequest,
        deadline: Instant,
    ) -> Result<(ResponseHead, ResponseMetadata), UpstreamRequestFailure> {
        let PendingControlRequest {
            mut connection,
            method,
        } = pending;
        let deadline = deadline.max(Instant::now() + READ_TIME_MIN);
        let (head, framing) = match read_control_response(&mut connection.conn, method, deadline) {
            Ok(response) => response,
            Err(e) => {
                connection.conn.reset();
                return Err(UpstreamRequestFailure::after_sending(e));
            }
        };
        let metadata = self.protocol.parse_head(&head);
        // A response with a request id belongs to a caller's request, so the responses on this
        // connection can't be matched to requests any more.
        if metadata.request_id.is_some() {
            return Err(UpstreamRequestFailure::MaybeRun(
                "answers to other requests".to_owned(),
            ));
        }
        if framing != Framing::UntilClose {
            self.check_in(connection, &head);
        }
        Ok((head, metadata))
    }

    /// Checks whether a process listens at the address.
    ///
    /// # Errors
    ///
    /// Returns why no connection was established.
    pub fn probe(&self) -> Result<(), UpstreamRequestFailure> {
        let deadline = Instant::now() + PROBE_TIMEOUT;
        let connection = self.checkout(ConnectionUse::Control, deadline)?;
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

    /// Returns a pooled connection that is safe for `usage`, or a new one.
    fn checkout(
        &self,
        usage: ConnectionUse<'_>,
        deadline: Instant,
    ) -> Result<UpstreamConnection, UpstreamRequestFailure> {
        let now = Instant::now();
        while let Some(idle) = self.take_idle(usage) {
            if idle.expires_at > now && idle.connection.conn.is_reusable() {
                return Ok(idle.connection);
            }
        }
        let connect_deadline = deadline.min(now + CONNECT_TIMEOUT);
        let connected = BufferedConnection::connect(self.to, self.from, connect_deadline);
        let elapsed = now.elapsed();
        if elapsed >= CONNECT_SLOW_MIN {
            let ms = elapsed.as_millis() as u64;
            tracing::info!(
                event = "upstream-connect-slow",
                ms,
                connected = connected.is_ok()
            );
        }
        let conn = connected.map_err(|e| match e.kind() {
            ErrorKind::ConnectionRefused => UpstreamRequestFailure::Refused,
            _ => UpstreamRequestFailure::NotSent(e.to_string()),
        })?;
        let group = self.groups.add(conn.stream());
        Ok(UpstreamConnection::new(conn, group))
    }

    /// Takes the idle connection that was used last, of those that are safe for `usage`.
    fn take_idle(&self, usage: ConnectionUse<'_>) -> Option<IdleConnection> {
        let mut idle = sync::lock(&self.idle);
        let index = idle.iter().rposition(|i| i.connection.is_safe_for(usage))?;
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

/// Reads the response to a request of the daemon itself.
fn read_control_response(
    conn: &mut BufferedConnection,
    method: &str,
    deadline: Instant,
) -> Result<(ResponseHead, Framing), ConnectionError> {
    let recipient = Recipient::none();
    let head = http1::read_response_head(conn, deadline, &recipient)?;
    let framing = http1::response_framing(&head, method)?;
    http1::discard_body(conn, framing, BODY_BYTES_MAX, deadline, &recipient)?;
    Ok((head, framing))
}

/// Parses the timeout of a `Keep-Alive` header; a longer one than [`KEEP_ALIVE_MAX`] is reduced to it.
fn keep_alive_timeout(text: &str) -> Option<Duration> {
    let mut parts = text.split(',');
    let seconds = parts.find_map(|p| p.trim().strip_prefix("timeout="))?;
    let timeout = Duration::from_secs(seconds.trim().parse().ok()?);
    Some(timeout.min(KEEP_ALIVE_MAX))
}
