//! A proxy between daemons that delays, cuts, drops and silences.
//!
//! Each daemon is reached through an address of the proxy. Daemons send from addresses of their
//! own, so the proxy knows both ends of each link.

use std::collections::{HashMap, HashSet};
use std::io::{self, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use foxtaildrift::process::sync;

/// How often a silent connection looks whether it may end.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The largest piece that is passed on at once, in bytes.
const CHUNK_BYTES: usize = 64 * 1024;

/// What the network between the daemons does at present.
#[derive(Default)]
pub struct Network {
    delays: Mutex<HashMap<(IpAddr, IpAddr), Duration>>,
    cuts: Mutex<HashSet<(IpAddr, IpAddr)>>,
    drop_one_in: AtomicU64,
    truncate_one_in: AtomicU64,
    silenced_before: AtomicU64,
    connections: AtomicU64,
    datagrams: AtomicU64,
    closed: AtomicBool,
}

impl Network {
    /// Delays what goes from `from` to `to`.
    pub fn set_delay(&self, from: IpAddr, to: IpAddr, delay: Duration) {
        sync::lock(&self.delays).insert((from, to), delay);
    }

    /// Stops what goes from `from` to `to`, without an error at either end.
    pub fn cut(&self, from: IpAddr, to: IpAddr) {
        sync::lock(&self.cuts).insert((from, to));
    }

    /// Stops all that goes to or from `host`.
    pub fn isolate(&self, host: IpAddr, others: &[IpAddr]) {
        for &other in others.iter().filter(|&&o| o != host) {
            self.cut(host, other);
            self.cut(other, host);
        }
    }

    /// Ends all cuts.
    pub fn heal(&self) {
        sync::lock(&self.cuts).clear();
    }

    /// Drops one in `one_in` datagrams; zero drops none.
    pub fn drop_datagrams(&self, one_in: u64) {
        self.drop_one_in.store(one_in, Ordering::SeqCst);
    }

    /// Lets all connections that are open now go silent for good; new ones work.
    pub fn silence_open_connections(&self) {
        self.silenced_before
            .store(self.connections.load(Ordering::SeqCst), Ordering::SeqCst);
    }

    /// Ends one in `one_in` connections in the middle of a piece; zero ends none.
    pub fn truncate_chunks(&self, one_in: u64) {
        self.truncate_one_in.store(one_in, Ordering::SeqCst);
    }

    /// Lets all threads of the proxy end.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    fn delay(&self, from: IpAddr, to: IpAddr) -> Duration {
        sync::lock(&self.delays)
            .get(&(from, to))
            .copied()
            .unwrap_or_default()
    }

    fn is_cut(&self, from: IpAddr, to: IpAddr) -> bool {
        sync::lock(&self.cuts).contains(&(from, to))
    }

    fn is_silent(&self, connection: u64) -> bool {
        connection < self.silenced_before.load(Ordering::SeqCst)
    }

    fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    fn drops_datagram(&self) -> bool {
        let number = self.datagrams.fetch_add(1, Ordering::SeqCst);
        let one_in = self.drop_one_in.load(Ordering::SeqCst);
        one_in > 0 && number.is_multiple_of(one_in)
    }

    fn truncates_chunk(&self) -> bool {
        let one_in = self.truncate_one_in.load(Ordering::SeqCst);
        one_in > 0 && rand::random::<u64>().is_multiple_of(one_in)
    }
}

/// Passes on to `back` what arrives at `front`, over TCP and UDP.
///
/// # Errors
///
/// Returns an error where `front` can't be listened on.
pub fn start(network: &Arc<Network>, front: SocketAddr, back: SocketAddr) -> io::Result<()> {
    let listener = TcpListener::bind(front)?;
    let socket = UdpSocket::bind(front)?;
    let for_tcp = Arc::clone(network);
    thread::spawn(move || accept(&listener, back, &for_tcp));
    let (tx, rx) = mpsc::channel();
    let out = socket.try_clone()?;
    thread::spawn(move || send_datagrams(&out, back, &rx));
    let for_udp = Arc::clone(network);
    thread::spawn(move || {
        let mut buf = vec![0; CHUNK_BYTES];
        while !for_udp.is_closed() {
            let Ok((length, from)) = socket.recv_from(&mut buf) else {
                continue;
            };
            if for_udp.is_cut(from.ip(), back.ip()) || for_udp.drops_datagram() {
                continue;
            }
            let due = Instant::now() + for_udp.delay(from.ip(), back.ip());
            if tx.send((due, buf[..length].to_vec())).is_err() {
                return;
            }
        }
    });
    Ok(())
}

fn send_datagrams(socket: &UdpSocket, back: SocketAddr, rx: &Receiver<(Instant, Vec<u8>)>) {
    while let Ok((due, bytes)) = rx.recv() {
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let _ = socket.send_to(&bytes, back);
    }
}

fn accept(listener: &TcpListener, back: SocketAddr, network: &Arc<Network>) {
    while !network.is_closed() {
        let Ok((near, from)) = listener.accept() else {
            continue;
        };
        let number = network.connections.fetch_add(1, Ordering::SeqCst);
        let network = Arc::clone(network);
        thread::spawn(move || {
            let _ = forward_connection(near, from, back, number, &network);
        });
    }
}

fn forward_connection(
    near: TcpStream,
    from: SocketAddr,
    back: SocketAddr,
    number: u64,
    network: &Arc<Network>,
) -> io::Result<()> {
    thread::sleep(network.delay(from.ip(), back.ip()) * 2);
    while network.is_cut(from.ip(), back.ip()) || network.is_cut(back.ip(), from.ip()) {
        thread::sleep(STALL_POLL_INTERVAL);
        if network.is_closed() {
            return Ok(());
        }
    }
    let far = TcpStream::connect(back)?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let (near_in, far_out) = (near.try_clone()?, far.try_clone()?);
    let for_reply = Arc::clone(network);
    let reply = thread::spawn(move || {
        forward(far, near, (back.ip(), from.ip()), number, &for_reply);
    });
    forward(near_in, far_out, (from.ip(), back.ip()), number, network);
    let _ = reply.join();
    Ok(())
}

/// Passes one direction of a connection on until it ends.
fn forward(
    mut from: TcpStream,
    mut to: TcpStream,
    link: (IpAddr, IpAddr),
    number: u64,
    network: &Network,
) {
    let mut buf = vec![0; CHUNK_BYTES];
    while let Ok(length @ 1..) = from.read(&mut buf) {
        while network.is_silent(number) || network.is_cut(link.0, link.1) {
            thread::sleep(STALL_POLL_INTERVAL);
            if network.is_closed() {
                return;
            }
        }
        thread::sleep(network.delay(link.0, link.1));
        let cut = network.truncates_chunk();
        let length = if cut { length / 2 } else { length };
        if to.write_all(&buf[..length]).is_err() || cut {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
