//! A TCP and UDP proxy between daemons that injects network faults: delays, blocked links, lost
//! datagrams, stalled connections and connections that break in the middle of a message.
//!
//! Each daemon advertises an address of the proxy. Daemons send from addresses of their own, so the
//! proxy knows the source and the destination of each link.

use std::collections::{HashMap, HashSet};
use std::io::{self, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use foxtaildrift::process::sync;

/// How often a stalled connection checks whether it may go on or end.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The largest chunk that is read and forwarded at once, in bytes.
const CHUNK_BYTES: usize = 64 * 1024;

/// The current faults of the network between the daemons.
#[derive(Default)]
pub struct Network {
    delays: Mutex<HashMap<(IpAddr, IpAddr), Duration>>,
    blocked: Mutex<HashSet<(IpAddr, IpAddr)>>,
    drop_datagram_one_in: AtomicU64,
    truncate_chunk_one_in: AtomicU64,
    /// Connections with a lower number are stalled.
    stalled_before: AtomicU64,
    /// The number of connections accepted so far; a connection is identified by the count before
    /// it.
    connections: AtomicU64,
    /// The number of datagrams received so far.
    datagrams: AtomicU64,
    closed: AtomicBool,
}

impl Network {
    /// Sets the one-way delay from `from` to `to`.
    pub fn set_delay(&self, from: IpAddr, to: IpAddr, delay: Duration) {
        sync::lock(&self.delays).insert((from, to), delay);
    }

    /// Blocks the link from `from` to `to` in this direction, without an error at either end.
    pub fn block(&self, from: IpAddr, to: IpAddr) {
        sync::lock(&self.blocked).insert((from, to));
    }

    /// Blocks the links between `host` and `others` in both directions.
    pub fn isolate(&self, host: IpAddr, others: &[IpAddr]) {
        for &other in others.iter().filter(|&&o| o != host) {
            self.block(host, other);
            self.block(other, host);
        }
    }

    /// Unblocks all links.
    pub fn heal(&self) {
        sync::lock(&self.blocked).clear();
    }

    /// Drops one in `one_in` datagrams; with zero none.
    pub fn drop_datagrams(&self, one_in: u64) {
        self.drop_datagram_one_in.store(one_in, Ordering::SeqCst);
    }

    /// Stalls all connections that are open now for good; new ones work.
    pub fn stall_open_connections(&self) {
        self.stalled_before
            .store(self.connections.load(Ordering::SeqCst), Ordering::SeqCst);
    }

    /// Forwards only half of one in `one_in` chunks and closes the connection; with zero none.
    pub fn truncate_chunks(&self, one_in: u64) {
        self.truncate_chunk_one_in.store(one_in, Ordering::SeqCst);
    }

    /// Signals all threads of the proxy to end.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    fn delay(&self, from: IpAddr, to: IpAddr) -> Duration {
        sync::lock(&self.delays)
            .get(&(from, to))
            .copied()
            .unwrap_or_default()
    }

    fn is_blocked(&self, from: IpAddr, to: IpAddr) -> bool {
        sync::lock(&self.blocked).contains(&(from, to))
    }

    fn is_stalled(&self, connection: u64) -> bool {
        connection < self.stalled_before.load(Ordering::SeqCst)
    }

    fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    fn drops_datagram(&self) -> bool {
        let number = self.datagrams.fetch_add(1, Ordering::SeqCst);
        let one_in = self.drop_datagram_one_in.load(Ordering::SeqCst);
        one_in > 0 && number.is_multiple_of(one_in)
    }

    fn truncates_chunk(&self) -> bool {
        let one_in = self.truncate_chunk_one_in.load(Ordering::SeqCst);
        one_in > 0 && rand::random::<u64>().is_multiple_of(one_in)
    }
}

/// Forwards connections and datagrams that arrive at `listen_address` to `target`.
///
/// # Errors
///
/// Returns an error if `listen_address` can't be listened on.
pub fn start(
    network: &Arc<Network>,
    listen_address: SocketAddr,
    target: SocketAddr,
) -> io::Result<()> {
    let listener = TcpListener::bind(listen_address)?;
    let socket = UdpSocket::bind(listen_address)?;
    let tcp_network = Arc::clone(network);
    thread::spawn(move || accept(&listener, target, &tcp_network));
    let (tx, rx) = mpsc::channel();
    let send_socket = socket.try_clone()?;
    thread::spawn(move || send_datagrams(&send_socket, target, &rx));
    let udp_network = Arc::clone(network);
    thread::spawn(move || {
        let mut buf = vec![0; CHUNK_BYTES];
        while !udp_network.is_closed() {
            let Ok((length, from)) = socket.recv_from(&mut buf) else {
                continue;
            };
            if udp_network.is_blocked(from.ip(), target.ip()) || udp_network.drops_datagram() {
                continue;
            }
            let due = Instant::now() + udp_network.delay(from.ip(), target.ip());
            if tx.send((due, buf[..length].to_vec())).is_err() {
                return;
            }
        }
    });
    Ok(())
}

fn send_datagrams(socket: &UdpSocket, target: SocketAddr, rx: &Receiver<(Instant, Vec<u8>)>) {
    while let Ok((due, bytes)) = rx.recv() {
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let _ = socket.send_to(&bytes, target);
    }
}

fn accept(listener: &TcpListener, target: SocketAddr, network: &Arc<Network>) {
    while !network.is_closed() {
        let Ok((client, from)) = listener.accept() else {
            continue;
        };
        let connection = network.connections.fetch_add(1, Ordering::SeqCst);
        let network = Arc::clone(network);
        thread::spawn(move || {
            let _ = forward_connection(client, from, target, connection, &network);
        });
    }
}

fn forward_connection(
    client: TcpStream,
    from: SocketAddr,
    target: SocketAddr,
    connection: u64,
    network: &Arc<Network>,
) -> io::Result<()> {
    // A TCP handshake takes a round trip.
    thread::sleep(network.delay(from.ip(), target.ip()) * 2);
    while network.is_blocked(from.ip(), target.ip()) || network.is_blocked(target.ip(), from.ip()) {
        thread::sleep(STALL_POLL_INTERVAL);
        if network.is_closed() {
            return Ok(());
        }
    }
    let server = TcpStream::connect(target)?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (client_reader, server_writer) = (client.try_clone()?, server.try_clone()?);
    let return_network = Arc::clone(network);
    let return_thread = thread::spawn(move || {
        forward(
            server,
            client,
            (target.ip(), from.ip()),
            connection,
            &return_network,
        );
    });
    forward(
        client_reader,
        server_writer,
        (from.ip(), target.ip()),
        connection,
        network,
    );
    let _ = return_thread.join();
    Ok(())
}

/// Forwards one direction of a connection until either end closes it.
fn forward(
    mut from: TcpStream,
    mut to: TcpStream,
    link: (IpAddr, IpAddr),
    connection: u64,
    network: &Network,
) {
    let mut buf = vec![0; CHUNK_BYTES];
    while let Ok(length @ 1..) = from.read(&mut buf) {
        while network.is_stalled(connection) || network.is_blocked(link.0, link.1) {
            thread::sleep(STALL_POLL_INTERVAL);
            if network.is_closed() {
                return;
            }
        }
        thread::sleep(network.delay(link.0, link.1));
        let truncated = network.truncates_chunk();
        let length = if truncated { length / 2 } else { length };
        if to.write_all(&buf[..length]).is_err() || truncated {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
