//! Requests of the daemon itself to the local upstream: grants and releases.
//!
//! Their effect counts from the moment at which the upstream takes them up, and their responses have
//! no id. So each is sent on a connection on which the upstream has just answered a ping, a request for
//! a process that does not exist, which any upstream refuses:
//!
//! - The upstream serves the connection, so the request doesn't wait in it until the upstream does.
//! - Late copies of former responses on the connection came before the answer to the ping, which has a
//!   status that no accepted request gets.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::connection::buffered_connection::{BufferedConnection, ConnectionError};
use crate::connection::connection_group::ConnectionGroup;
use crate::connection::http1::{self, Framing, ResponseHead};
use crate::connection::idle_connection::IdleConnection;
use crate::connection::protocol::{OutgoingRequest, ResponseMetadata, UpstreamProtocol};
use crate::connection::recipient::Recipient;
use crate::connection::upstream_connection::UpstreamConnection;
use crate::connection::upstream_connector::UpstreamConnector;
use crate::connection::upstream_request_failure::UpstreamRequestFailure;
use crate::process::sync;
use crate::request::body::BODY_BYTES_MAX;

/// How long an idle connection may take to answer a ping before a new one takes its place: it may have
/// become silent.
const PING_TIMEOUT: Duration = Duration::from_millis(150);
/// How long a response is read that may have arrived before its deadline.
const READ_TIME_MIN: Duration = Duration::from_millis(5);
/// How long a connection may be idle and still be reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// The most idle connections in the pool.
const IDLE_MAX: usize = 16;
/// The most response heads that are read on one connection to find the answer to a ping.
const RESPONSE_HEADS_MAX: usize = 4;

/// A connection on which nothing was sent, or the upstream has just answered a ping.
pub struct ReadyConnection(UpstreamConnection);

/// A connection on which a ping was sent.
struct PendingPing {
    connection: UpstreamConnection,
    id: String,
}

/// A request of the daemon itself that was sent and not answered yet.
pub struct PendingControlRequest {
    connection: UpstreamConnection,
    method: &'static str,
}

/// The connections for requests of the daemon itself to one address.
pub struct ControlPool {
    connector: Arc<UpstreamConnector>,
    protocol: Arc<dyn UpstreamProtocol>,
    idle: Mutex<Vec<IdleConnection>>,
    /// The id of the next ping.
    next_ping: AtomicU64,
}

impl ControlPool {
    /// Creates a pool without connections.
    pub fn new(connector: Arc<UpstreamConnector>, protocol: Arc<dyn UpstreamProtocol>) -> Self {
        Self {
            connector,
            protocol,
            idle: Mutex::default(),
            // Other daemons ping upstreams of the same service.
            next_ping: AtomicU64::new(rand::random()),
        }
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        sync::lock(&self.idle).clear();
    }

    /// Sends a request that may take effect late, as a release, and waits up to `timeout` for its response.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete response arrives.
    pub fn send(
        &self,
        request: OutgoingRequest,
        timeout: Duration,
    ) -> Result<(ResponseHead, ResponseMetadata), UpstreamRequestFailure> {
        let deadline = Instant::now() + timeout;
        let idle = self.take_idle().map(Ok);
        let ping_deadline = deadline.min(Instant::now() + PING_TIMEOUT);
        let ready = self.ping_all(idle.into_iter(), ping_deadline).pop();
        let connection = match ready {
            Some(Ok(ready)) => ready,
            // Nothing was sent on a new connection that a late copy could belong to.
            _ => ReadyConnection(self.connector.connect(deadline)?),
        };
        let pending = self.begin(connection, |_| Some(request), || true, deadline)?;
        self.finish(pending, deadline)
    }

    /// Returns `count` connections on which the upstream has just answered a ping, or why there is
    /// none.
    pub fn ready_connections(
        &self,
        count: usize,
        deadline: Instant,
    ) -> Vec<Result<ReadyConnection, UpstreamRequestFailure>> {
        let idle = (0..count).map_while(|_| self.take_idle());
        let ping_deadline = deadline.min(Instant::now() + PING_TIMEOUT);
        let mut ready = self.ping_all(idle.map(Ok), ping_deadline);
        ready.retain(Result::is_ok);
        let missing = ready.len()..count;
        let new = missing.map(|_| self.connector.connect(deadline));
        ready.extend(self.ping_all(new, deadline));
        ready
    }

    /// Sends a ping on each connection, and then waits until `deadline` for the answers.
    fn ping_all(
        &self,
        connections: impl Iterator<Item = Result<UpstreamConnection, UpstreamRequestFailure>>,
        deadline: Instant,
    ) -> Vec<Result<ReadyConnection, UpstreamRequestFailure>> {
        let pending: Vec<_> = connections
            .map(|connection| self.begin_ping(connection?, deadline))
            .collect();
        let finish = |ping: Result<PendingPing, _>| self.finish_ping(ping?, deadline);
        pending.into_iter().map(finish).collect()
    }

    /// Sends a ping.
    fn begin_ping(
        &self,
        mut connection: UpstreamConnection,
        deadline: Instant,
    ) -> Result<PendingPing, UpstreamRequestFailure> {
        let number = self.next_ping.fetch_add(1, Ordering::Relaxed);
        let id = format!("{number:016x}");
        let bytes = encode(&self.protocol.ping_request(&id));
        match write(&mut connection.conn, &bytes, deadline) {
            Ok(()) => Ok(PendingPing { connection, id }),
            Err(e) => Err(not_ready(connection, &e)),
        }
    }

    /// Waits until `deadline` for the answer to a ping, and discards what came before it.
    fn finish_ping(
        &self,
        ping: PendingPing,
        deadline: Instant,
    ) -> Result<ReadyConnection, UpstreamRequestFailure> {
        let PendingPing { mut connection, id } = ping;
        let deadline = deadline.max(Instant::now() + READ_TIME_MIN);
        for _ in 0..RESPONSE_HEADS_MAX {
            let (head, framing) = match read_response(&mut connection.conn, "GET", deadline) {
                Ok(response) => response,
                Err(e) => return Err(not_ready(connection, &e)),
            };
            if framing == Framing::UntilClose || !head.keeps_alive() {
                break;
            }
            if is_refusal(&head) {
                return Ok(ReadyConnection(connection));
            }
            tracing::info!(event = "stray-answer", request = %id, status = head.status);
        }
        Err(UpstreamRequestFailure::NotSent(
            "the upstream did not answer a ping".to_owned(),
        ))
    }

    /// Sends a request. `build` is called with the group of the connection, and returns `None` if the
    /// request must not be sent on it. `is_current` is called right before the request is written, and
    /// returns whether it may still be sent.
    ///
    /// # Errors
    ///
    /// Returns an error if it was not sent, or only in part.
    pub fn begin(
        &self,
        ready: ReadyConnection,
        build: impl FnOnce(ConnectionGroup) -> Option<OutgoingRequest>,
        is_current: impl FnOnce() -> bool,
        deadline: Instant,
    ) -> Result<PendingControlRequest, UpstreamRequestFailure> {
        let ReadyConnection(mut connection) = ready;
        let Some(request) = build(connection.group) else {
            self.check_in(connection);
            return Err(withdrawn());
        };
        let bytes = encode(&request);
        // What follows the answer to the ping would be taken for the response.
        if !connection.conn.is_reusable() {
            connection.conn.reset();
            let reason = "something followed the answer to the ping";
            return Err(UpstreamRequestFailure::NotSent(reason.to_owned()));
        }
        if !is_current() {
            self.check_in(connection);
            return Err(withdrawn());
        }
        if let Err(e) = write(&mut connection.conn, &bytes, deadline) {
            connection.conn.reset();
            return Err(UpstreamRequestFailure::after_sending(e));
        }
        Ok(PendingControlRequest {
            connection,
            method: request.method,
        })
    }

    /// Waits until `deadline` for the response to a request; takes one that has arrived already also
    /// later.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete response arrives.
    pub fn finish(
        &self,
        pending: PendingControlRequest,
        deadline: Instant,
    ) -> Result<(ResponseHead, ResponseMetadata), UpstreamRequestFailure> {
        let PendingControlRequest {
            mut connection,
            method,
        } = pending;
        let deadline = deadline.max(Instant::now() + READ_TIME_MIN);
        let response = read_own_response(&mut connection.conn, method, deadline);
        let (head, framing) = match response {
            Ok(response) => response,
            Err(e) => {
                connection.conn.reset();
                return Err(UpstreamRequestFailure::after_sending(e));
            }
        };
        let metadata = self.protocol.parse_head(&head);
        if metadata.request_id.is_some() {
            connection.conn.reset();
            return Err(UpstreamRequestFailure::MaybeRun(
                "answers to other requests".to_owned(),
            ));
        }
        if framing != Framing::UntilClose && head.keeps_alive() {
            self.check_in(connection);
        }
        Ok((head, metadata))
    }

    /// Takes an idle connection that is still open.
    fn take_idle(&self) -> Option<UpstreamConnection> {
        let mut idle = sync::lock(&self.idle);
        let now = Instant::now();
        while let Some(last) = idle.pop() {
            if last.is_usable(now) {
                return Some(last.connection);
            }
        }
        None
    }

    /// Keeps a connection for the next request.
    fn check_in(&self, connection: UpstreamConnection) {
        let mut idle = sync::lock(&self.idle);
        if idle.len() < IDLE_MAX && !connection.is_spent() {
            idle.push(IdleConnection {
                connection,
                expires_at: Instant::now() + IDLE_TIMEOUT,
            });
        }
    }
}

/// Encodes a request with its body.
fn encode(request: &OutgoingRequest) -> Vec<u8> {
    let (headers, length) = (&request.headers, request.body.len());
    let mut bytes = http1::encode_request(request.method, &request.target, headers, length);
    bytes.extend_from_slice(&request.body);
    bytes
}

/// Writes all of `bytes`.
fn write(
    conn: &mut BufferedConnection,
    bytes: &[u8],
    deadline: Instant,
) -> Result<(), ConnectionError> {
    conn.write(bytes, false, deadline, &Recipient::none())
        .map(|_| ())
}

/// Reads the head of a response, and discards its body.
fn read_response(
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

/// Reads the response to a request, and discards late copies of the answer to the ping before it.
fn read_own_response(
    conn: &mut BufferedConnection,
    method: &str,
    deadline: Instant,
) -> Result<(ResponseHead, Framing), ConnectionError> {
    loop {
        let (head, framing) = read_response(conn, method, deadline)?;
        if framing == Framing::UntilClose || !is_refusal(&head) {
            return Ok((head, framing));
        }
        tracing::info!(event = "stray-answer", status = head.status);
    }
}

/// Returns whether a response has the form of the answer to a ping.
fn is_refusal(head: &ResponseHead) -> bool {
    head.status == http1::STATUS_MISDIRECTED
}

/// Closes a connection on which no ping was answered; returns why nothing was sent on it.
fn not_ready(connection: UpstreamConnection, error: &ConnectionError) -> UpstreamRequestFailure {
    connection.conn.reset();
    UpstreamRequestFailure::NotSent(format!("no answer to a ping: {error}"))
}

fn withdrawn() -> UpstreamRequestFailure {
    UpstreamRequestFailure::NotSent("it was withdrawn".to_owned())
}
