//! One connection of a caller: reads its requests, and writes the responses in the order of the
//! requests.
//!
//! A caller may send further requests before the first is answered (pipelining). Requests with safe
//! methods are handled beside each other, so that a slow one does not hold up the others; any other
//! waits for the responses to the requests before it. What stands behind a response that closes the
//! connection is not read.

use std::collections::VecDeque;
use std::io;
use std::net::{Shutdown, TcpStream};
use std::os::fd::{AsFd, BorrowedFd};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, Weak};
use std::time::{Duration, Instant};

use crate::connection::body_buffer::BodyLimits;
use crate::connection::buffered_connection::{BufferedConnection, ConnectionError};
use crate::connection::http_listener::{HttpRequest, HttpResponse, ListenerShared};
use crate::connection::http1;
use crate::connection::memory_reservation::MemoryReservation;
use crate::connection::reactor::{Readiness, Source, SourceNumber};
use crate::connection::recipient::Recipient;
use crate::connection::response_writer;
use crate::connection::transfer::{Transfer, TransferKind};
use crate::process::sync;

/// The most requests of one connection that are handled beside each other.
const PIPELINE_MAX: usize = 16;
/// The memory of the work on a request, in bytes: the stack of its thread that is in use, its head and
/// the buffer of the connection.
const REQUEST_BYTES: usize = 32 * 1024;
/// How long the caller may take to receive the last response and to close the connection.
const LINGER_TIMEOUT: Duration = Duration::from_secs(3);
/// How long to wait for the first bytes of a request that has begun to arrive.
const FIRST_BYTES_TIMEOUT: Duration = Duration::from_millis(50);

/// A request that was read, and its response once that is known.
struct Exchange {
    number: u64,
    recipient: Recipient,
    keeps_alive: bool,
    is_head: bool,
    response: Option<HttpResponse>,
}

/// What the connection does beside handling requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Waits for a request.
    Waiting,
    /// A thread reads a request, or will.
    Reading,
    /// No further request is read until all responses are written.
    Holding,
    /// The last response was written; discards what arrives until the caller closes.
    Lingering {
        /// When the connection is closed in any case.
        until: Instant,
    },
    /// The connection is closed.
    Closed,
}

struct State {
    phase: Phase,
    /// The reading end, unless a thread reads.
    conn: Option<BufferedConnection>,
    /// The requests without a written response, in the order of arrival.
    exchanges: VecDeque<Exchange>,
    last_number: u64,
    /// A request that waits for the responses before its own.
    parked: Option<(u64, HttpRequest)>,
    /// Whether a thread writes responses.
    writing: bool,
    idle_since: Instant,
    /// Whether the connection has ever sent a request.
    was_used: bool,
}

impl State {
    /// Returns whether the responses to all requests that were read are written.
    fn is_answered(&self) -> bool {
        self.exchanges.is_empty() && !self.writing
    }
}

/// A connection of a caller.
pub struct CallerConnection {
    number: u64,
    stream: Arc<TcpStream>,
    shared: Arc<ListenerShared>,
    source: OnceLock<SourceNumber>,
    state: Mutex<State>,
    _reservation: MemoryReservation,
    /// Itself, for the jobs of the threads.
    this: Weak<CallerConnection>,
}

impl CallerConnection {
    /// Creates the connection with the given number, which is not watched yet.
    ///
    /// # Errors
    ///
    /// Returns an error if the reactor has stopped.
    pub(super) fn new(
        shared: &Arc<ListenerShared>,
        number: u64,
        conn: BufferedConnection,
        reservation: MemoryReservation,
    ) -> io::Result<Arc<Self>> {
        if shared.reactor.upgrade().is_none() {
            return Err(io::ErrorKind::NotConnected.into());
        }
        Ok(Arc::new_cyclic(|this| Self {
            number,
            stream: Arc::clone(conn.stream()),
            shared: Arc::clone(shared),
            source: OnceLock::new(),
            state: Mutex::new(State {
                phase: Phase::Waiting,
                conn: Some(conn),
                exchanges: VecDeque::new(),
                last_number: 0,
                parked: None,
                writing: false,
                idle_since: Instant::now(),
                was_used: false,
            }),
            _reservation: reservation,
            this: Weak::clone(this),
        }))
    }

    /// Adds the connection to the reactor.
    pub(super) fn watch_first(&self) {
        let (Some(reactor), Some(this)) = (self.shared.reactor.upgrade(), self.this.upgrade())
        else {
            return;
        };
        let added = reactor.add_once(this, Readiness::READ, |number| {
            // A connection is added once.
            let _ = self.source.set(number);
        });
        if let Err(e) = added {
            tracing::warn!(event = "connection-not-served", error = %e);
            self.close();
        }
    }

    /// Returns whether a request is being read or handled, or the last response is on its way.
    pub(super) fn is_busy(&self) -> bool {
        let state = sync::lock(&self.state);
        match state.phase {
            Phase::Reading | Phase::Holding | Phase::Lingering { .. } => true,
            Phase::Waiting => !state.is_answered(),
            Phase::Closed => false,
        }
    }

    /// Returns how long the connection has been idle at `now`, and whether it has ever sent a request;
    /// `None` if it is not idle.
    pub(super) fn idle_time(&self, now: Instant) -> Option<(Duration, bool)> {
        let state = sync::lock(&self.state);
        let is_idle = state.phase == Phase::Waiting && state.is_answered();
        is_idle.then(|| {
            (
                now.saturating_duration_since(state.idle_since),
                state.was_used,
            )
        })
    }

    /// Closes the connection if no request has arrived that is not answered.
    pub(super) fn close_if_idle(&self) {
        let state = sync::lock(&self.state);
        let is_quiet = state.conn.as_ref().is_some_and(|c| c.is_reusable());
        if state.phase == Phase::Waiting && state.is_answered() && is_quiet {
            self.close_locked(state);
        }
    }

    /// Closes the connection and cancels the work for it.
    pub(super) fn close(&self) {
        self.close_locked(sync::lock(&self.state));
    }

    fn close_locked<'a>(&'a self, mut state: MutexGuard<'a, State>) {
        if state.phase == Phase::Closed {
            return;
        }
        state.phase = Phase::Closed;
        state.parked = None;
        let recipients: Vec<_> = state.exchanges.drain(..).map(|e| e.recipient).collect();
        drop(state);
        // Fails if the caller has closed the connection already.
        let _ = self.stream.shutdown(Shutdown::Both);
        if let (Some(reactor), Some(source)) = (self.shared.reactor.upgrade(), self.source.get()) {
            reactor.remove(*source);
        }
        self.shared.forget(self.number);
        for recipient in recipients {
            recipient.disconnect();
        }
    }

    /// Waits for one more event.
    fn watch(&self, interest: Readiness) {
        if let (Some(reactor), Some(source)) = (self.shared.reactor.upgrade(), self.source.get())
            && let Err(e) = reactor.rearm(*source, self, interest)
        {
            // The connection was closed, which removed it from the reactor.
            tracing::debug!(event = "connection-not-watched", error = %e);
        }
    }

    /// Lets a thread read the next request.
    fn start_reading(&self, state: &mut State) {
        state.phase = Phase::Reading;
        if let Some(this) = self.this.upgrade() {
            self.shared.threads.submit(move || this.read_and_handle());
        }
    }

    /// Reads a request and handles it, or whatever can be handled then.
    fn read_and_handle(&self) {
        let mut state = sync::lock(&self.state);
        let is_first = state.is_answered();
        let Some(mut conn) = state.conn.take() else {
            return;
        };
        drop(state);
        let budget = &self.shared.budget;
        let transfer = budget.begin_transfer(&self.stream, TransferKind::Request, Instant::now());
        let mut reservation = MemoryReservation::new(budget);
        let request = match reservation.raise_or_shed(REQUEST_BYTES, Some(transfer.transfer())) {
            true => read_request(&mut conn, &self.shared, is_first, transfer.transfer()),
            false => Err(ConnectionError::OutOfMemory),
        };
        let request = match transfer.transfer().is_shed() {
            true => Err(ConnectionError::OutOfMemory),
            false => request,
        };
        drop(transfer);
        let mut state = sync::lock(&self.state);
        state.conn = Some(conn);
        if state.phase != Phase::Reading {
            return;
        }
        match request {
            Ok(None) => self.read_on(&mut state),
            Ok(Some(request)) => {
                state.was_used = true;
                let next = self.accept_request(&mut state, request);
                drop(state);
                if let Some((number, request, recipient)) = next {
                    self.handle_request(number, &recipient, request);
                }
            }
            Err(e) => self.reject(state, &e),
        }
    }

    /// Records a request that was read; returns it if it must be handled now.
    fn accept_request(
        &self,
        state: &mut State,
        request: HttpRequest,
    ) -> Option<(u64, HttpRequest, Recipient)> {
        let is_safe = matches!(request.head.method.as_str(), "GET" | "HEAD");
        let keeps_alive = request.head.keeps_alive();
        let recipient = Recipient::on_connection(&self.stream);
        state.last_number += 1;
        let number = state.last_number;
        state.exchanges.push_back(Exchange {
            number,
            recipient: recipient.clone(),
            keeps_alive,
            is_head: request.head.method == "HEAD",
            response: None,
        });
        let must_wait = !is_safe && state.exchanges.len() > 1;
        let reads_on = is_safe && keeps_alive && state.exchanges.len() < PIPELINE_MAX;
        if reads_on {
            self.read_on(state);
        } else {
            state.phase = Phase::Holding;
            self.watch(Readiness::HANG_UP);
        }
        if must_wait {
            state.parked = Some((number, request));
            return None;
        }
        Some((number, request, recipient))
    }

    /// Reads the next request if it has begun to arrive, or waits for it.
    fn read_on(&self, state: &mut State) {
        let has_bytes = state
            .conn
            .as_ref()
            .is_some_and(|c| !c.buffered().is_empty());
        if has_bytes {
            self.start_reading(state);
        } else {
            state.phase = Phase::Waiting;
            state.idle_since = Instant::now();
            self.watch(Readiness::READ);
        }
    }

    /// Handles a request, unless its caller has left already.
    fn handle_request(&self, number: u64, recipient: &Recipient, request: HttpRequest) {
        if recipient.has_disconnected() {
            self.close();
            return;
        }
        let handler = &self.shared.handler;
        let response = match self.shared.is_overloaded() {
            true => handler.overload_response(&request),
            false => handler.handle(request, recipient),
        };
        let mut state = sync::lock(&self.state);
        let exchange = state.exchanges.iter_mut().find(|e| e.number == number);
        if let Some(exchange) = exchange {
            exchange.response = Some(response);
        }
        self.write_responses(state);
    }

    /// Writes the responses whose turn it is, unless another thread does.
    fn write_responses<'a>(&'a self, mut state: MutexGuard<'a, State>) {
        if state.writing {
            return;
        }
        while state
            .exchanges
            .front()
            .is_some_and(|e| e.response.is_some())
        {
            let Some(exchange) = state.exchanges.pop_front() else {
                break;
            };
            let close = self.is_last(&state, &exchange);
            if close {
                state.phase = Phase::Holding;
            }
            state.writing = true;
            drop(state);
            let written = self.write_response(exchange, close);
            state = sync::lock(&self.state);
            state.writing = false;
            if !written {
                self.close_locked(state);
                return;
            }
            if close {
                self.linger(&mut state);
                return;
            }
        }
        if state.exchanges.is_empty() && state.phase == Phase::Holding {
            self.read_on(&mut state);
            return;
        }
        let is_turn = |number: u64| state.exchanges.front().is_some_and(|e| e.number == number);
        if state.parked.as_ref().is_some_and(|(n, _)| is_turn(*n))
            && let Some((number, request)) = state.parked.take()
        {
            let recipient = state.exchanges.front().map(|e| e.recipient.clone());
            drop(state);
            self.handle_request(number, &recipient.unwrap_or_default(), request);
        }
    }

    /// Returns whether the connection closes after the response to `exchange`. While it shuts down,
    /// the requests that were read before are answered first.
    fn is_last(&self, state: &State, exchange: &Exchange) -> bool {
        if !exchange.keeps_alive {
            return true;
        }
        let is_alone = state.exchanges.is_empty() && state.phase != Phase::Reading;
        is_alone && self.shared.is_shutting_down()
    }

    /// Writes a response; returns whether the connection can still be used.
    fn write_response(&self, exchange: Exchange, close: bool) -> bool {
        let Some(response) = exchange.response.filter(|r| !r.close_without_response) else {
            return false;
        };
        let length = response.body.len();
        let head = http1::encode_response(response.status, &response.headers, length, close);
        let body = match exchange.is_head {
            true => &[][..],
            false => &response.body[..],
        };
        match response_writer::write(&self.stream, &self.shared.budget, &head, body) {
            Ok(()) => true,
            Err(e) => {
                tracing::debug!(event = "answer-not-written", error = %e);
                false
            }
        }
    }

    /// Closes the connection once the caller has received the last response. Unread bytes would
    /// reset it, and the response would be lost.
    fn linger(&self, state: &mut State) {
        state.phase = Phase::Lingering {
            until: Instant::now() + LINGER_TIMEOUT,
        };
        // Fails if the caller has closed the connection already.
        let _ = self.stream.shutdown(Shutdown::Write);
        self.watch(Readiness::READ);
    }

    /// Discards what has arrived after the last response; returns whether the caller has closed the
    /// connection.
    fn discard(state: &mut State) -> bool {
        let Some(conn) = state.conn.as_mut() else {
            return true;
        };
        let is_open = conn.read_once().unwrap_or(false);
        let count = conn.buffered().len();
        conn.consume(count);
        !is_open
    }

    /// Responds to a request that could not be read, unless the connection is closed. It is the last
    /// one, as it is not known where the next begins.
    fn reject<'a>(&'a self, mut state: MutexGuard<'a, State>, error: &ConnectionError) {
        if matches!(error, ConnectionError::Closed | ConnectionError::Io(_)) {
            self.close_locked(state);
            return;
        }
        state.phase = Phase::Holding;
        state.last_number += 1;
        let number = state.last_number;
        state.exchanges.push_back(Exchange {
            number,
            recipient: Recipient::none(),
            keeps_alive: false,
            is_head: false,
            response: Some(self.shared.handler.error_response(error)),
        });
        self.write_responses(state);
    }
}

impl Source for CallerConnection {
    fn fd(&self) -> BorrowedFd<'_> {
        self.stream.as_fd()
    }

    fn handle(&self, ready: Readiness) {
        let mut state = sync::lock(&self.state);
        if matches!(state.phase, Phase::Lingering { .. }) {
            match Self::discard(&mut state) {
                true => self.close_locked(state),
                false => self.watch(Readiness::READ),
            }
            return;
        }
        let has_requests = !state.exchanges.is_empty();
        if ready.hung_up && (has_requests || !ready.readable) {
            self.close_locked(state);
        } else if ready.readable && state.phase == Phase::Waiting {
            match self.shared.admit_request() {
                true => self.start_reading(&mut state),
                false => self.close_locked(state),
            }
        }
    }

    fn sweep(&self, now: Instant) {
        let state = sync::lock(&self.state);
        let is_over = match state.phase {
            Phase::Waiting if state.is_answered() => {
                let idle = now.saturating_duration_since(state.idle_since);
                idle >= self.shared.handler.limits().idle_timeout
            }
            Phase::Lingering { until } => now >= until,
            _ => false,
        };
        if is_over {
            self.close_locked(state);
        }
    }
}

/// Reads a complete request; returns `None` if no byte of one has arrived after all. `is_first` is
/// whether the requests before it are answered, so that an interim response can be written.
fn read_request(
    conn: &mut BufferedConnection,
    shared: &ListenerShared,
    is_first: bool,
    transfer: &Arc<Transfer>,
) -> Result<Option<HttpRequest>, ConnectionError> {
    let handler = &shared.handler;
    let limits = handler.limits();
    let idle_deadline = Instant::now() + FIRST_BYTES_TIMEOUT;
    let head =
        http1::read_request_head(conn, idle_deadline, limits.head_timeout, limits.head_bytes);
    let head = match head {
        Err(ConnectionError::TimedOut) if conn.buffered().is_empty() => return Ok(None),
        head => head?,
    };
    let received_at = Instant::now();
    let framing = http1::request_framing(&head.headers)?;
    let deadline = received_at + handler.body_timeout(&head);
    if is_first && head.headers.has_token("expect", "100-continue") {
        let interim = b"HTTP/1.1 100 Continue\r\n\r\n";
        conn.write(interim, false, deadline, &Recipient::none())?;
    }
    let recipient = Recipient::none();
    let body_limits = BodyLimits {
        bytes_max: limits.body_bytes,
        budget: Arc::clone(&shared.budget),
        transfer: Some(Arc::clone(transfer)),
    };
    let body = http1::read_body(conn, framing, &body_limits, deadline, &recipient)?;
    Ok(Some(HttpRequest {
        head,
        body,
        received_at,
    }))
}
