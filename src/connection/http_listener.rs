//! An HTTP/1.1 listener whose handlers can detect that a caller has disconnected.
//!
//! Each open connection occupies one thread. When the connection closes, the thread waits for a
//! while for another one before it ends.

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

/// The most connections of a listener at a time; further ones are closed immediately.
const CONNECTIONS_MAX: usize = 2000;
/// How long a thread waits for another connection before it ends.
const THREAD_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// The stack size of a thread, in bytes.
const STACK_BYTES: usize = 256 * 1024;
/// How long to wait after an `accept` that failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// The timeout for writing a response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long the rest of a rejected request is read and discarded, so that the response is not lost.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(300);

/// The limits on the size and the time of the requests of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenerLimits {
    /// The largest request head, in bytes.
    pub head_bytes: usize,
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// How long the head may take, from its first byte on.
    pub head_timeout: Duration,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
}

/// A complete request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpRequest {
    /// The request line and the headers.
    pub head: RequestHead,
    /// The whole body, without transfer coding.
    pub body: Vec<u8>,
    /// When the head was complete.
    pub received_at: Instant,
}

/// A response to a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HttpResponse {
    /// The status code.
    pub status: u16,
    /// The headers, without those that frame the body.
    pub headers: Headers,
    /// The whole body.
    pub body: Vec<u8>,
    /// Whether to close the connection without a response.
    pub close_without_response: bool,
}

impl HttpResponse {
    /// Returns a plain-text response.
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

/// Handles the requests of a listener.
pub trait ListenerHandler: Send + Sync {
    /// Returns the limits that apply now.
    fn limits(&self) -> ListenerLimits;

    /// Returns how long the body of the request with `head` may take.
    fn body_timeout(&self, head: &RequestHead) -> Duration;

    /// Returns the response to a request; `recipient` is its caller.
    fn handle(&self, request: HttpRequest, recipient: &Recipient) -> HttpResponse;

    /// Returns the response to a request that could not be read because of `error`.
    fn error_response(&self, error: &ConnectionError) -> HttpResponse;

    /// Returns whether each connection must be closed after its next response.
    fn is_shutting_down(&self) -> bool;
}

/// The state that all threads of a listener share.
struct Shared {
    handler: Arc<dyn ListenerHandler>,
    state: Mutex<State>,
    /// Notified when a connection is queued, and when the listener stops.
    queued: Condvar,
    stopping: AtomicBool,
}

/// An open connection.
struct OpenConnection {
    stream: Arc<TcpStream>,
    /// Whether a request is being read or handled on it.
    busy: Arc<AtomicBool>,
}

#[derive(Default)]
struct State {
    /// The accepted connections that no thread serves yet.
    queue: VecDeque<TcpStream>,
    idle_threads: usize,
    /// The connections with a thread, by connection number.
    connections: HashMap<u64, OpenConnection>,
    /// The number of the last connection.
    last_number: u64,
    threads: Vec<JoinHandle<()>>,
}

/// A running listener; [`HttpListener::stop`] joins its threads.
pub struct HttpListener {
    shared: Arc<Shared>,
    address: SocketAddr,
    acceptor: Option<JoinHandle<()>>,
}

impl HttpListener {
    /// Starts accepting connections on `listener`.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener has no address or no thread can be started.
    pub fn start(listener: TcpListener, handler: Arc<dyn ListenerHandler>) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            handler,
            state: Mutex::default(),
            queued: Condvar::new(),
            stopping: AtomicBool::new(false),
        });
        let thread_shared = Arc::clone(&shared);
        let acceptor = thread::Builder::new()
            .name("accept".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || accept(&listener, &thread_shared))?;
        Ok(Self {
            shared,
            address,
            acceptor: Some(acceptor),
        })
    }

    /// Returns the number of connections that are queued, or on which a request is being read or
    /// handled.
    pub fn busy_connections(&self) -> usize {
        let state = sync::lock(&self.shared.state);
        let open = state.connections.values();
        open.filter(|o| o.busy.load(Ordering::SeqCst)).count() + state.queue.len()
    }

    /// Stops accepting connections and closes the idle ones; requests in progress are still
    /// handled.
    pub fn stop_accepting(&mut self) {
        self.shared.stopping.store(true, Ordering::SeqCst);
        // A connection to the listener's own address wakes the acceptor thread.
        let _ = TcpStream::connect_timeout(&self.address, ACCEPT_PAUSE);
        if let Some(acceptor) = self.acceptor.take() {
            let _ = acceptor.join();
        }
        let state = sync::lock(&self.shared.state);
        for open in state.connections.values() {
            if !open.busy.load(Ordering::SeqCst) {
                // Fails if the caller has closed it meanwhile.
                let _ = open.stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Closes all connections and joins all threads.
    pub fn stop(&mut self) {
        self.stop_accepting();
        let mut state = sync::lock(&self.shared.state);
        for open in state.connections.values() {
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

/// Accepts connections until the listener stops.
fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    while !shared.stopping.load(Ordering::SeqCst) {
        match listener.accept() {
            Ok((stream, _)) => enqueue(stream, shared),
            Err(e) => {
                tracing::warn!(event = "accept-failed", error = %e);
                thread::sleep(ACCEPT_PAUSE);
            }
        }
    }
}

/// Queues a connection for an idle thread, or for a new one.
fn enqueue(stream: TcpStream, shared: &Arc<Shared>) {
    let mut state = sync::lock(&shared.state);
    if state.connections.len() + state.queue.len() >= CONNECTIONS_MAX {
        tracing::warn!(event = "connection-refused", open = state.connections.len());
        return;
    }
    state.queue.push_back(stream);
    if state.queue.len() <= state.idle_threads {
        shared.queued.notify_one();
        return;
    }
    for done in state.threads.extract_if(.., |t| t.is_finished()) {
        let _ = done.join();
    }
    let thread_shared = Arc::clone(shared);
    let spawned = thread::Builder::new()
        .name("caller".to_owned())
        .stack_size(STACK_BYTES)
        .spawn(move || serve_connections(&thread_shared));
    match spawned {
        Ok(thread) => state.threads.push(thread),
        Err(e) => {
            tracing::warn!(event = "thread-failed", error = %e);
            state.queue.pop_back();
        }
    }
}

/// Serves queued connections until none is queued within [`THREAD_IDLE_TIMEOUT`].
fn serve_connections(shared: &Shared) {
    while let Some((number, conn, busy)) = next_connection(shared) {
        serve(conn, shared, &busy);
        sync::lock(&shared.state).connections.remove(&number);
    }
}

/// Waits for a queued connection; returns `None` if the thread must end.
fn next_connection(shared: &Shared) -> Option<(u64, BufferedConnection, Arc<AtomicBool>)> {
    let mut state = sync::lock(&shared.state);
    loop {
        if let Some(stream) = state.queue.pop_front() {
            let Ok(conn) = BufferedConnection::from_accepted(stream) else {
                continue;
            };
            state.last_number += 1;
            let number = state.last_number;
            let open = OpenConnection {
                stream: Arc::clone(conn.stream()),
                busy: Arc::default(),
            };
            let busy = Arc::clone(&open.busy);
            state.connections.insert(number, open);
            return Some((number, conn, busy));
        }
        if shared.stopping.load(Ordering::SeqCst) {
            return None;
        }
        state.idle_threads += 1;
        let waited = shared.queued.wait_timeout(state, THREAD_IDLE_TIMEOUT);
        let (guard, timeout) = waited.unwrap_or_else(PoisonError::into_inner);
        state = guard;
        state.idle_threads -= 1;
        if timeout.timed_out() && state.queue.is_empty() {
            return None;
        }
    }
}

/// Serves the requests of one connection in turn, until it closes.
fn serve(mut conn: BufferedConnection, shared: &Shared, busy: &AtomicBool) {
    let handler = &*shared.handler;
    loop {
        let request = match read_request(&mut conn, handler, busy) {
            Ok(request) => request,
            Err(e) => {
                reject(&mut conn, handler, &e);
                return;
            }
        };
        let keeps_alive = request.head.keeps_alive();
        let is_head = request.head.method == "HEAD";
        let recipient = Recipient::new(conn.stream());
        let response = handler.handle(request, &recipient);
        if response.close_without_response {
            return;
        }
        let close =
            !keeps_alive || handler.is_shutting_down() || shared.stopping.load(Ordering::SeqCst);
        let mut bytes = http1::encode_response(
            response.status,
            &response.headers,
            response.body.len(),
            close,
        );
        if !is_head {
            bytes.extend_from_slice(&response.body);
        }
        let deadline = Instant::now() + WRITE_TIMEOUT;
        if let Err(e) = conn.write(&bytes, false, deadline, &Recipient::none()) {
            tracing::debug!(event = "answer-not-written", error = %e);
            return;
        }
        if close {
            // The whole request was read, so the close does not reset the connection.
            return;
        }
    }
}

/// Reads a complete request; `busy` is cleared while the connection is idle.
fn read_request(
    conn: &mut BufferedConnection,
    handler: &dyn ListenerHandler,
    busy: &AtomicBool,
) -> Result<HttpRequest, ConnectionError> {
    let limits = handler.limits();
    let idle_deadline = Instant::now() + limits.idle_timeout;
    busy.store(false, Ordering::SeqCst);
    if conn.buffered().is_empty() {
        conn.fill(idle_deadline, &Recipient::none())?;
    }
    busy.store(true, Ordering::SeqCst);
    let head =
        http1::read_request_head(conn, idle_deadline, limits.head_timeout, limits.head_bytes)?;
    let received_at = Instant::now();
    let framing = http1::request_framing(&head.headers)?;
    let deadline = received_at + handler.body_timeout(&head);
    if head.headers.has_token("expect", "100-continue") {
        conn.write(
            b"HTTP/1.1 100 Continue\r\n\r\n",
            false,
            deadline,
            &Recipient::none(),
        )?;
    }
    let body = http1::read_body(
        conn,
        framing,
        limits.body_bytes,
        deadline,
        &Recipient::none(),
    )?;
    Ok(HttpRequest {
        head,
        body,
        received_at,
    })
}

/// Responds to a request that could not be read, unless the connection is closed or was idle.
fn reject(conn: &mut BufferedConnection, handler: &dyn ListenerHandler, error: &ConnectionError) {
    let idle = matches!(error, ConnectionError::TimedOut) && conn.buffered().is_empty();
    if idle || matches!(error, ConnectionError::Closed | ConnectionError::Io(_)) {
        return;
    }
    let response = handler.error_response(error);
    let mut bytes = http1::encode_response(
        response.status,
        &response.headers,
        response.body.len(),
        true,
    );
    bytes.extend_from_slice(&response.body);
    let deadline = Instant::now() + WRITE_TIMEOUT;
    if conn
        .write(&bytes, false, deadline, &Recipient::none())
        .is_ok()
    {
        close_gracefully(conn);
    }
}

/// Closes a connection so that its last response arrives: unread bytes would reset it.
fn close_gracefully(conn: &mut BufferedConnection) {
    if conn.stream().shutdown(Shutdown::Write).is_err() {
        return;
    }
    let deadline = Instant::now() + DISCARD_TIMEOUT;
    while conn.fill(deadline, &Recipient::none()).is_ok() {
        let count = conn.buffered().len();
        conn.consume(count);
    }
}
