//! A listening socket whose connections a reactor accepts.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsFd, BorrowedFd};
use std::sync::{Arc, OnceLock, Weak};
use std::time::Instant;

use crate::connection::reactor::{Reactor, Readiness, Source, SourceNumber};

/// Handles the connections of an [`Acceptor`]. The functions must not block.
pub trait ConnectionHandler: Send + Sync {
    /// Handles a connection that was accepted.
    fn handle_connection(&self, stream: TcpStream);

    /// Acts on timeouts that have passed at `now`.
    fn sweep(&self, _now: Instant) {}
}

/// A listening socket; [`Acceptor::stop`] closes it.
pub struct Acceptor {
    listener: Arc<Listener>,
    address: SocketAddr,
    reactor: Weak<Reactor>,
    number: SourceNumber,
}

struct Listener {
    socket: TcpListener,
    handler: Arc<dyn ConnectionHandler>,
}

impl Acceptor {
    /// Starts accepting connections on `socket`.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket has no address or the reactor can't watch it.
    pub fn start(
        reactor: &Arc<Reactor>,
        socket: TcpListener,
        handler: Arc<dyn ConnectionHandler>,
    ) -> io::Result<Self> {
        let address = socket.local_addr()?;
        socket.set_nonblocking(true)?;
        let listener = Arc::new(Listener { socket, handler });
        let number = OnceLock::new();
        let source = Arc::clone(&listener) as Arc<dyn Source>;
        reactor.add(source, Readiness::READ, |n| {
            // The listener is added once.
            let _ = number.set(n);
        })?;
        Ok(Self {
            listener,
            address,
            reactor: Arc::downgrade(reactor),
            number: number.into_inner().ok_or(io::ErrorKind::NotFound)?,
        })
    }

    /// Returns the address that is listened on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts the connections that are established already, and closes the socket.
    pub fn stop(self) {
        self.listener.accept_all();
        if let Some(reactor) = self.reactor.upgrade() {
            reactor.remove(self.number);
        }
    }
}

impl Listener {
    fn accept_all(&self) {
        loop {
            match self.socket.accept() {
                Ok((stream, _)) => self.handler.handle_connection(stream),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) => {
                    tracing::warn!(event = "accept-failed", error = %e);
                    return;
                }
            }
        }
    }
}

impl Source for Listener {
    fn fd(&self) -> BorrowedFd<'_> {
        self.socket.as_fd()
    }

    fn handle(&self, _ready: Readiness) {
        self.accept_all();
    }

    fn sweep(&self, now: Instant) {
        self.handler.sweep(now);
    }
}
