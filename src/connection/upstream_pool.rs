//! The connections to the upstream beside the daemon: one order at a time on each.

use std::io::ErrorKind;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::connection::buffered_connection::{BufferedConnection, ConnectionError, Recipient};
use crate::connection::http1::{self, Framing, ResponseHead};
use crate::connection::protocol::{OutgoingRequest, ResponseMetadata, UpstreamProtocol};
use crate::process::sync;
use crate::request::body::{BODY_BYTES_MAX, Body};
use crate::request::upstream_outcome::UpstreamResponse;
use crate::request::upstream_request::UpstreamRequest;

/// How long a connection may take to be made.
const CONNECT_TIME: Duration = Duration::from_millis(1000);
/// How long such a connection may take that only tells whether something listens.
const PROBE_TIME: Duration = Duration::from_millis(200);
/// How long a connection may be idle and still be used, where the upstream tells no time.
const IDLE_TIME: Duration = Duration::from_secs(4);
/// The part of the told time that is used.
const IDLE_PART: f64 = 0.7;
/// The most idle connections kept.
const IDLE_MAX: usize = 32;
/// The most answers to other requests that are passed over on one connection.
const STRAY_MAX: usize = 4;

/// How an order ended that brought no answer of the upstream's own.
#[derive(Debug, PartialEq, Eq)]
pub enum UpstreamRequestFailure {
    /// Nothing listens at the address: the upstream's process is gone.
    Refused,
    /// No byte of the order was sent.
    NotSent(String),
    /// The upstream says that it did not run the order.
    NotRun {
        /// The status.
        status: u16,
        /// What the head says.
        metadata: ResponseMetadata,
    },
    /// The order may have run; the answer was lost or spoiled.
    MaybeRun(String),
    /// The order may have run; no answer came in time.
    TimedOut,
    /// The caller left.
    RecipientDisconnected,
}

/// An answer with what its head says.
#[derive(Debug, PartialEq, Eq)]
pub struct ReceivedResponse {
    /// The answer.
    pub response: UpstreamResponse,
    /// What its head says.
    pub metadata: ResponseMetadata,
}

struct Idle {
    wire: BufferedConnection,
    until: Instant,
}

/// The connections to one address.
pub struct UpstreamPool {
    to: SocketAddr,
    from: Option<IpAddr>,
    protocol: Arc<dyn UpstreamProtocol>,
    idle: Mutex<Vec<Idle>>,
}

impl UpstreamPool {
    /// Creates a pool without a connection.
    pub fn new(to: SocketAddr, from: Option<IpAddr>, protocol: Arc<dyn UpstreamProtocol>) -> Self {
        Self {
            to,
            from,
            protocol,
            idle: Mutex::default(),
        }
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        sync::lock(&self.idle).clear();
    }

    /// Gives an order to the run `instance` of the upstream, and waits `left` for its answer, or
    /// until `recipient` leaves.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer; it tells whether the order may have run.
    pub fn send_request(
        &self,
        order: &UpstreamRequest,
        instance: &str,
        left: Duration,
        recipient: &Recipient,
    ) -> Result<ReceivedResponse, UpstreamRequestFailure> {
        let until = Instant::now() + left;
        let headers = self.protocol.request_headers(order, instance, left);
        let body = &order.body.0;
        let mut bytes = http1::encode_request(&order.method, &order.target, &headers, body.len());
        bytes.extend_from_slice(body);
        let mut wire = self.take(until)?;
        let written = match wire.write(&bytes, true, until, recipient) {
            Ok(written) => written,
            Err(ConnectionError::RecipientDisconnected) => {
                return Err(UpstreamRequestFailure::RecipientDisconnected);
            }
            Err(e) => {
                return Err(UpstreamRequestFailure::MaybeRun(format!(
                    "not written: {e}"
                )));
            }
        };
        let (head, metadata) = self.read_head(&mut wire, order, until, recipient)?;
        let framing = http1::answer_framing(&head, &order.method).map_err(lost)?;
        let body = http1::read_body(&mut wire, framing, BODY_BYTES_MAX, until, recipient);
        let not_run = metadata.not_run || head.status == 421;
        let body = match body {
            Ok(body) => body,
            Err(_) if not_run => Vec::new(),
            Err(e) => return Err(lost(e)),
        };
        if written == bytes.len() && framing != Framing::UntilClose {
            self.put(wire, &head);
        }
        if not_run {
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
            body: Body(body),
        };
        Ok(ReceivedResponse { response, metadata })
    }

    /// Reads the head of the answer to `order`, and passes answers to other requests over.
    fn read_head(
        &self,
        wire: &mut BufferedConnection,
        order: &UpstreamRequest,
        until: Instant,
        recipient: &Recipient,
    ) -> Result<(ResponseHead, ResponseMetadata), UpstreamRequestFailure> {
        for _ in 0..STRAY_MAX {
            let head = http1::read_answer_head(wire, until, recipient).map_err(lost)?;
            let metadata = self.protocol.parse_head(&head);
            if metadata.request_id.as_deref() == Some(&order.id) {
                return Ok((head, metadata));
            }
            tracing::info!(event = "stray-answer", request = %order.id, other = ?metadata.request_id);
            let framing = http1::answer_framing(&head, &order.method).map_err(lost)?;
            if framing == Framing::UntilClose {
                break;
            }
            http1::read_body(wire, framing, BODY_BYTES_MAX, until, recipient).map_err(lost)?;
        }
        Err(UpstreamRequestFailure::MaybeRun(
            "answers to other requests".to_owned(),
        ))
    }

    /// Makes a call of the system's own and waits `limit` for its answer.
    ///
    /// # Errors
    ///
    /// Returns an error where no whole answer came.
    pub fn send_control_request(
        &self,
        call: &OutgoingRequest,
        limit: Duration,
    ) -> Result<(ResponseHead, ResponseMetadata), UpstreamRequestFailure> {
        let until = Instant::now() + limit;
        let mut bytes =
            http1::encode_request(call.method, &call.target, &call.headers, call.body.len());
        bytes.extend_from_slice(&call.body);
        let recipient = Recipient::none();
        let mut wire = self.take(until)?;
        wire.write(&bytes, false, until, &recipient).map_err(lost)?;
        let head = http1::read_answer_head(&mut wire, until, &recipient).map_err(lost)?;
        let framing = http1::answer_framing(&head, call.method).map_err(lost)?;
        http1::read_body(&mut wire, framing, BODY_BYTES_MAX, until, &recipient).map_err(lost)?;
        let metadata = self.protocol.parse_head(&head);
        // An answer that names a request belongs to an order: what follows can't be told apart.
        if metadata.request_id.is_some() {
            return Err(UpstreamRequestFailure::MaybeRun(
                "answers to other requests".to_owned(),
            ));
        }
        if framing != Framing::UntilClose {
            self.put(wire, &head);
        }
        Ok((head, metadata))
    }

    /// Finds out whether something listens at the address.
    ///
    /// # Errors
    ///
    /// Returns why no connection was made.
    pub fn probe(&self) -> Result<(), UpstreamRequestFailure> {
        let until = Instant::now() + PROBE_TIME;
        let wire = self.take(until)?;
        sync::lock(&self.idle).push(Idle {
            wire,
            until: Instant::now() + IDLE_TIME,
        });
        Ok(())
    }

    /// Returns an idle connection, or makes one.
    fn take(&self, until: Instant) -> Result<BufferedConnection, UpstreamRequestFailure> {
        let now = Instant::now();
        loop {
            let Some(idle) = sync::lock(&self.idle).pop() else {
                break;
            };
            if idle.until > now && idle.wire.is_reusable() {
                return Ok(idle.wire);
            }
        }
        let limit = until.min(now + CONNECT_TIME);
        BufferedConnection::connect(self.to, self.from, limit).map_err(|e| match e.kind() {
            ErrorKind::ConnectionRefused => UpstreamRequestFailure::Refused,
            _ => UpstreamRequestFailure::NotSent(e.to_string()),
        })
    }

    /// Keeps a connection for the next order.
    fn put(&self, wire: BufferedConnection, head: &ResponseHead) {
        if !head.keeps_alive() || !wire.buffered().is_empty() {
            return;
        }
        let told = head.headers.text("keep-alive").and_then(told_time);
        let time = told.map_or(IDLE_TIME, |t| t.mul_f64(IDLE_PART));
        let mut idle = sync::lock(&self.idle);
        if idle.len() < IDLE_MAX {
            idle.push(Idle {
                wire,
                until: Instant::now() + time,
            });
        }
    }
}

/// Reads the idle time of a `Keep-Alive` header.
fn told_time(text: &str) -> Option<Duration> {
    let mut parts = text.split(',');
    let seconds = parts.find_map(|p| p.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

/// Turns an error after the order was sent.
fn lost(e: ConnectionError) -> UpstreamRequestFailure {
    match e {
        ConnectionError::TimedOut => UpstreamRequestFailure::TimedOut,
        ConnectionError::RecipientDisconnected => UpstreamRequestFailure::RecipientDisconnected,
        e => UpstreamRequestFailure::MaybeRun(e.to_string()),
    }
}
