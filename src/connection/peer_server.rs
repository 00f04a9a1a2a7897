//! Takes calls of other daemons, with a thread for each connection.

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

/// The most connections at once; more are closed at once.
const CONNECTIONS_MAX: usize = 4096;
/// How long to wait after a connection could not be taken.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// How long a reply may take to be written.
const WRITE_TIME: Duration = Duration::from_secs(5);

/// How long a connection may be idle; other daemons close theirs sooner.
const IDLE_TIME: Duration = Duration::from_secs(10);
/// The stack of a connection's thread, in bytes.
const STACK_BYTES: usize = 512 * 1024;

/// Serves the calls of other daemons.
pub trait PeerHandler: Send + Sync {
    /// Returns the reply to a call; `recipient` tells when the caller leaves.
    fn handle(&self, request: PeerRequest, recipient: &Recipient) -> PeerReply;

    /// Counts a frame that could not be read.
    fn count_malformed_frame(&self);
}

struct Shared {
    handler: Arc<dyn PeerHandler>,
    stopping: AtomicBool,
    open: Mutex<HashMap<u64, Arc<TcpStream>>>,
    threads: Mutex<Vec<JoinHandle<()>>>,
}

/// The listener and its connections; [`PeerServer::stop`] joins all threads.
pub struct PeerServer {
    shared: Arc<Shared>,
    address: SocketAddr,
    acceptor: Option<JoinHandle<()>>,
}

impl PeerServer {
    /// Starts to take connections on `listener`.
    ///
    /// # Errors
    ///
    /// Returns an error where the listener has no address or no thread can be started.
    pub fn start(listener: TcpListener, handler: Arc<dyn PeerHandler>) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            handler,
            stopping: AtomicBool::new(false),
            open: Mutex::default(),
            threads: Mutex::default(),
        });
        let for_thread = Arc::clone(&shared);
        let acceptor = thread::Builder::new()
            .name("peer-accept".to_owned())
            .spawn(move || accept(&listener, &for_thread))?;
        Ok(Self {
            shared,
            address,
            acceptor: Some(acceptor),
        })
    }

    /// Closes all connections and joins all threads.
    pub fn stop(&mut self) {
        self.shared.stopping.store(true, Ordering::SeqCst);
        // A connection to ourselves wakes the acceptor.
        let _ = TcpStream::connect_timeout(&self.address, ACCEPT_PAUSE);
        if let Some(acceptor) = self.acceptor.take() {
            let _ = acceptor.join();
        }
        for stream in lock(&self.shared.open).values() {
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

fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    let mut number = 0;
    while !shared.stopping.load(Ordering::SeqCst) {
        let Ok((stream, _)) = listener.accept() else {
            thread::sleep(ACCEPT_PAUSE);
            continue;
        };
        number += 1;
        if let Err(e) = admit(stream, number, shared) {
            tracing::warn!(error = %e, "connection of another daemon refused");
        }
        let mut threads = lock(&shared.threads);
        for done in threads.extract_if(.., |t| t.is_finished()) {
            let _ = done.join();
        }
    }
}

fn admit(stream: TcpStream, number: u64, shared: &Arc<Shared>) -> io::Result<()> {
    let mut open = lock(&shared.open);
    if open.len() >= CONNECTIONS_MAX || shared.stopping.load(Ordering::SeqCst) {
        return Ok(());
    }
    let wire = BufferedConnection::from_accepted(stream)?;
    open.insert(number, Arc::clone(wire.stream()));
    drop(open);
    let for_thread = Arc::clone(shared);
    let started = thread::Builder::new()
        .name("peer".to_owned())
        .stack_size(STACK_BYTES)
        .spawn(move || {
            serve(wire, &for_thread);
            lock(&for_thread.open).remove(&number);
        });
    match started {
        Ok(thread) => lock(&shared.threads).push(thread),
        Err(e) => {
            lock(&shared.open).remove(&number);
            return Err(e);
        }
    }
    Ok(())
}

/// Serves one connection, one call at a time, until it ends.
fn serve(mut wire: BufferedConnection, shared: &Shared) {
    let recipient = Recipient::behind(wire.stream());
    while let Some(request) = read_request(&mut wire, shared) {
        if request.is_acknowledged() && !write_reply(&mut wire, &PeerReply::Acknowledged) {
            return;
        }
        let reply = shared.handler.handle(request, &recipient);
        if !write_reply(&mut wire, &reply) {
            return;
        }
    }
}

/// Reads the next call; `None` where the connection ends or sends what is no call.
fn read_request(wire: &mut BufferedConnection, shared: &Shared) -> Option<PeerRequest> {
    let until = Instant::now() + IDLE_TIME;
    loop {
        match frame::decode::<PeerRequest>(wire.buffered()) {
            Ok(Some((request, used))) => {
                wire.consume(used);
                return Some(request);
            }
            Ok(None) => {
                wire.fill(until, &Recipient::none()).ok()?;
            }
            Err(e) => {
                tracing::warn!(event = "malformed-frame", error = %e);
                shared.handler.count_malformed_frame();
                return None;
            }
        }
    }
}

/// Writes a reply; returns whether the connection can be used on.
fn write_reply(wire: &mut BufferedConnection, reply: &PeerReply) -> bool {
    let bytes = match frame::encode(reply) {
        Ok(bytes) => bytes,
        Err(e) => {
            tracing::error!(event = "reply-not-encoded", error = %e);
            return false;
        }
    };
    let until = Instant::now() + WRITE_TIME;
    wire.write(&bytes, false, until, &Recipient::none()).is_ok()
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
