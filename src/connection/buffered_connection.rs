//! A buffered connection whose waits have a limit and can be cut short.
//!
//! The socket never blocks: each wait is a `poll` over the connection itself and, where somebody
//! waits for the outcome, the connection of that party, so that its close ends the wait at once.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::{AsFd, BorrowedFd};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::net::{RecvFlags, recv, sockopt};
use socket2::{Domain, Protocol, SockAddr, Socket, TcpKeepalive, Type};
use thiserror::Error;

/// How much is read at once, in bytes.
const READ_BYTES: usize = 16 * 1024;
/// How long a connection may be silent before the kernel asks whether the peer is still there.
const KEEPALIVE_TIME: Duration = Duration::from_secs(1);
/// How many such questions may stay unanswered.
const KEEPALIVE_RETRIES: u32 = 2;
/// How long sent bytes may stay unacknowledged before the kernel gives the connection up, in
/// milliseconds.
const USER_TIMEOUT_MS: u32 = 2500;

/// A wait or transfer on a connection that failed.
#[derive(Debug, Error)]
pub enum ConnectionError {
    /// The connection failed.
    #[error("connection: {0}")]
    Io(#[from] io::Error),
    /// The limit of the wait passed.
    #[error("no answer in time")]
    TimedOut,
    /// The party that waits for the outcome has left.
    #[error("the caller left")]
    RecipientDisconnected,
    /// The peer closed the connection.
    #[error("the connection was closed")]
    Closed,
    /// What was received is no message of the protocol.
    #[error("malformed message: {0}")]
    Malformed(&'static str),
    /// The head or body is larger than allowed.
    #[error("the {0} is too large")]
    TooLarge(&'static str),
}

/// How long a party whose connection broke may take to come back on another one.
const RETURN_TIME: Duration = Duration::from_millis(120);
/// How often a wait looks again whether such a party is back.
const RETURN_STEP: Duration = Duration::from_millis(40);

/// The party that waits for an outcome.
#[derive(Clone)]
pub struct Recipient {
    stream: Option<Arc<TcpStream>>,
    reconnects: Option<Arc<Reconnects>>,
}

/// The other connections on which the same outcome is waited for.
#[derive(Debug, Default)]
pub struct Reconnects {
    joined: AtomicUsize,
    closed_at: Mutex<Option<Instant>>,
}

impl Reconnects {
    /// Notes that somebody waits for the outcome on one more connection.
    pub fn record(&self) {
        self.joined.fetch_add(1, Ordering::SeqCst);
    }

    /// Returns whether nobody came back since the first connection was seen to be closed.
    fn are_abandoned(&self) -> bool {
        if self.joined.load(Ordering::SeqCst) > 0 {
            return false;
        }
        let mut closed_at = self
            .closed_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        closed_at.get_or_insert_with(Instant::now).elapsed() >= RETURN_TIME
    }
}

impl Recipient {
    /// Returns a recipient that never leaves.
    pub fn none() -> Self {
        Self {
            stream: None,
            reconnects: None,
        }
    }

    /// Returns the party behind `stream`.
    pub fn behind(stream: &Arc<TcpStream>) -> Self {
        Self {
            stream: Some(Arc::clone(stream)),
            reconnects: None,
        }
    }

    /// Returns the same party, which may come back on another connection.
    pub fn with_reconnects(&self, reconnects: &Arc<Reconnects>) -> Self {
        Self {
            stream: self.stream.clone(),
            reconnects: Some(Arc::clone(reconnects)),
        }
    }

    /// Returns whether the party has left for good.
    pub fn has_disconnected(&self) -> bool {
        self.stream.as_ref().is_some_and(|s| is_closed(s)) && self.is_abandoned()
    }

    fn is_abandoned(&self) -> bool {
        self.reconnects.as_ref().is_none_or(|c| c.are_abandoned())
    }
}

/// Returns whether the peer of `stream` has closed it, or it failed.
fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0u8; 1];
    match recv(stream, &mut byte, RecvFlags::PEEK | RecvFlags::DONTWAIT) {
        Ok((_, read)) => read == 0,
        Err(rustix::io::Errno::AGAIN | rustix::io::Errno::INTR) => false,
        Err(_) => true,
    }
}

/// A connection with what was read from it and not used yet.
pub struct BufferedConnection {
    stream: Arc<TcpStream>,
    buf: Vec<u8>,
    start: usize,
    /// Whether something was sent since the last read, so that the answer will take a while.
    asked: bool,
}

impl BufferedConnection {
    /// Takes a connection over.
    ///
    /// # Errors
    ///
    /// Returns an error where the socket's options can't be set.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        set_socket_options(&stream)?;
        Self::from_accepted(stream)
    }

    /// Takes a connection over that has its options from its listener.
    ///
    /// # Errors
    ///
    /// Returns an error where the socket's options can't be set.
    pub fn from_accepted(stream: TcpStream) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        Ok(Self {
            stream: Arc::new(stream),
            buf: Vec::new(),
            start: 0,
            asked: false,
        })
    }

    /// Connects to `to` from the address `from`, or from any where that is `None`.
    ///
    /// # Errors
    ///
    /// Returns an error where no connection was made before `until`.
    pub fn connect(
        to: SocketAddr,
        from: Option<std::net::IpAddr>,
        until: Instant,
    ) -> io::Result<Self> {
        let limit = until.saturating_duration_since(Instant::now());
        if limit.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
        if let Some(ip) = from {
            socket.bind(&SockAddr::from(SocketAddr::new(ip, 0)))?;
        }
        socket.connect_timeout(&SockAddr::from(to), limit)?;
        Self::new(socket.into())
    }

    /// Returns the socket.
    pub fn stream(&self) -> &Arc<TcpStream> {
        &self.stream
    }

    /// Returns what was read and not used yet.
    pub fn buffered(&self) -> &[u8] {
        &self.buf[self.start..]
    }

    /// Drops the first `count` buffered bytes.
    pub fn consume(&mut self, count: usize) {
        self.start += count;
        if self.start >= self.buf.len() {
            self.buf.clear();
            self.start = 0;
        }
    }

    /// Returns whether an idle connection can be used again: it is open, and nothing came on it.
    pub fn is_reusable(&self) -> bool {
        let mut byte = [0u8; 1];
        let peeked = recv(
            &*self.stream,
            &mut byte,
            RecvFlags::PEEK | RecvFlags::DONTWAIT,
        );
        self.buffered().is_empty() && matches!(peeked, Err(rustix::io::Errno::AGAIN))
    }

    /// Reads more; returns how many bytes came.
    ///
    /// # Errors
    ///
    /// Returns an error where the connection ended or failed, where nothing came before `until`,
    /// or where `recipient` left.
    pub fn fill(
        &mut self,
        until: Instant,
        recipient: &Recipient,
    ) -> Result<usize, ConnectionError> {
        if std::mem::take(&mut self.asked) {
            self.wait(PollFlags::IN, until, recipient)?;
        }
        loop {
            match self.read_some() {
                Ok(0) => return Err(ConnectionError::Closed),
                Ok(count) => return Ok(count),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.wait(PollFlags::IN, until, recipient)?;
                }
                Err(e) => return Err(e.into()),
            }
        }
    }

    /// Writes all of `bytes`; stops early where the peer has sent something meanwhile and
    /// `or_readable` is set. Returns how many bytes were written.
    ///
    /// # Errors
    ///
    /// Returns an error where the connection failed, where `until` passed, or where `recipient` left.
    pub fn write(
        &mut self,
        bytes: &[u8],
        or_readable: bool,
        until: Instant,
        recipient: &Recipient,
    ) -> Result<usize, ConnectionError> {
        let mut written = 0;
        self.asked = true;
        while written < bytes.len() {
            match (&*self.stream).write(&bytes[written..]) {
                Ok(0) => return Err(ConnectionError::Closed),
                Ok(count) => written += count,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    let events = match or_readable {
                        true => PollFlags::OUT | PollFlags::IN,
                        false => PollFlags::OUT,
                    };
                    let ready = self.wait(events, until, recipient)?;
                    if or_readable && ready.contains(PollFlags::IN) {
                        return Ok(written);
                    }
                }
                Err(e) => return Err(e.into()),
            }
        }
        Ok(written)
    }

    fn read_some(&mut self) -> io::Result<usize> {
        if self.start > 0 {
            self.buf.drain(..self.start);
            self.start = 0;
        }
        let length = self.buf.len();
        self.buf.resize(length + READ_BYTES, 0);
        let read = (&*self.stream).read(&mut self.buf[length..]);
        self.buf.truncate(length + read.as_ref().map_or(0, |&n| n));
        read
    }

    /// Waits for `events` on the connection.
    fn wait(
        &self,
        events: PollFlags,
        until: Instant,
        recipient: &Recipient,
    ) -> Result<PollFlags, ConnectionError> {
        let mut watched = recipient.stream.as_ref();
        let mut broken = false;
        loop {
            let mut left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(ConnectionError::TimedOut);
            }
            if broken {
                left = left.min(RETURN_STEP);
            }
            let leaving = PollFlags::IN | PollFlags::RDHUP;
            let other = watched.map(|s| (s.as_fd(), leaving));
            let (own, left_by) = poll_both((self.stream.as_fd(), events), other, left)?;
            if left_by && let Some(stream) = watched {
                broken = is_closed(stream);
                // Where it sent something ahead of its turn, its close can't be told any more.
                watched = None;
            }
            if !own.is_empty() {
                return Ok(own);
            }
            if broken && recipient.is_abandoned() {
                return Err(ConnectionError::RecipientDisconnected);
            }
        }
    }
}

/// Waits for events on one or two descriptors; returns those of the first, and whether the second
/// has some.
fn poll_both(
    own: (BorrowedFd<'_>, PollFlags),
    other: Option<(BorrowedFd<'_>, PollFlags)>,
    limit: Duration,
) -> io::Result<(PollFlags, bool)> {
    let timeout = Timespec {
        tv_sec: i64::try_from(limit.as_secs()).unwrap_or(i64::MAX),
        tv_nsec: limit.subsec_nanos().into(),
    };
    let mut fds = Vec::with_capacity(2);
    fds.push(PollFd::from_borrowed_fd(own.0, own.1));
    if let Some((fd, events)) = other {
        fds.push(PollFd::from_borrowed_fd(fd, events));
    }
    match poll(&mut fds, Some(&timeout)) {
        Ok(_) => {}
        Err(rustix::io::Errno::INTR) => return Ok((PollFlags::empty(), false)),
        Err(e) => return Err(e.into()),
    }
    let other = fds.get(1).is_some_and(|f| !f.revents().is_empty());
    Ok((fds[0].revents(), other))
}

/// Lets the kernel notice a link that went silent, and send at once.
///
/// # Errors
///
/// Returns an error where the socket's options can't be set.
pub fn set_socket_options(socket: impl AsFd) -> io::Result<()> {
    let socket = socket.as_fd();
    sockopt::set_tcp_nodelay(socket, true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_TIME)
        .with_retries(KEEPALIVE_RETRIES);
    socket2::SockRef::from(&socket).set_tcp_keepalive(&keepalive)?;
    sockopt::set_tcp_user_timeout(socket, USER_TIMEOUT_MS)?;
    Ok(())
}
