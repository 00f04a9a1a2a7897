//! A pool of connections to other daemons, with one call at a time on each connection.
//!
//! If the other daemon does not acknowledge a request in time, the connection is presumed dead.
//! The request is then sent again on another connection, and the other daemon recognizes the
//! duplicate by its id. If the reply to a dispatched request is late, the pool fetches only its
//! outcome. A connection that failed or timed out is closed at the end of the call; a reply that
//! arrives later is lost with it.

use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::connection::buffered_connection::{BufferedConnection, ConnectionError, Recipient};
use crate::connection::frame::{self, FrameError};
use crate::connection::peer_error::PeerError;
use crate::connection::peer_message::{PeerReply, PeerRequest};
use crate::request::envelope::Envelope;
use crate::request::upstream_load::UpstreamLoad;
use crate::request::upstream_outcome::{NotRunCause, UpstreamOutcome};

/// The most idle connections to one daemon.
const IDLE_MAX: usize = 8;
/// How long a connection may be idle and still be reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(6);
/// The timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// The retry delay that a caller receives if a later process has replaced the addressed one.
const REPLACED_PROCESS_RETRY: Duration = Duration::from_millis(300);

/// How long a pool waits for another daemon before it sends a request again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerTimeouts {
    /// How long the other daemon may take to acknowledge the first copy of a request; the time
    /// doubles with each further copy, up to `reply`.
    pub acknowledge: Duration,
    /// How long a reply may take after the acknowledgement, or after the request if none is
    /// expected, before the request is sent again or its outcome is fetched on another connection.
    pub reply: Duration,
}

impl Default for PeerTimeouts {
    fn default() -> Self {
        Self {
            acknowledge: Duration::from_millis(30),
            reply: Duration::from_millis(200),
        }
    }
}

/// A connection without a call in progress.
struct IdleConnection {
    conn: BufferedConnection,
    since: Instant,
}

/// The reply to a call.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerCallReply {
    /// The message that the other daemon sent.
    pub reply: PeerReply,
    /// Whether the request was sent more than once, so that an earlier copy may still arrive.
    pub resent: bool,
}

impl PeerCallReply {
    /// Returns the outcome of an upstream request that was dispatched by the call, and the load
    /// that the reply reports.
    ///
    /// With [`PeerReply::NotServing`], another process than the addressed one replies that it did
    /// not run the request. If the request was sent before, the addressed process may have run it,
    /// so the outcome is unknown.
    pub fn into_outcome(self) -> (UpstreamOutcome, Option<UpstreamLoad>) {
        match self.reply {
            PeerReply::Completed { outcome, load } => (*outcome, Some(load)),
            PeerReply::NotServing(reason) if self.resent => {
                (UpstreamOutcome::unknown(reason), None)
            }
            PeerReply::NotServing(_) => (
                UpstreamOutcome::not_run(NotRunCause::NotOwner, REPLACED_PROCESS_RETRY),
                None,
            ),
            _ => (
                UpstreamOutcome::unknown("a reply that does not fit the call"),
                None,
            ),
        }
    }
}

/// How a call ended on one connection without a reply.
enum Failure {
    /// Nothing arrived in time; the connection may still be alive.
    TimedOut(FrameError),
    /// The connection failed.
    Failed(FrameError),
    /// The recipient of the result disconnected.
    RecipientDisconnected,
}

/// The pooled connections of one daemon to the others.
pub struct PeerPool {
    source: IpAddr,
    timeouts: PeerTimeouts,
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl PeerPool {
    /// Creates a pool that connects from the address `source`.
    pub fn new(source: IpAddr, timeouts: PeerTimeouts) -> Self {
        Self {
            source,
            timeouts,
            idle: Mutex::default(),
        }
    }

    /// Sends a request to the daemon at `to` and waits for its reply.
    ///
    /// The wait ends after `timeout`, when `recipient` disconnects, or when `is_pointless` returns
    /// true, which is called after each timeout on a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if no reply arrives; it says whether the request may have been received.
    pub fn call(
        &self,
        to: SocketAddr,
        request: &PeerRequest,
        timeout: Duration,
        recipient: &Recipient,
        is_pointless: impl Fn() -> bool,
    ) -> Result<PeerCallReply, PeerError> {
        let deadline = Instant::now() + timeout;
        // Connections that timed out stay open until the call ends: the other daemon would take
        // their close for a disconnect of the recipient and cancel the request.
        let mut timed_out = Vec::new();
        let mut pooled = self.take_idle(to);
        let mut acknowledge_timeout = self.timeouts.acknowledge;
        let mut message = request.clone();
        let mut resent = false;
        loop {
            let is_reused = pooled.is_some();
            let connected = match pooled.take() {
                Some(conn) => Ok(conn),
                None => self.connect(to, deadline),
            };
            let result = match (connected, resent) {
                (Ok(conn), _) => {
                    self.exchange(to, conn, &message, acknowledge_timeout, deadline, recipient)
                }
                (Err(e), false) => return Err(PeerError::NotSent(e)),
                // The reply may still arrive on an earlier connection.
                (Err(e), true) => match timed_out.pop() {
                    Some(conn) => self.await_reply(to, conn, deadline, recipient),
                    None => return Err(PeerError::MaybeSent(FrameError::Io(e))),
                },
            };
            let failure = match result {
                Ok(PeerReply::UnknownRequest) => {
                    // The earlier connection lost the request, so other idle ones may be dead too.
                    self.close_idle(to);
                    message = request.clone();
                    continue;
                }
                Ok(reply) => return Ok(PeerCallReply { reply, resent }),
                Err((failure, conn)) => {
                    if matches!(failure, Failure::TimedOut(_)) {
                        timed_out.push(conn);
                    }
                    failure
                }
            };
            let expired = Instant::now() >= deadline;
            match failure {
                Failure::RecipientDisconnected => return Err(PeerError::RecipientDisconnected),
                Failure::TimedOut(e) if expired || is_pointless() => return Err(e.into()),
                Failure::Failed(e) if expired || (!is_reused && resent) => return Err(e.into()),
                Failure::TimedOut(_) => {
                    let remaining = deadline.saturating_duration_since(Instant::now());
                    message = match request.outcome_request(remaining) {
                        Some(outcome_request) => outcome_request,
                        None => {
                            self.close_idle(to);
                            without_fresh_until(request)
                        }
                    };
                }
                Failure::Failed(_) => {
                    self.close_idle(to);
                    message = without_fresh_until(request);
                }
            }
            resent = true;
            acknowledge_timeout = (acknowledge_timeout * 2).min(self.timeouts.reply);
        }
    }

    /// Makes one call on `conn`, and returns the connection to the pool; if the call fails, the
    /// error contains the connection.
    fn exchange(
        &self,
        to: SocketAddr,
        mut conn: BufferedConnection,
        request: &PeerRequest,
        acknowledge_timeout: Duration,
        deadline: Instant,
        recipient: &Recipient,
    ) -> Result<PeerReply, (Failure, BufferedConnection)> {
        match self.send_and_receive(&mut conn, request, acknowledge_timeout, deadline, recipient) {
            Ok(reply) => {
                self.put_idle(to, conn);
                Ok(reply)
            }
            Err(failure) => Err((failure, conn)),
        }
    }

    /// Continues to wait for the reply to a request that was sent on `conn` before.
    fn await_reply(
        &self,
        to: SocketAddr,
        mut conn: BufferedConnection,
        deadline: Instant,
        recipient: &Recipient,
    ) -> Result<PeerReply, (Failure, BufferedConnection)> {
        loop {
            match read_within(&mut conn, self.timeouts.reply, deadline, recipient) {
                Ok(PeerReply::Acknowledged) => {}
                Ok(reply) => {
                    self.put_idle(to, conn);
                    return Ok(reply);
                }
                Err(failure) => return Err((failure, conn)),
            }
        }
    }

    /// Sends a request on `conn` and waits for its reply.
    fn send_and_receive(
        &self,
        conn: &mut BufferedConnection,
        request: &PeerRequest,
        acknowledge_timeout: Duration,
        deadline: Instant,
        recipient: &Recipient,
    ) -> Result<PeerReply, Failure> {
        let bytes = frame::encode(request).map_err(Failure::Failed)?;
        conn.write(&bytes, false, deadline, recipient)
            .map_err(to_failure)?;
        let first_timeout = match request.is_acknowledged() {
            true => acknowledge_timeout,
            false => self.timeouts.reply,
        };
        let mut reply = read_within(conn, first_timeout, deadline, recipient)?;
        while reply == PeerReply::Acknowledged {
            reply = read_within(conn, self.timeouts.reply, deadline, recipient)?;
        }
        Ok(reply)
    }

    fn connect(&self, to: SocketAddr, deadline: Instant) -> io::Result<BufferedConnection> {
        BufferedConnection::connect(
            to,
            Some(self.source),
            deadline.min(Instant::now() + CONNECT_TIMEOUT),
        )
    }

    /// Returns a pooled connection to `to` that can be reused.
    fn take_idle(&self, to: SocketAddr) -> Option<BufferedConnection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.get_mut(&to)?;
        while let Some(connection) = list.pop() {
            if connection.since.elapsed() < IDLE_TIMEOUT && connection.conn.is_reusable() {
                return Some(connection.conn);
            }
        }
        None
    }

    fn put_idle(&self, to: SocketAddr, conn: BufferedConnection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.entry(to).or_default();
        if list.len() < IDLE_MAX {
            list.push(IdleConnection {
                conn,
                since: Instant::now(),
            });
        }
    }

    /// Closes the idle connections to `to`: if one failed, the others may be dead too.
    fn close_idle(&self, to: SocketAddr) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.remove(&to);
    }
}

/// Returns the request as it is sent again: without `fresh_until`, since an earlier copy may exist.
fn without_fresh_until(request: &PeerRequest) -> PeerRequest {
    match request {
        PeerRequest::Forward(e) => PeerRequest::Forward(Envelope {
            fresh_until: None,
            ..e.clone()
        }),
        other => other.clone(),
    }
}

/// Reads a reply within `timeout`, and before `deadline`.
fn read_within(
    conn: &mut BufferedConnection,
    timeout: Duration,
    deadline: Instant,
    recipient: &Recipient,
) -> Result<PeerReply, Failure> {
    let deadline = deadline.min(Instant::now() + timeout);
    loop {
        match frame::decode(conn.buffered()).map_err(Failure::Failed)? {
            Some((reply, used)) => {
                conn.consume(used);
                return Ok(reply);
            }
            None => conn.fill(deadline, recipient).map_err(to_failure)?,
        };
    }
}

/// Converts an error of the connection to the failure of the call.
fn to_failure(e: ConnectionError) -> Failure {
    match e {
        ConnectionError::TimedOut => {
            Failure::TimedOut(FrameError::Io(io::ErrorKind::TimedOut.into()))
        }
        ConnectionError::RecipientDisconnected => Failure::RecipientDisconnected,
        ConnectionError::Io(e) => Failure::Failed(FrameError::Io(e)),
        _ => Failure::Failed(FrameError::Io(io::ErrorKind::UnexpectedEof.into())),
    }
}
