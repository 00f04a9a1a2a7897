//! Serves the requests of other daemons, with one thread for each connection.

use std::collections::HashMap;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::connection::buffered_connection::{BufferedConnection, Recipient};
use crate::connection::frame;
use crate::connection::peer_message::{PeerReply, PeerRequest};

/// The most connections at a time; further ones are closed immediately.
const CONNECTIONS_MAX: usize = 4096;
/// How long to wait after an `accept` that failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// The timeout for writing a reply.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a connection may be idle; the connecting daemons stop reusing theirs sooner.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// The stack size of a connection's thread, in bytes.
const STACK_BYTES: usize = 512 * 1024;

/// Handles the requests of other daemons.
pub trait PeerHandler: Send + Sync {
    /// Returns the reply to a request; `recipient` is the daemon that sent it.
    fn handle(&self, request: PeerRequest, recipient: &Recipient) -> PeerReply;

    /// Counts a frame that could not be decoded.
    fn count_malformed_frame(&self);
}

struct Shared {
    handler: Arc<dyn PeerHandler>,
    stopping: AtomicBool,
    /// The open connections, by connection number.
    connections: Mutex<HashMap<u64, Arc<TcpStream>>>,
    threads: Mutex<Vec<JoinHandle<()>>>,
}

/// The listener and its connections; [`PeerServer::stop`] joins all threads.
pub struct PeerServer {
    shared: Arc<Shared>,
    address: SocketAddr,
    acceptor: Option<JoinHandle<()>>,
}

impl PeerServer {
    /// Starts accepting connections on `listener`.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener has no address or no thread can be started.
    pub fn start(listener: TcpListener, handler: Arc<dyn PeerHandler>) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            handler,
            stopping: AtomicBool::new(false),
            connections: Mutex::default(),
            threads: Mutex::default(),
        });
        let thread_shared = Arc::clone(&shared);
        let acceptor = thread::Builder::new()
            .name("peer-accept".to_owned())
            .spawn(move || accept(&listener, &thread_shared))?;
        Ok(Self {
            shared,
            address,
            acceptor: Some(acceptor),
        })
    }

    /// Closes all connections and joins all threads.
    pub fn stop(&mut self) {
        self.shared.stopping.store(true, Ordering::SeqCst);
        // A connection to the server's own address wakes the acceptor thread.
        let _ = TcpStream::connect_timeout(&self.address, ACCEPT_PAUSE);
        if let Some(acceptor) = self.acceptor.take() {
            let _ = acceptor.join();
        }
        for stream in lock(&self.shared.connections).values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let threads: Vec<_> = lock(&self.shared.threads).drain(..).collect();
        for thread in threads {
            let _ = thread.join();
        }
    }
}

impl Drop for PeerServer {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Accepts connections until the server stops; joins the threads of closed connections meanwhile.
fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    let mut number = 0;
    while !shared.stopping.load(Ordering::SeqCst) {
        let Ok((stream, _)) = listener.accept() else {
            thread::sleep(ACCEPT_PAUSE);
            continue;
        };
        number += 1;
        if let Err(e) = start_connection(stream, number, shared) {
            tracing::warn!(error = %e, "could not serve a connection from another daemon");
        }
        let mut threads = lock(&shared.threads);
        for done in threads.extract_if(.., |t| t.is_finished()) {
            let _ = done.join();
        }
    }
}

/// Starts a thread for a connection, unless the server stops or has too many.
fn start_connection(stream: TcpStream, number: u64, shared: &Arc<Shared>) -> io::Result<()> {
    let mut connections = lock(&shared.connections);
    if connections.len() >= CONNECTIONS_MAX || shared.stopping.load(Ordering::SeqCst) {
        return Ok(());
    }
    let conn = BufferedConnection::from_accepted(stream)?;
    connections.insert(number, Arc::clone(conn.stream()));
    drop(connections);
    let thread_shared = Arc::clone(shared);
    let spawned = thread::Builder::new()
        .name("peer".to_owned())
        .stack_size(STACK_BYTES)
        .spawn(move || {
            serve(conn, &thread_shared);
            lock(&thread_shared.connections).remove(&number);
        });
    match spawned {
        Ok(thread) => lock(&shared.threads).push(thread),
        Err(e) => {
            lock(&shared.connections).remove(&number);
            return Err(e);
        }
    }
    Ok(())
}

/// Serves the requests of one connection in turn, until it closes.
fn serve(mut conn: BufferedConnection, shared: &Shared) {
    let recipient = Recipient::new(conn.stream());
    while let Some(request) = read_request(&mut conn, shared) {
        if request.is_acknowledged() && !write_reply(&mut conn, &PeerReply::Acknowledged) {
            return;
        }
        let reply = shared.handler.handle(request, &recipient);
        if !write_reply(&mut conn, &reply) {
            return;
        }
    }
}

/// Reads the next request; returns `None` if the connection closes or sends a malformed frame.
fn read_request(conn: &mut BufferedConnection, shared: &Shared) -> Option<PeerRequest> {
    let deadline = Instant::now() + IDLE_TIMEOUT;
    loop {
        match frame::decode::<PeerRequest>(conn.buffered()) {
            Ok(Some((request, used))) => {
                conn.consume(used);
                return Some(request);
            }
            Ok(None) => {
                conn.fill(deadline, &Recipient::none()).ok()?;
            }
            Err(e) => {
                tracing::warn!(event = "malformed-frame", error = %e);
                shared.handler.count_malformed_frame();
                return None;
            }
        }
    }
}

/// Writes a reply; returns whether the connection can still be used.
fn write_reply(conn: &mut BufferedConnection, reply: &PeerReply) -> bool {
    let bytes = match frame::encode(reply) {
        Ok(bytes) => bytes,
        Err(e) => {
            tracing::error!(event = "reply-not-encoded", error = %e);
            return false;
        }
    };
    let deadline = Instant::now() + WRITE_TIMEOUT;
    conn.write(&bytes, false, deadline, &Recipient::none())
        .is_ok()
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
