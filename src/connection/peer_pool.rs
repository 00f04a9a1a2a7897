//! Connections to other daemons, with one call at a time on each.
//!
//! A connection that fails or is late is closed, so a late reply is dropped with it. A reused
//! connection on which the other daemon does not confirm a request soon has gone silent; the call
//! is then repeated on a new one, where the other daemon joins it to the first by its identity.

use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use socket2::{Domain, Protocol, SockAddr, Socket, Type};

use crate::connection::frame::{self, FrameError};
use crate::connection::peer_error::PeerError;
use crate::connection::peer_message::{PeerReply, PeerRequest};
use crate::request::envelope::Envelope;

/// The most idle connections to one daemon.
const IDLE_MAX: usize = 64;
/// How long a connection may be idle and still be reused.
const IDLE_TIME: Duration = Duration::from_secs(30);
/// How long a connection may take to be made.
const CONNECT_TIME: Duration = Duration::from_millis(250);
/// How long the other daemon may take to confirm that a request arrived.
const CONFIRM_TIME: Duration = Duration::from_millis(30);
/// How long a confirmed request may take before it is asked for again on a new connection.
const PATIENCE: Duration = Duration::from_millis(200);

struct Idle {
    stream: TcpStream,
    since: Instant,
}

/// The reply to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Called {
    /// The reply.
    pub reply: PeerReply,
    /// Whether the call was sent more than once, so that an earlier one may still arrive.
    pub repeated: bool,
}

/// How a call on one connection ended without a reply.
enum Failure {
    Silent(FrameError),
    Failed(FrameError),
}

/// The connections of one daemon to the others.
pub struct PeerPool {
    source: IpAddr,
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

impl PeerPool {
    /// Creates a pool whose connections come from `source`.
    pub fn new(source: IpAddr) -> Self {
        Self {
            source,
            idle: Mutex::default(),
        }
    }

    /// Calls the daemon at `to` and waits `limit` for its reply, or until `is_vain` says that none
    /// is worth waiting for, which is asked whenever the connection has been silent for a while.
    ///
    /// # Errors
    ///
    /// Returns an error where no reply came; it tells whether the call may have arrived.
    pub fn call(
        &self,
        to: SocketAddr,
        request: &PeerRequest,
        limit: Duration,
        is_vain: impl Fn() -> bool,
    ) -> Result<Called, PeerError> {
        let until = Instant::now() + limit;
        if let Some(stream) = self.take_idle(to) {
            match self.exchange(to, stream, request, CONFIRM_TIME, until) {
                Ok(reply) => {
                    return Ok(Called {
                        reply,
                        repeated: false,
                    });
                }
                Err(Failure::Silent(e)) if Instant::now() >= until || is_vain() => {
                    return Err(e.into());
                }
                Err(Failure::Failed(e)) if Instant::now() >= until => return Err(e.into()),
                Err(_) => self.forget(to),
            }
            // The call may have arrived, so a failure to connect must not read as not sent.
            let unsure = |e: PeerError| match e {
                PeerError::NotSent(e) => PeerError::MaybeSent(FrameError::Io(e)),
                e => e,
            };
            let called = self
                .call_fresh(to, &unfreshened(request), until, &is_vain)
                .map_err(unsure)?;
            return Ok(Called {
                repeated: true,
                ..called
            });
        }
        self.call_fresh(to, request, until, &is_vain)
    }

    /// Calls on new connections until `until`.
    fn call_fresh(
        &self,
        to: SocketAddr,
        request: &PeerRequest,
        until: Instant,
        is_vain: &impl Fn() -> bool,
    ) -> Result<Called, PeerError> {
        let mut stream = self.connect(to, until).map_err(PeerError::NotSent)?;
        let mut request = request.clone();
        let mut confirm = CONFIRM_TIME;
        let mut repeated = false;
        loop {
            confirm = (confirm * 2).min(PATIENCE);
            match self.exchange(to, stream, &request, confirm, until) {
                Ok(reply) => return Ok(Called { reply, repeated }),
                Err(Failure::Silent(e)) if Instant::now() >= until || is_vain() => {
                    return Err(e.into());
                }
                Err(Failure::Silent(_)) => repeated = true,
                Err(Failure::Failed(e)) => return Err(e.into()),
            }
            request = unfreshened(&request);
            let connected = self.connect(to, until);
            stream = connected.map_err(|e| PeerError::MaybeSent(FrameError::Io(e)))?;
        }
    }

    /// Makes one call on `stream`; keeps the connection where all went well.
    fn exchange(
        &self,
        to: SocketAddr,
        mut stream: TcpStream,
        request: &PeerRequest,
        confirm: Duration,
        until: Instant,
    ) -> Result<PeerReply, Failure> {
        frame::write(&mut stream, request).map_err(Failure::Failed)?;
        let mut reply = read_within(&mut stream, confirm, until)?;
        while reply == PeerReply::Received {
            reply = read_within(&mut stream, PATIENCE, until)?;
        }
        self.put_idle(to, stream);
        Ok(reply)
    }

    fn connect(&self, to: SocketAddr, until: Instant) -> io::Result<TcpStream> {
        let limit = CONNECT_TIME.min(until - Instant::now().min(until));
        if limit.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
        socket.bind(&SockAddr::from(SocketAddr::new(self.source, 0)))?;
        socket.connect_timeout(&SockAddr::from(to), limit)?;
        socket.set_tcp_nodelay(true)?;
        Ok(socket.into())
    }

    fn take_idle(&self, to: SocketAddr) -> Option<TcpStream> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.get_mut(&to)?;
        while let Some(connection) = list.pop() {
            if connection.since.elapsed() < IDLE_TIME {
                return Some(connection.stream);
            }
        }
        None
    }

    fn put_idle(&self, to: SocketAddr, stream: TcpStream) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.entry(to).or_default();
        if list.len() < IDLE_MAX {
            list.push(Idle {
                stream,
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
    stream: &mut TcpStream,
    limit: Duration,
    until: Instant,
) -> Result<PeerReply, Failure> {
    let left = until - Instant::now().min(until);
    let limit = limit.min(left).max(Duration::from_millis(1));
    let set = stream.set_read_timeout(Some(limit));
    set.map_err(|e| Failure::Failed(FrameError::Io(e)))?;
    frame::read(stream).map_err(|e| match &e {
        FrameError::Io(io) if is_timeout(io) => Failure::Silent(e),
        _ => Failure::Failed(e),
    })
}

/// Returns whether a read ran into its time limit.
fn is_timeout(e: &io::Error) -> bool {
    matches!(
        e.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}
