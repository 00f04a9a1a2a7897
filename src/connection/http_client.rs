//! A client for HTTP/1.1 with kept connections, whose calls can be ended from outside.

use std::collections::HashMap;
use std::net::{IpAddr, Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::connection::buffered_connection::{BufferedConnection, ConnectionError, Recipient};
use crate::connection::http1::{self, Framing, ResponseHead};
use crate::connection::protocol::OutgoingRequest;
use crate::process::sync;

/// How long a connection may take to be made.
const CONNECT_TIME: Duration = Duration::from_millis(1000);
/// How long a connection may be idle and still be used.
const IDLE_TIME: Duration = Duration::from_secs(5);
/// The most idle connections kept.
const IDLE_MAX: usize = 4;
/// The largest body of an answer, in bytes.
const BODY_BYTES_MAX: usize = 32 * 1024 * 1024;

#[derive(Default)]
struct State {
    idle: Vec<(BufferedConnection, Instant)>,
    open: HashMap<u64, Arc<TcpStream>>,
    next: u64,
    closed: bool,
}

/// A client of one server.
pub struct HttpClient {
    to: SocketAddr,
    from: Option<IpAddr>,
    state: Mutex<State>,
}

impl HttpClient {
    /// Creates a client without a connection.
    pub fn new(to: SocketAddr, from: Option<IpAddr>) -> Self {
        Self {
            to,
            from,
            state: Mutex::default(),
        }
    }

    /// Makes a call and waits `limit` for its answer.
    ///
    /// # Errors
    ///
    /// Returns an error where no whole answer came.
    pub fn call(
        &self,
        call: &OutgoingRequest,
        limit: Duration,
    ) -> Result<(ResponseHead, Vec<u8>), ConnectionError> {
        let until = Instant::now() + limit;
        let mut wire = self.take(until)?;
        let number = self.enter(&wire)?;
        let answered = exchange(&mut wire, call, until);
        let mut state = sync::lock(&self.state);
        state.open.remove(&number);
        let (head, body, reusable) = answered?;
        if reusable && !state.closed && state.idle.len() < IDLE_MAX {
            state.idle.push((wire, Instant::now()));
        }
        Ok((head, body))
    }

    /// Ends all calls under way, and takes no more.
    pub fn close(&self) {
        let mut state = sync::lock(&self.state);
        state.closed = true;
        state.idle.clear();
        for stream in state.open.values() {
            // A connection that is closed already needs no more.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn take(&self, until: Instant) -> Result<BufferedConnection, ConnectionError> {
        loop {
            let Some((wire, since)) = sync::lock(&self.state).idle.pop() else {
                break;
            };
            if since.elapsed() < IDLE_TIME && wire.is_reusable() {
                return Ok(wire);
            }
        }
        let limit = until.min(Instant::now() + CONNECT_TIME);
        Ok(BufferedConnection::connect(self.to, self.from, limit)?)
    }

    /// Notes a call under way.
    fn enter(&self, wire: &BufferedConnection) -> Result<u64, ConnectionError> {
        let mut state = sync::lock(&self.state);
        if state.closed {
            return Err(ConnectionError::Closed);
        }
        state.next += 1;
        let number = state.next;
        state.open.insert(number, Arc::clone(wire.stream()));
        Ok(number)
    }
}

/// Makes one call on a connection; tells whether that can be used again.
fn exchange(
    wire: &mut BufferedConnection,
    call: &OutgoingRequest,
    until: Instant,
) -> Result<(ResponseHead, Vec<u8>, bool), ConnectionError> {
    let mut bytes =
        http1::encode_request(call.method, &call.target, &call.headers, call.body.len());
    bytes.extend_from_slice(&call.body);
    let recipient = Recipient::none();
    wire.write(&bytes, false, until, &recipient)?;
    let head = http1::read_answer_head(wire, until, &recipient)?;
    let framing = http1::answer_framing(&head, call.method)?;
    let body = http1::read_body(wire, framing, BODY_BYTES_MAX, until, &recipient)?;
    let reusable =
        head.keeps_alive() && framing != Framing::UntilClose && wire.buffered().is_empty();
    Ok((head, body, reusable))
}
