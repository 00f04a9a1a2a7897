//! A listener for HTTP/1.1 whose handlers learn when a caller leaves.
//!
//! Each open connection has a thread while it lasts; threads of ended connections wait a while for
//! the next one.

use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::connection::buffered_connection::{BufferedConnection, ConnectionError, Recipient};
use crate::connection::http1::{self, RequestHead};
use crate::process::sync;
use crate::request::headers::Headers;

/// The most connections of a listener at once; more are closed at once.
const CONNECTIONS_MAX: usize = 2000;
/// How long a thread waits for another connection before it ends.
const THREAD_IDLE_TIME: Duration = Duration::from_secs(3);
/// The stack of a thread, in bytes.
const STACK_BYTES: usize = 256 * 1024;
/// How long to wait after a connection could not be taken.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// How long an answer may take to be written.
const WRITE_TIME: Duration = Duration::from_secs(5);
/// How long what a caller still sends after a refusal is read, so that the refusal is not lost.
const DRAIN_TIME: Duration = Duration::from_millis(300);

/// What callers of a listener may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenerLimits {
    /// The largest head, in bytes.
    pub head_bytes: usize,
    /// The largest body, in bytes.
    pub body_bytes: usize,
    /// How long the head may take from its first byte on.
    pub head_timeout: Duration,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
}

/// A whole request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpRequest {
    /// Its head.
    pub head: RequestHead,
    /// Its body.
    pub body: Vec<u8>,
    /// When its head was read.
    pub received_at: Instant,
}

/// An answer to a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HttpResponse {
    /// The status.
    pub status: u16,
    /// The headers, without those that frame the body.
    pub headers: Headers,
    /// The body.
    pub body: Vec<u8>,
    /// Whether to close the connection without any answer.
    pub close_without_response: bool,
}

impl HttpResponse {
    /// Returns an answer with a line of text.
    pub fn text(status: u16, text: impl Into<String>) -> Self {
        let mut headers = Headers::default();
        headers.push("Content-Type", "text/plain; charset=utf-8");
        Self {
            status,
            headers,
            body: text.into().into_bytes(),
            close_without_response: false,
        }
    }
}

/// Answers the requests of a listener.
pub trait ListenerHandler: Send + Sync {
    /// Returns what callers may send now.
    fn limits(&self) -> ListenerLimits;

    /// Returns how long the body of a request may take.
    fn body_timeout(&self, head: &RequestHead) -> Duration;

    /// Answers a request; `recipient` tells when its caller leaves.
    fn handle(&self, request: HttpRequest, recipient: &Recipient) -> HttpResponse;

    /// Answers what is no proper request.
    fn error_response(&self, error: &ConnectionError) -> HttpResponse;

    /// Returns whether connections shall end with their next answer.
    fn is_shutting_down(&self) -> bool;
}

/// Threads and connections of a listener.
struct Shared {
    handler: Arc<dyn ListenerHandler>,
    state: Mutex<State>,
    queued: Condvar,
    stopping: AtomicBool,
}

/// An open connection.
struct Open {
    stream: Arc<TcpStream>,
    /// Whether a request is being read or answered on it.
    busy: Arc<AtomicBool>,
}

#[derive(Default)]
struct State {
    waiting: VecDeque<TcpStream>,
    idle_threads: usize,
    open: HashMap<u64, Open>,
    next: u64,
    threads: Vec<JoinHandle<()>>,
}

/// A running listener; [`HttpListener::stop`] joins its threads.
pub struct HttpListener {
    shared: Arc<Shared>,
    address: SocketAddr,
    acceptor: Option<JoinHandle<()>>,
}

impl HttpListener {
    /// Starts to take connections on `listener`.
    ///
    /// # Errors
    ///
    /// Returns an error where the listener has no address or no thread can be started.
    pub fn start(listener: TcpListener, handler: Arc<dyn ListenerHandler>) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            handler,
            state: Mutex::default(),
            queued: Condvar::new(),
            stopping: AtomicBool::new(false),
        });
        let for_thread = Arc::clone(&shared);
        let acceptor = thread::Builder::new()
            .name("accept".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || accept(&listener, &for_thread))?;
        Ok(Self {
            shared,
            address,
            acceptor: Some(acceptor),
        })
    }

    /// Returns on how many connections a request is being read or answered.
    pub fn busy_connections(&self) -> usize {
        let state = sync::lock(&self.shared.state);
        let open = state.open.values();
        open.filter(|o| o.busy.load(Ordering::SeqCst)).count() + state.waiting.len()
    }

    /// Takes no more connections, and closes those on which nothing happens; requests that were
    /// begun are still answered.
    pub fn stop_accepting(&mut self) {
        self.shared.stopping.store(true, Ordering::SeqCst);
        // A connection to ourselves wakes the acceptor.
        let _ = TcpStream::connect_timeout(&self.address, ACCEPT_PAUSE);
        if let Some(acceptor) = self.acceptor.take() {
            let _ = acceptor.join();
        }
        let state = sync::lock(&self.shared.state);
        for open in state.open.values() {
            if !open.busy.load(Ordering::SeqCst) {
                // It may have been closed by the caller meanwhile.
                let _ = open.stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Closes all connections and joins all threads.
    pub fn stop(&mut self) {
        self.stop_accepting();
        let mut state = sync::lock(&self.shared.state);
        for open in state.open.values() {
            let _ = open.stream.shutdown(Shutdown::Both);
        }
        let threads: Vec<_> = state.threads.drain(..).collect();
        drop(state);
        self.shared.queued.notify_all();
        for thread in threads {
            let _ = thread.join();
        }
    }
}

impl Drop for HttpListener {
    fn drop(&mut self) {
        self.stop();
    }
}

fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    while !shared.stopping.load(Ordering::SeqCst) {
        match listener.accept() {
            Ok((stream, _)) => admit(stream, shared),
            Err(e) => {
                tracing::warn!(event = "accept-failed", error = %e);
                thread::sleep(ACCEPT_PAUSE);
            }
        }
    }
}

/// Hands a connection to an idle thread, or to a new one.
fn admit(stream: TcpStream, shared: &Arc<Shared>) {
    let mut state = sync::lock(&shared.state);
    if state.open.len() + state.waiting.len() >= CONNECTIONS_MAX {
        tracing::warn!(event = "connection-refused", open = state.open.len());
        return;
    }
    state.waiting.push_back(stream);
    if state.waiting.len() <= state.idle_threads {
        shared.queued.notify_one();
        return;
    }
    for done in state.threads.extract_if(.., |t| t.is_finished()) {
        let _ = done.join();
    }
    let for_thread = Arc::clone(shared);
    let spawned = thread::Builder::new()
        .name("caller".to_owned())
        .stack_size(STACK_BYTES)
        .spawn(move || work(&for_thread));
    match spawned {
        Ok(thread) => state.threads.push(thread),
        Err(e) => {
            tracing::warn!(event = "thread-failed", error = %e);
            state.waiting.pop_back();
        }
    }
}

/// Serves connections until none comes for a while.
fn work(shared: &Shared) {
    while let Some((number, wire, busy)) = next_connection(shared) {
        serve(wire, shared, &busy);
        sync::lock(&shared.state).open.remove(&number);
    }
}

/// Waits for a connection.
fn next_connection(shared: &Shared) -> Option<(u64, BufferedConnection, Arc<AtomicBool>)> {
    let mut state = sync::lock(&shared.state);
    loop {
        if let Some(stream) = state.waiting.pop_front() {
            let Ok(wire) = BufferedConnection::from_accepted(stream) else {
                continue;
            };
            state.next += 1;
            let number = state.next;
            let open = Open {
                stream: Arc::clone(wire.stream()),
                busy: Arc::default(),
            };
            let busy = Arc::clone(&open.busy);
            state.open.insert(number, open);
            return Some((number, wire, busy));
        }
        if shared.stopping.load(Ordering::SeqCst) {
            return None;
        }
        state.idle_threads += 1;
        let waited = shared.queued.wait_timeout(state, THREAD_IDLE_TIME);
        let (back, timeout) = waited.unwrap_or_else(PoisonError::into_inner);
        state = back;
        state.idle_threads -= 1;
        if timeout.timed_out() && state.waiting.is_empty() {
            return None;
        }
    }
}

/// Serves one connection, one request at a time, until it ends.
fn serve(mut wire: BufferedConnection, shared: &Shared, busy: &AtomicBool) {
    let handler = &*shared.handler;
    loop {
        let request = match read_request(&mut wire, handler, busy) {
            Ok(request) => request,
            Err(e) => {
                refuse(&mut wire, handler, &e);
                return;
            }
        };
        let keeps = request.head.keeps_alive();
        let is_head = request.head.method == "HEAD";
        let recipient = Recipient::behind(wire.stream());
        let reply = handler.handle(request, &recipient);
        if reply.close_without_response {
            return;
        }
        let close = !keeps || handler.is_shutting_down() || shared.stopping.load(Ordering::SeqCst);
        let mut bytes = http1::encode_answer(reply.status, &reply.headers, reply.body.len(), close);
        if !is_head {
            bytes.extend_from_slice(&reply.body);
        }
        let until = Instant::now() + WRITE_TIME;
        if let Err(e) = wire.write(&bytes, false, until, &Recipient::none()) {
            tracing::debug!(event = "answer-not-written", error = %e);
            return;
        }
        if close {
            // All that the caller sent was read, so that the close resets nothing.
            return;
        }
    }
}

/// Reads a whole request.
fn read_request(
    wire: &mut BufferedConnection,
    handler: &dyn ListenerHandler,
    busy: &AtomicBool,
) -> Result<HttpRequest, ConnectionError> {
    let limits = handler.limits();
    let idle_until = Instant::now() + limits.idle_timeout;
    busy.store(false, Ordering::SeqCst);
    if wire.buffered().is_empty() {
        wire.fill(idle_until, &Recipient::none())?;
    }
    busy.store(true, Ordering::SeqCst);
    let head = http1::read_request_head(wire, idle_until, limits.head_timeout, limits.head_bytes)?;
    let received_at = Instant::now();
    let framing = http1::request_framing(&head.headers)?;
    let until = received_at + handler.body_timeout(&head);
    if head.headers.has_token("expect", "100-continue") {
        wire.write(
            b"HTTP/1.1 100 Continue\r\n\r\n",
            false,
            until,
            &Recipient::none(),
        )?;
    }
    let body = http1::read_body(wire, framing, limits.body_bytes, until, &Recipient::none())?;
    Ok(HttpRequest {
        head,
        body,
        received_at,
    })
}

/// Answers what is no proper request; a connection that ended or stayed idle gets nothing.
fn refuse(wire: &mut BufferedConnection, handler: &dyn ListenerHandler, error: &ConnectionError) {
    let idle = matches!(error, ConnectionError::TimedOut) && wire.buffered().is_empty();
    if idle || matches!(error, ConnectionError::Closed | ConnectionError::Io(_)) {
        return;
    }
    let reply = handler.error_response(error);
    let mut bytes = http1::encode_answer(reply.status, &reply.headers, reply.body.len(), true);
    bytes.extend_from_slice(&reply.body);
    let until = Instant::now() + WRITE_TIME;
    if wire.write(&bytes, false, until, &Recipient::none()).is_ok() {
        linger(wire);
    }
}

/// Ends a connection so that its last answer arrives: unread bytes would reset it.
fn linger(wire: &mut BufferedConnection) {
    if wire.stream().shutdown(Shutdown::Write).is_err() {
        return;
    }
    let until = Instant::now() + DRAIN_TIME;
    while wire.fill(until, &Recipient::none()).is_ok() {
        let count = wire.buffered().len();
        wire.consume(count);
    }
}
