//! Callers that pipeline requests, leave, or are connected while the listener stops.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::{AsFd, BorrowedFd};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use foxtaildrift::connection::buffered_connection::ConnectionError;
use foxtaildrift::connection::http_listener::{
    HttpListener, HttpRequest, HttpResponse, ListenerHandler, ListenerLimits,
};
use foxtaildrift::connection::http1::RequestHead;
use foxtaildrift::connection::reactor::{Reactor, Readiness, Source};
use foxtaildrift::connection::recipient::Recipient;
use foxtaildrift::process::stop_flag::StopFlag;

/// The size of the body of `/large`, in bytes.
const LARGE_BYTES: usize = 1_000_000;

/// Responds to `/NAME/MS` with the name after that time.
#[derive(Default)]
struct Named {
    started: Mutex<Vec<String>>,
    /// The requests whose caller left while they were handled, with the time.
    left: Mutex<Vec<(String, Instant)>>,
    stopping: StopFlag,
}

impl ListenerHandler for Named {
    fn limits(&self) -> ListenerLimits {
        ListenerLimits {
            head_bytes: 4096,
            body_bytes: 100_000,
            head_timeout: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(5),
        }
    }

    fn body_timeout(&self, _head: &RequestHead) -> Duration {
        Duration::from_secs(2)
    }

    fn handle(&self, request: HttpRequest, recipient: &Recipient) -> HttpResponse {
        let path = request.head.path().to_owned();
        self.started.lock().unwrap().push(path.clone());
        let mut parts = path.trim_matches('/').split('/');
        let name = parts.next().unwrap_or_default();
        let delay: u64 = parts.next().map_or(0, |d| d.parse().unwrap());
        let until = Instant::now() + Duration::from_millis(delay);
        while Instant::now() < until {
            if recipient.has_disconnected() {
                self.left
                    .lock()
                    .unwrap()
                    .push((path.clone(), Instant::now()));
                break;
            }
            thread::sleep(Duration::from_millis(5));
        }
        match name {
            "large" => HttpResponse::text(200, "x".repeat(LARGE_BYTES)),
            "body" => HttpResponse::text(200, format!("{} bytes", request.body.len())),
            name => HttpResponse::text(200, name),
        }
    }

    fn error_response(&self, error: &ConnectionError) -> HttpResponse {
        HttpResponse::text(400, error.to_string())
    }

    fn is_shutting_down(&self) -> bool {
        self.stopping.is_set()
    }
}

struct Fixture {
    handler: Arc<Named>,
    listener: HttpListener,
    // Dropped after the listener.
    reactor: Arc<Reactor>,
}

impl Fixture {
    fn start() -> Self {
        Self::start_on(TcpListener::bind("127.0.0.1:0").expect("could not bind a port"))
    }

    fn start_on(socket: TcpListener) -> Self {
        let reactor = Reactor::start().expect("no reactor");
        let handler = Arc::new(Named::default());
        let for_listener = Arc::clone(&handler) as Arc<dyn ListenerHandler>;
        let listener = HttpListener::start(&reactor, socket, for_listener).expect("no listener");
        Self {
            handler,
            listener,
            reactor,
        }
    }

    fn connect(&self) -> TcpStream {
        connect(self.listener.address())
    }

    fn started(&self) -> Vec<String> {
        self.handler.started.lock().unwrap().clone()
    }
}

fn connect(to: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(to).expect("no connection");
    let timeout = Some(Duration::from_secs(5));
    stream.set_read_timeout(timeout).expect("no timeout");
    stream
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: h\r\n\r\n")
}

fn post(path: &str, body: &str) -> String {
    let length = body.len();
    format!("POST {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// Reads one response; returns its status line, whether it closes the connection, and its body.
fn read_response(stream: &mut TcpStream) -> std::io::Result<(u16, bool, String)> {
    let mut head = Vec::new();
    let mut byte = [0; 1];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).expect("a head in UTF-8");
    let status = head[9..12].parse().expect("a status");
    let length = head.split("Content-Length: ").nth(1).expect("a length");
    let length: usize = length.split("\r\n").next().unwrap().parse().unwrap();
    let mut body = vec![0; length];
    stream.read_exact(&mut body)?;
    let body = String::from_utf8(body).expect("a body in UTF-8");
    Ok((status, head.contains("Connection: close"), body))
}

#[test]
fn pipelined_requests_are_handled_beside_each_other_and_answered_in_order() {
    for count in [1, 2, 16] {
        let fixture = Fixture::start();
        let mut stream = fixture.connect();
        // Later requests are done earlier.
        let paths = (0..count).map(|n| format!("/r{n}/{}", 150 - 5 * n));
        let requests: Vec<String> = paths.map(|p| get(&p)).collect();
        let started = Instant::now();
        stream.write_all(requests.concat().as_bytes()).unwrap();
        for n in 0..count {
            let (status, _, body) = read_response(&mut stream).expect("no response");
            assert_eq!((status, body), (200, format!("r{n}")));
        }
        // One after the other, 16 requests would take 1,800 ms.
        assert!(started.elapsed() < Duration::from_millis(600));
    }
}

#[test]
fn requests_that_arrive_in_pieces_are_answered_in_order() {
    let fixture = Fixture::start();
    let mut stream = fixture.connect();
    let mut requests = get("/a/30");
    requests.push_str(&post("/body/20", &"b".repeat(700)));
    requests.push_str(&get("/c/10"));
    requests.push_str(&get("/d/0"));
    for piece in requests.as_bytes().chunks(37) {
        stream.write_all(piece).unwrap();
        thread::sleep(Duration::from_millis(2));
    }
    let bodies: Vec<String> = (0..4)
        .map(|_| read_response(&mut stream).expect("no response").2)
        .collect();
    assert_eq!(bodies, ["a", "700 bytes", "c", "d"]);
}

#[test]
fn a_request_that_is_not_safe_waits_for_those_before_it() {
    let fixture = Fixture::start();
    let mut stream = fixture.connect();
    let requests = [get("/a/150"), post("/b/0", "x"), get("/c/0")].concat();
    stream.write_all(requests.as_bytes()).unwrap();
    thread::sleep(Duration::from_millis(80));
    assert_eq!(fixture.started(), ["/a/150"]);
    for name in ["a", "b", "c"] {
        assert_eq!(read_response(&mut stream).expect("no response").2, name);
    }
    assert_eq!(fixture.started(), ["/a/150", "/b/0", "/c/0"]);
}

#[test]
fn a_caller_that_leaves_is_noticed_with_and_without_requests_behind() {
    // Guards against work for callers that left: with a further request waiting in the socket, the
    // close was not noticed.
    for behind in [
        "",
        "GET /",
        "POST /b/0 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx",
    ] {
        let fixture = Fixture::start();
        let mut stream = fixture.connect();
        let requests = post("/a/1500", "x") + behind;
        stream.write_all(requests.as_bytes()).unwrap();
        thread::sleep(Duration::from_millis(60));
        drop(stream);
        let closed_at = Instant::now();
        thread::sleep(Duration::from_millis(300));
        let left = fixture.handler.left.lock().unwrap().clone();
        assert_eq!(
            left.len(),
            1,
            "the close was not noticed with {behind:?} behind"
        );
        assert!(left[0].1 < closed_at + Duration::from_millis(250));
        assert_eq!(fixture.started(), ["/a/1500"]);
    }
}

#[test]
fn requests_of_callers_that_left_before_they_were_read_are_not_handled() {
    // Guards against work for callers that left (GONE on golobnik-mesh): a daemon that was short of
    // processor time read the requests late and handled them, although their callers had closed.
    for requests in [
        get("/a/0"),
        [get("/a/0"), get("/b/0"), get("/c/0")].concat(),
        post("/a/0", "x"),
    ] {
        let socket = TcpListener::bind("127.0.0.1:0").expect("could not bind a port");
        let to = socket.local_addr().expect("no local address");
        for _ in 0..20 {
            let mut stream = connect(to);
            stream.write_all(requests.as_bytes()).unwrap();
        }
        thread::sleep(Duration::from_millis(50));
        let fixture = Fixture::start_on(socket);
        let mut stays = fixture.connect();
        stays.write_all(get("/stays/0").as_bytes()).unwrap();
        assert_eq!(read_response(&mut stays).expect("no response").2, "stays");
        thread::sleep(Duration::from_millis(200));
        assert_eq!(fixture.started(), ["/stays/0"]);
    }
}

/// A source that keeps the thread of its reactor busy while its socket is readable.
struct Busy {
    socket: UdpSocket,
    duration: Duration,
}

impl Source for Busy {
    fn fd(&self) -> BorrowedFd<'_> {
        self.socket.as_fd()
    }

    fn handle(&self, _ready: Readiness) {
        thread::sleep(self.duration);
    }

    fn sweep(&self, _now: Instant) {}
}

#[test]
fn a_caller_that_leaves_is_noticed_while_the_reactor_is_held_up() {
    // Guards against work for callers that left (GONE on golobnik-mesh): whether a caller has left
    // was known only once the reactor had handled the close.
    let fixture = Fixture::start();
    let mut stream = fixture.connect();
    stream.write_all(get("/a/2000").as_bytes()).unwrap();
    thread::sleep(Duration::from_millis(60));
    let socket = UdpSocket::bind("127.0.0.1:0").expect("could not bind a port");
    let to = socket.local_addr().expect("no local address");
    socket.send_to(b"x", to).expect("not sent");
    let duration = Duration::from_millis(1500);
    let busy = Arc::new(Busy { socket, duration });
    let added = fixture.reactor.add_once(busy, Readiness::READ, |_| {});
    added.expect("not watched");
    thread::sleep(Duration::from_millis(60));
    drop(stream);
    let closed_at = Instant::now();
    thread::sleep(Duration::from_millis(500));
    let left = fixture.handler.left.lock().unwrap().clone();
    assert_eq!(left.len(), 1, "the close was not noticed");
    assert!(left[0].1 < closed_at + Duration::from_millis(250));
}

#[test]
fn the_last_response_arrives_whole_although_requests_stand_behind_it() {
    // Guards against a reset by the close, which destroyed the response on its way.
    for behind in [String::new(), get("/b/0"), get("/b/0").repeat(30)] {
        let fixture = Fixture::start();
        let mut stream = fixture.connect();
        let first = "GET /large HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        stream
            .write_all((first.to_owned() + &behind).as_bytes())
            .unwrap();
        let mut received = 0;
        let mut buf = vec![0; 64_000];
        loop {
            thread::sleep(Duration::from_millis(20));
            match stream.read(&mut buf) {
                Ok(0) => break,
                Ok(count) => received += count,
                Err(e) => panic!("{e} after {received} bytes, {} bytes behind", behind.len()),
            }
        }
        assert!(received > LARGE_BYTES, "{received}");
        // What stands behind a response that closes the connection is not run.
        assert_eq!(fixture.started(), ["/large"]);
    }
}

#[test]
fn requests_that_were_read_are_answered_during_a_stop() {
    let mut fixture = Fixture::start();
    let mut pipelining = fixture.connect();
    let requests = [get("/a/200"), get("/b/100"), get("/c/150")].concat();
    pipelining.write_all(requests.as_bytes()).unwrap();
    let mut half = fixture.connect();
    half.write_all(b"POST /body/0 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab")
        .unwrap();
    let mut idle = fixture.connect();
    thread::sleep(Duration::from_millis(50));
    // Established, but perhaps not accepted yet, when the listener stops.
    let mut late = fixture.connect();
    late.write_all(get("/late/20").as_bytes()).unwrap();
    fixture.handler.stopping.set();
    fixture.listener.stop_accepting();
    half.write_all(b"cd").unwrap();
    assert_eq!(
        idle.read(&mut [0; 8]).unwrap(),
        0,
        "an idle connection is closed"
    );
    let (_, closes, body) = read_response(&mut late).expect("the late request was cut off");
    assert_eq!((closes, body.as_str()), (true, "late"));
    let (_, closes, body) = read_response(&mut half).expect("the half request was cut off");
    assert_eq!((closes, body.as_str()), (true, "4 bytes"));
    for (name, last) in [("a", false), ("b", false), ("c", true)] {
        let (_, closes, body) = read_response(&mut pipelining).expect("cut off");
        assert_eq!((body.as_str(), closes), (name, last));
    }
    assert!(TcpStream::connect(fixture.listener.address()).is_err());
    let until = Instant::now() + Duration::from_secs(4);
    drop((pipelining, half, late));
    while fixture.listener.busy_connections() > 0 && Instant::now() < until {
        thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(fixture.listener.busy_connections(), 0);
}

// The rest of a body that came after its timeout was read and run as a request (UNASKED).
#[test]
fn the_rest_of_a_body_that_comes_too_late_is_not_taken_for_a_request() {
    let fixture = Fixture::start();
    let mut stream = fixture.connect();
    let smuggled = get("/smuggled/0");
    let length = 4 + smuggled.len();
    let head = format!("POST /body/0 HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\n\r\n");
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(b"body").unwrap();
    thread::sleep(Duration::from_millis(2300));
    // The connection may be closed by now.
    let _ = stream.write_all(smuggled.as_bytes());
    let (status, closes, body) = read_response(&mut stream).unwrap();
    assert_eq!((status, closes), (400, true), "{body}");
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest);
    assert_eq!(String::from_utf8_lossy(&rest), "");
    assert_eq!(fixture.started(), Vec::<String>::new());
}
