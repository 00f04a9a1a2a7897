//! Requests of the daemon itself to the upstream: on which connections they are sent, and which
//! responses are theirs.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, AtomicU32, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};

use foxtaildrift::connection::control_pool::ControlPool;
use foxtaildrift::connection::http1::{ResponseHead, STATUS_MISDIRECTED};
use foxtaildrift::connection::protocol::{
    Grant, KeyRange, OutgoingRequest, ResponseMetadata, UpstreamProtocol,
};
use foxtaildrift::connection::upstream_connector::UpstreamConnector;
use foxtaildrift::connection::upstream_request_failure::UpstreamRequestFailure;
use foxtaildrift::request::headers::Headers;
use foxtaildrift::request::upstream_request::UpstreamRequest;

/// The timeout of each request.
const TIMEOUT: Duration = Duration::from_millis(500);
/// The size of a body that an upstream which reads nothing has no room for, in bytes.
const HELD_UP_BYTES: usize = 10_000;
/// The answer to a ping.
const PING_ANSWER: &str = "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n";

/// Pings are requests for `/ping`; a refusal is known by its status.
struct PingProtocol;

impl UpstreamProtocol for PingProtocol {
    fn request_headers(&self, _: &UpstreamRequest, _: &str, _: Duration) -> Headers {
        unimplemented!("no requests of callers are sent")
    }

    fn parse_head(&self, head: &ResponseHead) -> ResponseMetadata {
        ResponseMetadata {
            not_run: head.status == STATUS_MISDIRECTED,
            ..ResponseMetadata::default()
        }
    }

    fn ping_request(&self, _: &str) -> OutgoingRequest {
        request("/ping", 0)
    }

    fn grant_request(&self, _: &Grant) -> OutgoingRequest {
        unimplemented!("the tests build their requests")
    }

    fn release_request(&self, _: KeyRange, _: u64) -> OutgoingRequest {
        unimplemented!("the tests build their requests")
    }
}

fn request(target: &str, body_bytes: usize) -> OutgoingRequest {
    OutgoingRequest {
        method: "POST",
        target: target.to_owned(),
        headers: Headers::default(),
        body: vec![b'x'; body_bytes],
    }
}

fn pool(to: SocketAddr) -> ControlPool {
    let connector = Arc::new(UpstreamConnector::new(to, None));
    ControlPool::new(connector, Arc::new(PingProtocol))
}

/// Sends a request on a connection on which a ping was answered; returns its status.
fn send_ready(pool: &ControlPool, request: OutgoingRequest) -> Result<u16, UpstreamRequestFailure> {
    let deadline = Instant::now() + TIMEOUT;
    let connection = pool.ready_connections(1, deadline).remove(0)?;
    let pending = pool.begin(connection, |_| Some(request), || true, deadline)?;
    Ok(pool.finish(pending, deadline)?.0.status)
}

/// Reads the head of a request; returns whether it is a ping, or `None` at the end.
fn read_head(stream: &mut TcpStream) -> Option<bool> {
    let mut bytes = Vec::new();
    let mut byte = [0; 1];
    while !bytes.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => bytes.push(byte[0]),
            _ => return None,
        }
    }
    Some(bytes.starts_with(b"POST /ping "))
}

/// Starts an upstream that serves each connection with `serve`.
fn upstream(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("could not bind a port");
    let to = listener.local_addr().expect("no local address");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let serve = Arc::clone(&serve);
            thread::spawn(move || serve(stream));
        }
    });
    to
}

/// Starts an upstream that answers the first request with status 200, the second with 201 and so on,
/// and before each further answer on a connection, also to a ping, repeats the one before it.
fn repeating() -> SocketAddr {
    let next_status = AtomicU16::new(200);
    upstream(move |mut stream| {
        let mut former = String::new();
        while let Some(is_ping) = read_head(&mut stream) {
            let answer = match is_ping {
                true => PING_ANSWER.to_owned(),
                false => {
                    let status = next_status.fetch_add(1, Ordering::SeqCst);
                    format!("HTTP/1.1 {status} OK\r\nContent-Length: 0\r\n\r\n")
                }
            };
            let both = format!("{former}{answer}");
            if stream.write_all(both.as_bytes()).is_err() {
                return;
            }
            former = answer;
        }
    })
}

/// Starts an upstream that answers a ping, then reads nothing for `delay` and has room for little;
/// the thread returns how many bytes it received after the ping, and whether the connection was reset.
fn slow_to_read(delay: Duration) -> (SocketAddr, JoinHandle<(usize, bool)>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("no socket");
    socket.set_recv_buffer_size(2048).expect("no buffer size");
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    socket.bind(&any.into()).expect("could not bind a port");
    socket.listen(8).expect("could not listen");
    let listener: TcpListener = socket.into();
    let to = listener.local_addr().expect("no local address");
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("no connection");
        assert_eq!(read_head(&mut stream), Some(true));
        stream
            .write_all(PING_ANSWER.as_bytes())
            .expect("not written");
        thread::sleep(delay);
        let mut bytes = Vec::new();
        let ended = stream.read_to_end(&mut bytes);
        (bytes.len(), ended.is_err())
    });
    (to, server)
}

// Keys were granted elsewhere while their upstream still worked on them: a late copy of the answer to
// a grant was taken for the answer to the release that followed on the connection (OWNER).
#[test]
fn a_late_copy_of_a_control_response_is_not_taken_for_the_next() {
    let releases = pool(repeating());
    let grants = pool(repeating());
    for expected in 200..206 {
        let (head, _) = releases.send(request("/release", 0), TIMEOUT).unwrap();
        assert_eq!(head.status, expected);
        assert_eq!(send_ready(&grants, request("/grant", 0)), Ok(expected));
    }
}

// Guards against grants that take effect after their keys went elsewhere (OWNER on golobnik-mesh
// beside GONE): the network holds up a part, and the daemon gives the grant up by itself.
#[test]
fn what_the_network_holds_up_of_a_grant_is_not_delivered_after_its_end() {
    let (to, server) = slow_to_read(Duration::from_millis(800));
    let result = send_ready(&pool(to), request("/grant", HELD_UP_BYTES));
    assert_eq!(result, Err(UpstreamRequestFailure::TimedOut));
    let (received, was_reset) = server.join().expect("the upstream panicked");
    assert!(received < HELD_UP_BYTES, "{received} bytes arrived");
    assert!(was_reset, "the connection seemed complete");
}

// Guards against grants that outlast their lease: their duration counts from the moment at which the
// upstream takes them up, and was determined before it served the connection.
#[test]
fn a_request_is_built_when_the_upstream_serves_its_connection() {
    let pings = Arc::new(AtomicU32::new(0));
    let answered = Arc::clone(&pings);
    let to = upstream(move |mut stream| {
        while read_head(&mut stream).is_some() {
            thread::sleep(Duration::from_millis(100));
            answered.fetch_add(1, Ordering::SeqCst);
            let _ = stream.write_all(PING_ANSWER.as_bytes());
        }
    });
    let pool = pool(to);
    let deadline = Instant::now() + TIMEOUT;
    let connection = pool.ready_connections(1, deadline).remove(0).expect("none");
    let mut answered_before = None;
    let build = |_| {
        answered_before = Some(pings.load(Ordering::SeqCst));
        None
    };
    let result = pool.begin(connection, build, || true, deadline);
    assert!(matches!(
        result.err(),
        Some(UpstreamRequestFailure::NotSent(_))
    ));
    assert_eq!(answered_before, Some(1));
}

// Guards against a grant that is written although its daemon stood still after it had determined the
// duration (OWNER).
#[test]
fn a_request_that_is_no_longer_current_is_not_written() {
    let others = Arc::new(AtomicU32::new(0));
    let received = Arc::clone(&others);
    let to = upstream(move |mut stream| {
        while let Some(is_ping) = read_head(&mut stream) {
            received.fetch_add(u32::from(!is_ping), Ordering::SeqCst);
            let _ = stream.write_all(PING_ANSWER.as_bytes());
        }
    });
    let pool = pool(to);
    let deadline = Instant::now() + TIMEOUT;
    let connection = pool.ready_connections(1, deadline).remove(0).expect("none");
    let result = pool.begin(
        connection,
        |_| Some(request("/grant", 0)),
        || false,
        deadline,
    );
    assert!(matches!(
        result.err(),
        Some(UpstreamRequestFailure::NotSent(_))
    ));
    // The connection is used again, so its next ping would come after the request.
    pool.ready_connections(1, deadline).remove(0).expect("none");
    assert_eq!(others.load(Ordering::SeqCst), 0);
}

// Guards against a control request that waits for its timeout on a connection that became silent.
#[test]
fn a_silent_idle_connection_is_replaced() {
    let connections = AtomicU32::new(0);
    let to = upstream(move |mut stream| {
        let is_first = connections.fetch_add(1, Ordering::SeqCst) == 0;
        for count in 0.. {
            if read_head(&mut stream).is_none() {
                return;
            }
            // The first connection answers a ping and a request, and nothing after that.
            if is_first && count == 2 {
                thread::sleep(2 * TIMEOUT);
                return;
            }
            let answer = match count % 2 {
                0 => PING_ANSWER,
                _ => "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
            };
            let _ = stream.write_all(answer.as_bytes());
        }
    });
    let pool = pool(to);
    for _ in 0..2 {
        assert_eq!(send_ready(&pool, request("/grant", 0)), Ok(200));
    }
}

// Guards against bytes behind the answer to a ping that are taken for the response to the request after
// it: keys that were refused count as granted, or pass on before they were released (OWNER).
#[test]
fn what_follows_the_answer_to_a_ping_is_not_taken_for_the_response() {
    let to = upstream(|mut stream| {
        while let Some(is_ping) = read_head(&mut stream) {
            let answer = match is_ping {
                true => format!("{PING_ANSWER}HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
                false => "HTTP/1.1 409 Fenced\r\nContent-Length: 0\r\n\r\n".to_owned(),
            };
            let _ = stream.write_all(answer.as_bytes());
        }
    });
    let result = send_ready(&pool(to), request("/grant", 0));
    assert!(
        matches!(result, Err(UpstreamRequestFailure::NotSent(_))),
        "{result:?}"
    );
}

// Guards against one connection that the upstream does not serve, which uses up the time in which the
// grants on the others are answered.
#[test]
fn one_silent_connection_leaves_the_others_their_time() {
    let connections = AtomicU32::new(0);
    let to = upstream(move |mut stream| {
        if connections.fetch_add(1, Ordering::SeqCst) == 3 {
            thread::sleep(4 * TIMEOUT);
            return;
        }
        while let Some(is_ping) = read_head(&mut stream) {
            if !is_ping {
                thread::sleep(Duration::from_millis(30));
            }
            let ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
            let answer = if is_ping { PING_ANSWER } else { ok };
            let _ = stream.write_all(answer.as_bytes());
        }
    });
    let pool = pool(to);
    let ready = pool.ready_connections(8, Instant::now() + TIMEOUT);
    let deadline = Instant::now() + TIMEOUT;
    let send = |c| pool.begin(c, |_| Some(request("/grant", 0)), || true, deadline);
    let pending: Vec<_> = ready.into_iter().map(|c| send(c?)).collect();
    let statuses = pending
        .into_iter()
        .map(|p| Ok::<u16, UpstreamRequestFailure>(pool.finish(p?, deadline)?.0.status));
    assert_eq!(statuses.filter(|s| *s == Ok(200)).count(), 7);
}
