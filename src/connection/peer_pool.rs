//! Connections to other daemons, with one call at a time on each.
//!
//! A connection that fails or is late is closed, so a late reply is dropped with it. A reused
//! connection on which the other daemon does not confirm a request soon has gone silent; the call
//! is then repeated on a new one, where the other daemon joins it to the first by its identity.

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
const IDLE_TIME: Duration = Duration::from_secs(6);
/// How long a connection may take to be made.
const CONNECT_TIME: Duration = Duration::from_millis(150);

/// How long a caller is told to wait for a process that is not the one meant.
const GONE_RETRY: Duration = Duration::from_millis(300);

/// How long a pool waits for other daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerTimeouts {
    /// How long the other daemon may take to confirm that a request arrived.
    pub acknowledge: Duration,
    /// How long a confirmed request may take before it is asked for again on a new connection.
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

struct Idle {
    wire: BufferedConnection,
    since: Instant,
}

/// The reply to a call.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerCallReply {
    /// The reply.
    pub reply: PeerReply,
    /// Whether the call was sent more than once, so that an earlier one may still arrive.
    pub resent: bool,
}

impl PeerCallReply {
    /// Returns what became of the order that was called for, and the load told with it.
    ///
    /// A process that is not the one meant ran nothing, but where the call was sent before, the
    /// one meant may have.
    pub fn into_outcome(self) -> (UpstreamOutcome, Option<UpstreamLoad>) {
        match self.reply {
            PeerReply::Completed { outcome, load } => (*outcome, Some(load)),
            PeerReply::NotServing(reason) if self.resent => {
                (UpstreamOutcome::unknown(reason), None)
            }
            PeerReply::NotServing(_) => (
                UpstreamOutcome::not_run(NotRunCause::NotOwner, GONE_RETRY),
                None,
            ),
            _ => (
                UpstreamOutcome::unknown("a reply that does not fit the call"),
                None,
            ),
        }
    }
}

/// How a call on one connection ended without a reply.
enum Failure {
    Silent(FrameError),
    Failed(FrameError),
    RecipientDisconnected,
}

/// The connections of one daemon to the others.
pub struct PeerPool {
    source: IpAddr,
    times: PeerTimeouts,
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

impl PeerPool {
    /// Creates a pool whose connections come from `source`.
    pub fn new(source: IpAddr, times: PeerTimeouts) -> Self {
        Self {
            source,
            times,
            idle: Mutex::default(),
        }
    }

    /// Calls the daemon at `to` and waits `limit` for its reply, or until `recipient` leaves, or
    /// until `is_vain` says that none is worth waiting for, which is asked whenever the connection
    /// has been silent for a while.
    ///
    /// # Errors
    ///
    /// Returns an error where no reply came; it tells whether the call may have arrived.
    pub fn call(
        &self,
        to: SocketAddr,
        request: &PeerRequest,
        limit: Duration,
        recipient: &Recipient,
        is_vain: impl Fn() -> bool,
    ) -> Result<PeerCallReply, PeerError> {
        let until = Instant::now() + limit;
        // Connections that went silent stay open until the call ends: to close one would tell the
        // other daemon that nobody waits any more.
        let mut silent = Vec::new();
        let mut reused = self.take_idle(to);
        let mut confirm = self.times.acknowledge;
        let mut asked = request.clone();
        let mut resent = false;
        loop {
            let is_reused = reused.is_some();
            let connected = match reused.take() {
                Some(wire) => Ok(wire),
                None => self.connect(to, until),
            };
            let answered = match (connected, resent) {
                (Ok(wire), _) => self.exchange(to, wire, &asked, confirm, until, recipient),
                (Err(e), false) => return Err(PeerError::NotSent(e)),
                // The reply may still come where it was waited for before.
                (Err(e), true) => match silent.pop() {
                    Some(wire) => self.listen(to, wire, until, recipient),
                    None => return Err(PeerError::MaybeSent(FrameError::Io(e))),
                },
            };
            let failure = match answered {
                Ok(PeerReply::UnknownRequest) => {
                    // The connection had gone silent, so the others are in doubt too.
                    self.forget(to);
                    asked = request.clone();
                    continue;
                }
                Ok(reply) => return Ok(PeerCallReply { reply, resent }),
                Err((failure, wire)) => {
                    if matches!(failure, Failure::Silent(_)) {
                        silent.push(wire);
                    }
                    failure
                }
            };
            let over = Instant::now() >= until;
            match failure {
                Failure::RecipientDisconnected => return Err(PeerError::RecipientDisconnected),
                Failure::Silent(e) if over || is_vain() => return Err(e.into()),
                Failure::Failed(e) if over || (!is_reused && resent) => return Err(e.into()),
                Failure::Silent(_) => {
                    let left = until.saturating_duration_since(Instant::now());
                    asked = match request.outcome_request(left) {
                        Some(follow_up) => follow_up,
                        None => {
                            self.forget(to);
                            unfreshened(request)
                        }
                    };
                }
                Failure::Failed(_) => {
                    self.forget(to);
                    asked = unfreshened(request);
                }
            }
            resent = true;
            confirm = (confirm * 2).min(self.times.reply);
        }
    }

    /// Makes one call on `wire`; keeps the connection where all went well, and returns it
    /// otherwise.
    fn exchange(
        &self,
        to: SocketAddr,
        mut wire: BufferedConnection,
        request: &PeerRequest,
        confirm: Duration,
        until: Instant,
        recipient: &Recipient,
    ) -> Result<PeerReply, (Failure, BufferedConnection)> {
        match self.ask(&mut wire, request, confirm, until, recipient) {
            Ok(reply) => {
                self.put_idle(to, wire);
                Ok(reply)
            }
            Err(failure) => Err((failure, wire)),
        }
    }

    /// Waits on for the reply to a call that was made on `wire` before.
    fn listen(
        &self,
        to: SocketAddr,
        mut wire: BufferedConnection,
        until: Instant,
        recipient: &Recipient,
    ) -> Result<PeerReply, (Failure, BufferedConnection)> {
        loop {
            match read_within(&mut wire, self.times.reply, until, recipient) {
                Ok(PeerReply::Acknowledged) => {}
                Ok(reply) => {
                    self.put_idle(to, wire);
                    return Ok(reply);
                }
                Err(failure) => return Err((failure, wire)),
            }
        }
    }

    fn ask(
        &self,
        wire: &mut BufferedConnection,
        request: &PeerRequest,
        confirm: Duration,
        until: Instant,
        recipient: &Recipient,
    ) -> Result<PeerReply, Failure> {
        let bytes = frame::encode(request).map_err(Failure::Failed)?;
        wire.write(&bytes, false, until, recipient).map_err(turn)?;
        let first = match request.is_acknowledged() {
            true => confirm,
            false => self.times.reply,
        };
        let mut reply = read_within(wire, first, until, recipient)?;
        while reply == PeerReply::Acknowledged {
            reply = read_within(wire, self.times.reply, until, recipient)?;
        }
        Ok(reply)
    }

    fn connect(&self, to: SocketAddr, until: Instant) -> io::Result<BufferedConnection> {
        BufferedConnection::connect(
            to,
            Some(self.source),
            until.min(Instant::now() + CONNECT_TIME),
        )
    }

    fn take_idle(&self, to: SocketAddr) -> Option<BufferedConnection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.get_mut(&to)?;
        while let Some(connection) = list.pop() {
            if connection.since.elapsed() < IDLE_TIME && connection.wire.is_reusable() {
                return Some(connection.wire);
            }
        }
        None
    }

    fn put_idle(&self, to: SocketAddr, wire: BufferedConnection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.entry(to).or_default();
        if list.len() < IDLE_MAX {
            list.push(Idle {
                wire,
                since: Instant::now(),
            });
        }
    }

    /// Closes the idle connections to `to`: where one failed, the others are in doubt.
    fn forget(&self, to: SocketAddr) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.remove(&to);
    }
}

/// Returns the call as it must be repeated: no longer the entry's first attempt.
fn unfreshened(request: &PeerRequest) -> PeerRequest {
    match request {
        PeerRequest::Forward(e) => PeerRequest::Forward(Envelope {
            fresh_until: None,
            ..e.clone()
        }),
        other => other.clone(),
    }
}

/// Reads a reply within `limit`, and before `until`.
fn read_within(
    wire: &mut BufferedConnection,
    limit: Duration,
    until: Instant,
    recipient: &Recipient,
) -> Result<PeerReply, Failure> {
    let until = until.min(Instant::now() + limit);
    loop {
        match frame::decode(wire.buffered()).map_err(Failure::Failed)? {
            Some((reply, used)) => {
                wire.consume(used);
                return Ok(reply);
            }
            None => wire.fill(until, recipient).map_err(turn)?,
        };
    }
}

fn turn(e: ConnectionError) -> Failure {
    match e {
        ConnectionError::TimedOut => {
            Failure::Silent(FrameError::Io(io::ErrorKind::TimedOut.into()))
        }
        ConnectionError::RecipientDisconnected => Failure::RecipientDisconnected,
        ConnectionError::Io(e) => Failure::Failed(FrameError::Io(e)),
        _ => Failure::Failed(FrameError::Io(io::ErrorKind::UnexpectedEof.into())),
    }
}
