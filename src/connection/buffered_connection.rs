//! A TCP connection with a read buffer, whose waits have a deadline and can be cancelled.
//!
//! The socket is non-blocking. If a [`Recipient`] waits for the result, its disconnect shuts the
//! connection down, so that the wait ends at once.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::os::fd::AsFd;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::net::{RecvFlags, recv, sockopt};
use socket2::{Domain, Protocol, SockAddr, Socket, TcpKeepalive, Type};
use thiserror::Error;

use crate::connection::recipient::Recipient;

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
    /// The status of a response is not from 100 to 599.
    #[error("invalid response: the status")]
    InvalidStatus,
    /// The headers that frame the body of a response are invalid; names the invalid part.
    #[error("invalid response: {0}")]
    InvalidFraming(&'static str),
    /// The named part, `head` or `body`, is larger than allowed.
    #[error("the {0} is too large")]
    TooLarge(&'static str),
    /// Other bodies take the memory that the body needs.
    #[error("no memory is left for the body")]
    OutOfMemory,
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

    /// Closes the connection with a reset: what was written and not delivered yet is discarded, where
    /// an orderly close would still deliver it.
    pub fn reset(self) {
        // Fails only on a socket that is closed already.
        let _ = socket2::SockRef::from(&*self.stream).set_linger(Some(Duration::ZERO));
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
            // An idle connection holds no buffer.
            self.buf = Vec::new();
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

    /// Checks that the peer has not reset the connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection has failed.
    pub fn check_reset(&self) -> Result<(), ConnectionError> {
        match self.stream.take_error()? {
            Some(e) => Err(e.into()),
            None => Ok(()),
        }
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
        // A peer that sends without end never makes the connection wait.
        if Instant::now() >= deadline {
            return Err(ConnectionError::TimedOut);
        }
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

    /// Reads what has arrived, up to one buffer, without waiting; returns whether the connection is
    /// still open.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub fn read_once(&mut self) -> io::Result<bool> {
        self.awaiting_response = false;
        match self.read_available() {
            Ok(count) => Ok(count > 0),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {
                Ok(true)
            }
            Err(e) => Err(e),
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
    ///
    /// If `recipient` disconnects, the connection is shut down: its response is not wanted, and the
    /// server learns that at once.
    fn wait(
        &self,
        events: PollFlags,
        deadline: Instant,
        recipient: &Recipient,
    ) -> Result<PollFlags, ConnectionError> {
        let stream = Arc::clone(&self.stream);
        let watch = recipient.on_disconnect(move || {
            // Fails if the peer has closed the connection meanwhile.
            let _ = stream.shutdown(Shutdown::Both);
        });
        let occurred = poll_until(&self.stream, events, deadline);
        drop(watch);
        match recipient.has_disconnected() {
            true => Err(ConnectionError::RecipientDisconnected),
            false => occurred,
        }
    }
}

/// Polls a socket for `events` until `deadline`; returns those that occurred.
pub(super) fn poll_until(
    stream: &TcpStream,
    events: PollFlags,
    deadline: Instant,
) -> Result<PollFlags, ConnectionError> {
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(ConnectionError::TimedOut);
        }
        let timeout = Timespec::try_from(remaining).ok();
        let mut fds = [PollFd::new(stream, events)];
        match poll(&mut fds, timeout.as_ref()) {
            Ok(0) | Err(rustix::io::Errno::INTR) => {}
            Ok(_) => return Ok(fds[0].revents()),
            Err(e) => return Err(io::Error::from(e).into()),
        }
    }
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
