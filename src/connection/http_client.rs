//! An HTTP/1.1 client for one server, with a connection pool; closing it cancels calls in progress.

use std::collections::HashMap;
use std::net::{IpAddr, Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::connection::body_buffer::BodyLimits;
use crate::connection::buffered_connection::{BufferedConnection, ConnectionError};
use crate::connection::http1::{self, Framing, ResponseHead};
use crate::connection::memory_budget::MemoryBudget;
use crate::connection::protocol::OutgoingRequest;
use crate::connection::recipient::Recipient;
use crate::process::sync;

/// The timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// How long a connection may be idle and still be reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// The most idle connections in the pool.
const IDLE_MAX: usize = 4;
/// The largest body of a response, and the memory for all bodies that arrive at the same time, in
/// bytes.
const BODY_BYTES_MAX: usize = 32 * 1024 * 1024;

#[derive(Default)]
struct State {
    /// The idle connections, each with the time since which it is idle.
    idle: Vec<(BufferedConnection, Instant)>,
    /// The connections of calls in progress, by call number.
    in_use: HashMap<u64, Arc<TcpStream>>,
    /// The number of the last call.
    last_call: u64,
    closed: bool,
}

/// A client of one server.
pub struct HttpClient {
    to: SocketAddr,
    from: Option<IpAddr>,
    body_limits: BodyLimits,
    state: Mutex<State>,
}

impl HttpClient {
    /// Creates a client of the server at `to`, which connects from the address `from`.
    pub fn new(to: SocketAddr, from: Option<IpAddr>) -> Self {
        Self {
            to,
            from,
            body_limits: BodyLimits {
                bytes_max: BODY_BYTES_MAX,
                budget: MemoryBudget::new(BODY_BYTES_MAX),
                transfer: None,
            },
            state: Mutex::default(),
        }
    }

    /// Sends a request and waits up to `timeout` for its response.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete response arrives in time.
    pub fn call(
        &self,
        request: &OutgoingRequest,
        timeout: Duration,
    ) -> Result<(ResponseHead, Vec<u8>), ConnectionError> {
        let deadline = Instant::now() + timeout;
        let mut conn = self.checkout(deadline)?;
        let number = self.register(&conn)?;
        let result = exchange(&mut conn, request, &self.body_limits, deadline);
        let mut state = sync::lock(&self.state);
        state.in_use.remove(&number);
        let (head, body, reusable) = result?;
        if reusable && !state.closed && state.idle.len() < IDLE_MAX {
            state.idle.push((conn, Instant::now()));
        }
        Ok((head, body))
    }

    /// Cancels all calls in progress and rejects later ones.
    pub fn close(&self) {
        let mut state = sync::lock(&self.state);
        state.closed = true;
        state.idle.clear();
        for stream in state.in_use.values() {
            // Fails if the server has closed the connection already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Returns a pooled connection that can be reused, or a new one.
    fn checkout(&self, deadline: Instant) -> Result<BufferedConnection, ConnectionError> {
        loop {
            let Some((conn, since)) = sync::lock(&self.state).idle.pop() else {
                break;
            };
            if since.elapsed() < IDLE_TIMEOUT && conn.is_reusable() {
                return Ok(conn);
            }
        }
        let connect_deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        Ok(BufferedConnection::connect(
            self.to,
            self.from,
            connect_deadline,
        )?)
    }

    /// Registers a call in progress, so that [`HttpClient::close`] can cancel it.
    fn register(&self, conn: &BufferedConnection) -> Result<u64, ConnectionError> {
        let mut state = sync::lock(&self.state);
        if state.closed {
            return Err(ConnectionError::Closed);
        }
        state.last_call += 1;
        let number = state.last_call;
        state.in_use.insert(number, Arc::clone(conn.stream()));
        Ok(number)
    }
}

/// Sends a request on a connection; returns the response, and whether the connection can be reused.
fn exchange(
    conn: &mut BufferedConnection,
    request: &OutgoingRequest,
    body_limits: &BodyLimits,
    deadline: Instant,
) -> Result<(ResponseHead, Vec<u8>, bool), ConnectionError> {
    let mut bytes = http1::encode_request(
        request.method,
        &request.target,
        &request.headers,
        request.body.len(),
    );
    bytes.extend_from_slice(&request.body);
    let recipient = Recipient::none();
    conn.write(&bytes, false, deadline, &recipient)?;
    let head = http1::read_response_head(conn, deadline, &recipient)?;
    let framing = http1::response_framing(&head, request.method)?;
    let body = http1::read_body(conn, framing, body_limits, deadline, &recipient)?;
    let reusable =
        head.keeps_alive() && framing != Framing::UntilClose && conn.buffered().is_empty();
    Ok((head, body.to_vec(), reusable))
}
