//! An HTTP/1.1 listener whose handlers can detect that a caller has disconnected.
//!
//! A reactor accepts connections and watches them. Only a connection on which a request is being
//! read or handled occupies a thread.

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::connection::acceptor::{Acceptor, ConnectionHandler};
use crate::connection::buffered_connection::{BufferedConnection, ConnectionError};
use crate::connection::caller_connection::CallerConnection;
use crate::connection::http1::RequestHead;
use crate::connection::memory_budget::{MemoryBudget, ShedReason};
use crate::connection::memory_reservation::MemoryReservation;
use crate::connection::reactor::Reactor;
use crate::connection::recipient::Recipient;
use crate::process::sync;
use crate::process::thread_pool::ThreadPool;
use crate::request::headers::Headers;

/// The most connections of a listener at a time. One that has never sent a request, or has been idle
/// for longer than callers reuse connections, is closed for a new one.
pub const CONNECTIONS_MAX: usize = 2000;
/// The memory of an idle connection, in bytes: its state, the reactor's and the kernel's.
const CONNECTION_BYTES: usize = 8 * 1024;
/// How long a connection that has never sent a request is not closed for a new one.
const UNUSED_TIME_MIN: Duration = Duration::from_secs(1);
/// From how many requests in progress on the slowest transfer is ended for each new request. Half of
/// [`REQUESTS_MAX`] stays for requests that make progress.
const SHED_JOBS_MIN: usize = REQUESTS_MAX / 2;
/// From how many requests in progress on a connection with a new one is closed without reading it.
const JOBS_MAX: usize = REQUESTS_MAX + 8 * REFUSING_THREADS_MAX;
/// The most requests that are handled at a time; further ones are refused.
const REQUESTS_MAX: usize = 512;
/// The most threads that read and refuse requests beyond [`REQUESTS_MAX`].
const REFUSING_THREADS_MAX: usize = 16;
/// The stack size of a thread, in bytes.
const STACK_BYTES: usize = 256 * 1024;

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
    pub body: Bytes,
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
    pub body: Bytes,
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
            body: text.into().into_bytes().into(),
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

    /// Returns the response to a request that is refused because too many are being handled.
    fn overload_response(&self, _request: &HttpRequest) -> HttpResponse {
        HttpResponse::text(503, "too many requests are in progress\n")
    }

    /// Returns whether each connection must be closed after its next response.
    fn is_shutting_down(&self) -> bool;
}

/// The state that all connections of a listener share.
pub(super) struct ListenerShared {
    pub(super) handler: Arc<dyn ListenerHandler>,
    pub(super) reactor: Weak<Reactor>,
    pub(super) threads: ThreadPool,
    /// The memory of the process.
    pub(super) budget: Arc<MemoryBudget>,
    pub(super) stopping: AtomicBool,
    connections: Mutex<Connections>,
    connections_max: usize,
    /// Itself, for its connections.
    this: Weak<ListenerShared>,
}

/// The open connections of a listener.
#[derive(Default)]
struct Connections {
    /// By connection number.
    open: HashMap<u64, Arc<CallerConnection>>,
    last_number: u64,
}

impl ListenerShared {
    /// Returns whether a request must be refused because too many are being handled.
    pub(super) fn is_overloaded(&self) -> bool {
        self.threads.jobs() > REQUESTS_MAX
    }

    /// Makes room for the work on one more request; returns `false` if its connection must be closed
    /// without reading it.
    pub(super) fn admit_request(&self) -> bool {
        let jobs = self.threads.jobs();
        // If most threads wait for upstreams, ending transfers would free few of them.
        if jobs >= SHED_JOBS_MIN && self.budget.transfers() >= jobs / 2 {
            self.budget.shed_for_thread(Instant::now());
        }
        if jobs >= JOBS_MAX {
            self.budget.record(ShedReason::Threads);
        }
        jobs < JOBS_MAX
    }

    /// Closes a connection that can be closed for a new one, if all allowed connections are open.
    fn make_room(&self) {
        if sync::lock(&self.connections).open.len() < self.connections_max {
            return;
        }
        let now = Instant::now();
        let open = self.all_connections();
        let reuse_time = self.handler.limits().idle_timeout * 4 / 5;
        let idle = open.iter().filter_map(|c| {
            let (idle, was_used) = c.idle_time(now)?;
            let idle_min = if was_used {
                reuse_time
            } else {
                UNUSED_TIME_MIN
            };
            (idle > idle_min).then_some((idle, c))
        });
        if let Some((_, connection)) = idle.max_by_key(|(idle, _)| *idle) {
            self.budget.record(ShedReason::Connections);
            connection.close_if_idle();
        }
    }

    /// Returns whether connections must be closed after their responses.
    pub(super) fn is_shutting_down(&self) -> bool {
        self.stopping.load(Ordering::SeqCst) || self.handler.is_shutting_down()
    }

    /// Removes a connection that is closed.
    pub(super) fn forget(&self, connection: u64) {
        sync::lock(&self.connections).open.remove(&connection);
    }

    fn all_connections(&self) -> Vec<Arc<CallerConnection>> {
        let connections = sync::lock(&self.connections);
        connections.open.values().cloned().collect()
    }
}

/// A running listener; [`HttpListener::stop`] joins its threads.
pub struct HttpListener {
    shared: Arc<ListenerShared>,
    address: SocketAddr,
    acceptor: Option<Acceptor>,
}

impl HttpListener {
    /// Starts accepting connections on `listener`.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener has no address or the reactor can't watch it.
    pub fn start(
        reactor: &Arc<Reactor>,
        listener: TcpListener,
        handler: Arc<dyn ListenerHandler>,
    ) -> io::Result<Self> {
        Self::start_with_limit(reactor, listener, handler, CONNECTIONS_MAX)
    }

    /// Starts accepting at most `connections_max` connections at a time on `listener`.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener has no address or the reactor can't watch it.
    pub fn start_with_limit(
        reactor: &Arc<Reactor>,
        listener: TcpListener,
        handler: Arc<dyn ListenerHandler>,
        connections_max: usize,
    ) -> io::Result<Self> {
        let threads = REQUESTS_MAX + REFUSING_THREADS_MAX;
        let shared = Arc::new_cyclic(|this| ListenerShared {
            handler,
            reactor: Arc::downgrade(reactor),
            threads: ThreadPool::with_stack("caller", threads, STACK_BYTES),
            budget: Arc::clone(reactor.budget()),
            stopping: AtomicBool::new(false),
            connections: Mutex::default(),
            connections_max,
            this: Weak::clone(this),
        });
        let handler = Arc::clone(&shared) as Arc<dyn ConnectionHandler>;
        let acceptor = Acceptor::start(reactor, listener, handler)?;
        Ok(Self {
            shared,
            address: acceptor.address(),
            acceptor: Some(acceptor),
        })
    }

    /// Returns the address that callers connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of connections on which a request is being read or handled, or whose last
    /// response is on its way.
    pub fn busy_connections(&self) -> usize {
        let connections = self.shared.all_connections();
        connections.iter().filter(|c| c.is_busy()).count()
    }

    /// Stops accepting connections and closes the idle ones. Connections that callers have
    /// established already are still served, and so are requests in progress.
    pub fn stop_accepting(&mut self) {
        if let Some(acceptor) = self.acceptor.take() {
            acceptor.stop();
        }
        self.shared.stopping.store(true, Ordering::SeqCst);
        for connection in self.shared.all_connections() {
            connection.close_if_idle();
        }
    }

    /// Closes all connections and joins all threads.
    pub fn stop(&mut self) {
        self.stop_accepting();
        for connection in self.shared.all_connections() {
            connection.close();
        }
        self.shared.threads.join();
    }
}

impl Drop for HttpListener {
    fn drop(&mut self) {
        self.stop();
    }
}

impl ConnectionHandler for ListenerShared {
    /// Watches an accepted connection, unless there are too many.
    fn handle_connection(&self, stream: TcpStream) {
        let Some(shared) = self.this.upgrade() else {
            return;
        };
        self.make_room();
        let mut reservation = MemoryReservation::new(&self.budget);
        let mut connections = sync::lock(&self.connections);
        let has_memory = reservation.raise_to(CONNECTION_BYTES);
        if connections.open.len() >= self.connections_max || !has_memory {
            self.budget.record(ShedReason::Connections);
            return;
        }
        connections.last_number += 1;
        let number = connections.last_number;
        let started = BufferedConnection::from_accepted(stream)
            .and_then(|conn| CallerConnection::new(&shared, number, conn, reservation));
        match started {
            Ok(connection) => {
                connections.open.insert(number, Arc::clone(&connection));
                drop(connections);
                connection.watch_first();
            }
            Err(e) => tracing::warn!(event = "connection-not-served", error = %e),
        }
    }
}
