//! A TCP connection with a read buffer, whose waits have a deadline and can be cancelled.
//!
//! The socket is non-blocking. Each wait is a `poll` over the connection itself and, if a
//! [`Recipient`] waits for the result, over the recipient's connection too, so that a disconnect of
//! the recipient ends the wait at once.

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

/// The most bytes of one read.
const READ_BYTES: usize = 16 * 1024;
/// How long a connection may be idle before the kernel sends a keepalive probe, and the interval
/// between probes.
const KEEPALIVE_TIME: Duration = Duration::from_secs(1);
/// How many keepalive probes may stay unanswered before the kernel closes the connection.
const KEEPALIVE_RETRIES: u32 = 2;
/// How long sent bytes may stay unacknowledged before the kernel closes the connection, in
/// milliseconds.
const USER_TIMEOUT_MS: u32 = 2500;

/// A wait or transfer on a connection that failed.
#[derive(Debug, Error)]
pub enum ConnectionError {
    /// A socket operation failed.
    #[error("connection: {0}")]
    Io(#[from] io::Error),
    /// The deadline passed.
    #[error("no answer in time")]
    TimedOut,
    /// The recipient of the result disconnected.
    #[error("the caller left")]
    RecipientDisconnected,
    /// The peer closed the connection.
    #[error("the connection was closed")]
    Closed,
    /// The received bytes are not a valid message of the protocol; names the invalid part.
    #[error("malformed message: {0}")]
    Malformed(&'static str),
    /// The named part, `head` or `body`, is larger than allowed.
    #[error("the {0} is too large")]
    TooLarge(&'static str),
}

/// How long a recipient whose connection closed may take to reconnect.
const RECONNECT_TIME: Duration = Duration::from_millis(120);
/// The interval at which a wait checks whether a recipient whose connection closed has reconnected.
const RECONNECT_POLL_INTERVAL: Duration = Duration::from_millis(40);

/// The caller or daemon that waits for a result; when it disconnects, the wait is cancelled.
#[derive(Clone)]
pub struct Recipient {
    stream: Option<Arc<TcpStream>>,
    reconnects: Option<Arc<Reconnects>>,
}

/// Counts the further connections on which the recipient waits for the same result.
#[derive(Debug, Default)]
pub struct Reconnects {
    count: AtomicUsize,
    closed_at: Mutex<Option<Instant>>,
}

impl Reconnects {
    /// Records that the recipient waits for the result on one more connection.
    pub fn record(&self) {
        self.count.fetch_add(1, Ordering::SeqCst);
    }

    /// Returns whether the recipient has not reconnected within [`RECONNECT_TIME`].
    ///
    /// The time counts from the first call of this function, which is made once the recipient's
    /// first connection is found closed.
    fn are_overdue(&self) -> bool {
        if self.count.load(Ordering::SeqCst) > 0 {
            return false;
        }
        let mut closed_at = self
            .closed_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        closed_at.get_or_insert_with(Instant::now).elapsed() >= RECONNECT_TIME
    }
}

impl Recipient {
    /// Returns a recipient that never disconnects.
    pub fn none() -> Self {
        Self {
            stream: None,
            reconnects: None,
        }
    }

    /// Creates a recipient that is connected by `stream`.
    pub fn new(stream: &Arc<TcpStream>) -> Self {
        Self {
            stream: Some(Arc::clone(stream)),
            reconnects: None,
        }
    }

    /// Returns the same recipient; `reconnects` counts its further connections.
    pub fn with_reconnects(&self, reconnects: &Arc<Reconnects>) -> Self {
        Self {
            stream: self.stream.clone(),
            reconnects: Some(Arc::clone(reconnects)),
        }
    }

    /// Returns whether the recipient has disconnected and did not reconnect in time.
    pub fn has_disconnected(&self) -> bool {
        self.stream.as_ref().is_some_and(|s| is_closed(s)) && self.is_gone()
    }

    /// Returns whether the recipient, whose connection is closed, did not reconnect in time.
    fn is_gone(&self) -> bool {
        self.reconnects.as_ref().is_none_or(|r| r.are_overdue())
    }
}

/// Returns whether the peer of `stream` has closed it, or the connection failed.
fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0u8; 1];
    match recv(stream, &mut byte, RecvFlags::PEEK | RecvFlags::DONTWAIT) {
        Ok((_, read)) => read == 0,
        Err(rustix::io::Errno::AGAIN | rustix::io::Errno::INTR) => false,
        Err(_) => true,
    }
}

/// A non-blocking connection with a buffer of bytes that were read and not consumed yet.
pub struct BufferedConnection {
    stream: Arc<TcpStream>,
    buf: Vec<u8>,
    /// The index in `buf` of the first byte that was not consumed.
    start: usize,
    /// Whether something was written since the last read; the next read then polls first, as the
    /// response has most likely not arrived yet.
    awaiting_response: bool,
}

impl BufferedConnection {
    /// Wraps a connection and sets its socket options.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket's options can't be set.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        set_socket_options(&stream)?;
        Self::from_accepted(stream)
    }

    /// Wraps an accepted connection, which inherits its socket options from its listener.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket can't be made non-blocking.
    pub fn from_accepted(stream: TcpStream) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        Ok(Self {
            stream: Arc::new(stream),
            buf: Vec::new(),
            start: 0,
            awaiting_response: false,
        })
    }

    /// Connects to `to` from the address `from`, or from an address of the kernel's choice if it
    /// is `None`.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection is established before `deadline`.
    pub fn connect(
        to: SocketAddr,
        from: Option<std::net::IpAddr>,
        deadline: Instant,
    ) -> io::Result<Self> {
        let timeout = deadline.saturating_duration_since(Instant::now());
        if timeout.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
        if let Some(ip) = from {
            socket.bind(&SockAddr::from(SocketAddr::new(ip, 0)))?;
        }
        socket.connect_timeout(&SockAddr::from(to), timeout)?;
        Self::new(socket.into())
    }

    /// Returns the underlying socket.
    pub fn stream(&self) -> &Arc<TcpStream> {
        &self.stream
    }

    /// Returns the bytes that were read and not consumed yet.
    pub fn buffered(&self) -> &[u8] {
        &self.buf[self.start..]
    }

    /// Removes the first `count` bytes from the buffer.
    pub fn consume(&mut self, count: usize) {
        self.start += count;
        if self.start >= self.buf.len() {
            self.buf.clear();
            self.start = 0;
        }
    }

    /// Returns whether an idle connection can be reused: it is open, and the peer has sent nothing
    /// on it.
    pub fn is_reusable(&self) -> bool {
        let mut byte = [0u8; 1];
        let peeked = recv(
            &*self.stream,
            &mut byte,
            RecvFlags::PEEK | RecvFlags::DONTWAIT,
        );
        self.buffered().is_empty() && matches!(peeked, Err(rustix::io::Errno::AGAIN))
    }

    /// Reads more bytes into the buffer; returns how many.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is closed or fails, if nothing arrives before
    /// `deadline`, or if `recipient` disconnects.
    pub fn fill(
        &mut self,
        deadline: Instant,
        recipient: &Recipient,
    ) -> Result<usize, ConnectionError> {
        if std::mem::take(&mut self.awaiting_response) {
            self.wait(PollFlags::IN, deadline, recipient)?;
        }
        loop {
            match self.read_available() {
                Ok(0) => return Err(ConnectionError::Closed),
                Ok(count) => return Ok(count),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.wait(PollFlags::IN, deadline, recipient)?;
                }
                Err(e) => return Err(e.into()),
            }
        }
    }

    /// Writes all of `bytes`; if `stop_if_readable` is set, stops early once the peer has sent
    /// something. Returns how many bytes were written.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails, if `deadline` passes, or if `recipient`
    /// disconnects.
    pub fn write(
        &mut self,
        bytes: &[u8],
        stop_if_readable: bool,
        deadline: Instant,
        recipient: &Recipient,
    ) -> Result<usize, ConnectionError> {
        let mut written = 0;
        self.awaiting_response = true;
        while written < bytes.len() {
            match (&*self.stream).write(&bytes[written..]) {
                Ok(0) => return Err(ConnectionError::Closed),
                Ok(count) => written += count,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    let events = match stop_if_readable {
                        true => PollFlags::OUT | PollFlags::IN,
                        false => PollFlags::OUT,
                    };
                    let ready = self.wait(events, deadline, recipient)?;
                    if stop_if_readable && ready.contains(PollFlags::IN) {
                        return Ok(written);
                    }
                }
                Err(e) => return Err(e.into()),
            }
        }
        Ok(written)
    }

    /// Drops the consumed bytes from the buffer and appends the bytes of one read.
    fn read_available(&mut self) -> io::Result<usize> {
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

    /// Waits for `events` on the connection; returns those that occurred.
    fn wait(
        &self,
        events: PollFlags,
        deadline: Instant,
        recipient: &Recipient,
    ) -> Result<PollFlags, ConnectionError> {
        let mut watched = recipient.stream.as_ref();
        let mut disconnected = false;
        loop {
            let mut remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Err(ConnectionError::TimedOut);
            }
            if disconnected {
                remaining = remaining.min(RECONNECT_POLL_INTERVAL);
            }
            let disconnect = PollFlags::IN | PollFlags::RDHUP;
            let other = watched.map(|s| (s.as_fd(), disconnect));
            let (own, recipient_ready) =
                poll_pair((self.stream.as_fd(), events), other, remaining)?;
            if recipient_ready && let Some(stream) = watched {
                disconnected = is_closed(stream);
                // A recipient that has sent data early stays readable, so its disconnect can't be
                // detected any more.
                watched = None;
            }
            if !own.is_empty() {
                return Ok(own);
            }
            if disconnected && recipient.is_gone() {
                return Err(ConnectionError::RecipientDisconnected);
            }
        }
    }
}

/// Polls one or two descriptors; returns the events of the first, and whether the second has any.
fn poll_pair(
    own: (BorrowedFd<'_>, PollFlags),
    other: Option<(BorrowedFd<'_>, PollFlags)>,
    timeout: Duration,
) -> io::Result<(PollFlags, bool)> {
    let timeout = Timespec {
        tv_sec: i64::try_from(timeout.as_secs()).unwrap_or(i64::MAX),
        tv_nsec: timeout.subsec_nanos().into(),
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

/// Sets the options by which the kernel detects a dead peer (keepalive, user timeout) and sends
/// small writes without delay.
///
/// # Errors
///
/// Returns an error if the socket's options can't be set.
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
