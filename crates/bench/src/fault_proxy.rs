//! A TCP and UDP proxy between daemons that injects the faults of a [`Network`]: delays, blocked
//! links, lost datagrams, stalled connections and connections that break in the middle of a message.
//!
//! Each daemon advertises an address of the proxy. Daemons send from addresses of their own, so the
//! proxy knows the source and the destination of each link.

use std::io::{self, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use socket2::SockRef;

use crate::network::Network;

/// How often a thread that waits checks whether the proxy has stopped.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The largest chunk that is read and forwarded at once, in bytes.
const CHUNK_BYTES: usize = 64 * 1024;

/// A datagram and when it is forwarded.
struct DelayedDatagram {
    due: Instant,
    bytes: Vec<u8>,
}

/// A running proxy for one target. Dropping it waits until its connections have been closed at one
/// end, and releases its address.
pub struct FaultProxy {
    forwarder: Arc<Forwarder>,
    threads: Vec<JoinHandle<()>>,
}

impl FaultProxy {
    /// Forwards connections and datagrams that arrive at `listen_address` to `target`.
    ///
    /// # Errors
    ///
    /// Returns an error if `listen_address` can't be listened on.
    pub fn start(
        network: &Arc<Network>,
        listen_address: SocketAddr,
        target: SocketAddr,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(listen_address)?;
        let socket = UdpSocket::bind(listen_address)?;
        socket.set_read_timeout(Some(POLL_INTERVAL))?;
        let forwarder = Arc::new(Forwarder {
            network: Arc::clone(network),
            target,
            listener,
            socket,
            stopped: AtomicBool::new(false),
        });
        let (tx, rx) = mpsc::channel();
        let (acceptor, receiver) = (Arc::clone(&forwarder), Arc::clone(&forwarder));
        let sender = Arc::clone(&forwarder);
        let threads = vec![
            thread::spawn(move || acceptor.accept()),
            thread::spawn(move || receiver.receive_datagrams(&tx)),
            thread::spawn(move || sender.send_datagrams(&rx)),
        ];
        Ok(Self { forwarder, threads })
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.forwarder.stop();
        for thread in self.threads.drain(..) {
            // A thread that panicked has already reported it.
            let _ = thread.join();
        }
    }
}

/// The sockets of a proxy, which its threads share.
struct Forwarder {
    network: Arc<Network>,
    target: SocketAddr,
    listener: TcpListener,
    socket: UdpSocket,
    stopped: AtomicBool,
}

impl Forwarder {
    /// Signals all threads to end.
    fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        // This ends a call of `accept`. It fails if the socket no longer listens.
        let _ = SockRef::from(&self.listener).shutdown(Shutdown::Both);
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst) || self.network.is_closed()
    }

    /// Accepts connections until the proxy stops, and waits until all of them have ended.
    fn accept(&self) {
        thread::scope(|scope| {
            while !self.is_stopped() {
                let Ok((client, from)) = self.listener.accept() else {
                    continue;
                };
                let connection = self.network.next_connection();
                scope.spawn(move || {
                    let _ = self.forward_connection(client, from.ip(), connection);
                });
            }
        });
    }

    fn receive_datagrams(&self, tx: &Sender<DelayedDatagram>) {
        let target = self.target.ip();
        let mut buf = vec![0; CHUNK_BYTES];
        while !self.is_stopped() {
            let Ok((length, from)) = self.socket.recv_from(&mut buf) else {
                continue;
            };
            if self.network.is_blocked(from.ip(), target) || self.network.drops_datagram() {
                continue;
            }
            let due = Instant::now() + self.network.delay(from.ip(), target);
            let bytes = buf[..length].to_vec();
            if tx.send(DelayedDatagram { due, bytes }).is_err() {
                return;
            }
        }
    }

    fn send_datagrams(&self, rx: &Receiver<DelayedDatagram>) {
        while let Ok(datagram) = rx.recv() {
            thread::sleep(datagram.due.saturating_duration_since(Instant::now()));
            let _ = self.socket.send_to(&datagram.bytes, self.target);
        }
    }

    fn forward_connection(
        &self,
        client: TcpStream,
        from: IpAddr,
        connection: u64,
    ) -> io::Result<()> {
        let target = self.target.ip();
        // A TCP handshake takes a round trip.
        thread::sleep(self.network.delay(from, target) * 2);
        while self.network.is_blocked(from, target) || self.network.is_blocked(target, from) {
            thread::sleep(POLL_INTERVAL);
            if self.is_stopped() {
                return Ok(());
            }
        }
        let server = TcpStream::connect(self.target)?;
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        let (client_reader, server_writer) = (client.try_clone()?, server.try_clone()?);
        thread::scope(|scope| {
            scope.spawn(|| self.forward(server, client, (target, from), connection));
            self.forward(client_reader, server_writer, (from, target), connection);
        });
        Ok(())
    }

    /// Forwards one direction of a connection until either end closes it.
    fn forward(
        &self,
        mut from: TcpStream,
        mut to: TcpStream,
        link: (IpAddr, IpAddr),
        connection: u64,
    ) {
        let mut buf = vec![0; CHUNK_BYTES];
        while let Ok(length @ 1..) = from.read(&mut buf) {
            while self.network.is_stalled(connection) || self.network.is_blocked(link.0, link.1) {
                thread::sleep(POLL_INTERVAL);
                if self.is_stopped() {
                    return;
                }
            }
            thread::sleep(self.network.delay(link.0, link.1));
            let truncated = self.network.truncates_chunk();
            let length = if truncated { length / 2 } else { length };
            if to.write_all(&buf[..length]).is_err() || truncated {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
    }
}
