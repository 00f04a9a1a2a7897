//! Clients outside the operators' limits, tested on a real daemon with little memory. Each test checks
//! only that the daemon lives within its memory and descriptors, and that it then responds to an
//! ordinary request.

use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use foxtaildrift_bench::host_cluster::HostCluster;
use serde_json::json;
use socket2::{Domain, SockAddr, Socket, Type};

/// The memory of the daemon, in MiB.
const MEMORY_MB: u64 = 64;
/// The memory of the smallest hosts, in MiB.
const SMALLEST_MEMORY_MB: u64 = 160;
/// The largest body of the large deployments, in bytes.
const LARGEST_BODY_BYTES: usize = 64 * 1024 * 1024;
/// The descriptors of the smallest hosts without those that are reserved for files.
const DESCRIPTORS_MAX: usize = 4100 - 200;
/// The largest request body that the routing allows, in bytes.
const BODY_BYTES: usize = 8 * 1024 * 1024;
/// The largest request head that the routing allows, in bytes.
const HEAD_BYTES: usize = 16 * 1024;
/// The size of a long response, in bytes.
const LONG_RESPONSE_BYTES: usize = 4 * 1024 * 1024;
/// The number of requests that the upstream accepts at once.
const SLOTS: usize = 48;
/// How long the clients of one test go on.
const CLIENTS_TIME: Duration = Duration::from_secs(10);
/// How long the environment may take to start, and to respond to an ordinary request afterwards.
const WAIT_MAX: Duration = Duration::from_secs(15);
/// The timeout of a read or write of a client.
const IO_TIMEOUT: Duration = Duration::from_millis(500);
/// The pause between two steps of a slow client.
const SLOW_PAUSE: Duration = Duration::from_millis(50);
/// The port on which the daemon accepts connections of other daemons.
const PEER_PORT: u16 = 7400;

/// Guards against responses that pile up in the daemon while their callers read them slowly.
#[test]
fn long_responses_that_are_read_slowly_stay_within_the_memory() {
    run_clients(|site, number| {
        if number < 60 {
            read_slowly(site);
        }
    });
}

/// Guards against heads that are kept or waited for without a limit.
#[test]
fn heads_over_the_limit_and_without_end_stay_within_the_memory() {
    run_clients(|site, number| match number {
        0..60 => send_repeatedly(site, b"GET /look/x HTTP/1.1\r\nx: ", b"0123456789abcdef"),
        60..120 => send_repeatedly(site, b"GET /look/x HTTP/1.1\r\n", b"x-more: and more\r\n"),
        120..180 => send_repeatedly(site, b"", b"\r\n"),
        180..240 => send_by_byte(site, b"GET /look/x HTTP/1.1\r\n", b"x-more: and more\r\n"),
        240..300 => send_by_byte(site, b"", b"\r\n"),
        _ => {}
    });
}

/// Guards against bodies of legal size that together take more than the memory: whole ones and ones
/// that stop one byte short of their end and stay open.
#[test]
fn large_bodies_stay_within_the_memory() {
    run_clients(|site, number| match number {
        0..30 => send_body(site, BODY_BYTES - 1, BODY_BYTES),
        30..45 => send_body(site, 64 * 1024, BODY_BYTES),
        45..50 => send_body(site, BODY_BYTES, BODY_BYTES),
        _ => {}
    });
}

/// Guards against what these clients take together, over many connections to both addresses.
#[test]
fn mixed_clients_on_both_addresses_stay_within_the_memory() {
    run_clients(|site, number| match number {
        0..30 => read_slowly(site),
        30..60 => send_repeatedly(site, b"", b"\r\n"),
        60..90 => send_by_byte(site, b"GET /look/x HTTP/1.1\r\n", b"x-more: and more\r\n"),
        90..110 => send_body(site, BODY_BYTES - 1, BODY_BYTES),
        110..170 => pipeline(site),
        170..200 => send_frame(site, 30 * 1024 * 1024, 6 * 1024 * 1024),
        200..230 => send_frame(site, 1024, 8),
        230..300 => hold_open(site.peers, site),
        300..400 => hold_open(site.callers, site),
        _ => {}
    });
}

/// Guards against slow senders that occupy all threads, so that the requests of ordinary callers are
/// refused as long as they go on.
#[test]
fn slow_senders_leave_threads_for_ordinary_callers() {
    run_clients_beside_ordinary(700, |site, _| send_body(site, 1, 1000));
}

/// Guards against a daemon that refuses, or has not enough memory for, a single body of the largest size
/// on the smallest host.
#[test]
fn a_single_body_of_the_largest_size_is_served_on_the_smallest_host() {
    let _lock = crate::daemon::lock_environment();
    let mut cluster = start_daemon(SMALLEST_MEMORY_MB, LARGEST_BODY_BYTES);
    let listener = TcpListener::bind(cluster.upstream_address(0)).unwrap();
    let stopping = AtomicBool::new(false);
    let response = thread::scope(|scope| {
        let (cluster, stopping) = (&cluster, &stopping);
        scope.spawn(move || serve_upstream(&listener, stopping));
        scope.spawn(move || report(cluster, stopping));
        let response = await_ordinary_response(cluster)
            .and_then(|()| upload(cluster.hosts[0].caller_address).map_err(|e| e.to_string()));
        stopping.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(cluster.upstream_address(0));
        response
    });
    assert!(cluster.has_daemon(0), "the daemon has ended");
    let peak = cluster.peak_memory(0).expect("the daemon runs");
    println!("peak memory {} KiB", peak / 1024);
    let response = response.expect("the upload gets a response");
    assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    assert!(peak < SMALLEST_MEMORY_MB * 1024 * 1024, "{peak} bytes");
}

/// Sends a body of the largest size; returns the begin of the response.
fn upload(to: SocketAddr) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(to)?;
    stream.set_read_timeout(Some(WAIT_MAX))?;
    stream.write_all(head("POST", "/look/x", LARGEST_BODY_BYTES).as_bytes())?;
    for _ in 0..LARGEST_BODY_BYTES / (64 * 1024) {
        stream.write_all(&[b'x'; 64 * 1024])?;
    }
    let mut buf = [0; 1024];
    let count = stream.read(&mut buf)?;
    Ok(String::from_utf8_lossy(&buf[..count]).into_owned())
}

/// The addresses of the daemon, and when its clients end.
struct Site {
    callers: SocketAddr,
    peers: SocketAddr,
    stopping: AtomicBool,
}

impl Site {
    fn is_over(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }
}

/// Runs 400 clients beside each other, each repeating `client` with its number until the time is over,
/// and checks the daemon afterwards.
fn run_clients(client: impl Fn(&Site, usize) + Sync) {
    run_and_check(400, false, client);
}

/// Like [`run_clients`] with `count` clients, which go on until an ordinary request has got its
/// response.
fn run_clients_beside_ordinary(count: usize, client: impl Fn(&Site, usize) + Sync) {
    run_and_check(count, true, client);
}

fn run_and_check(count: usize, beside_ordinary: bool, client: impl Fn(&Site, usize) + Sync) {
    let _lock = crate::daemon::lock_environment();
    let mut cluster = start_daemon(MEMORY_MB, BODY_BYTES);
    let listener = TcpListener::bind(cluster.upstream_address(0)).unwrap();
    let site = Site {
        callers: cluster.hosts[0].caller_address,
        peers: SocketAddr::new(cluster.ip(0), PEER_PORT),
        stopping: AtomicBool::new(false),
    };
    let upstream_stopping = AtomicBool::new(false);
    let mut descriptors = 0;
    thread::scope(|scope| {
        let (cluster, site, client) = (&cluster, &site, &client);
        let upstream_stopping = &upstream_stopping;
        scope.spawn(move || serve_upstream(&listener, upstream_stopping));
        scope.spawn(move || report(cluster, upstream_stopping));
        let mut answered = await_ordinary_response(cluster);
        if answered.is_ok() {
            thread::scope(|scope| {
                for number in 0..count {
                    scope.spawn(move || {
                        while !site.is_over() {
                            client(site, number);
                            thread::sleep(SLOW_PAUSE);
                        }
                    });
                }
                let started = Instant::now();
                while started.elapsed() < CLIENTS_TIME {
                    descriptors = descriptors.max(count_descriptors(cluster));
                    thread::sleep(SLOW_PAUSE);
                }
                if beside_ordinary {
                    answered = await_ordinary_response(cluster);
                }
                site.stopping.store(true, Ordering::SeqCst);
            });
        }
        let answered = answered.and_then(|()| await_ordinary_response(cluster));
        upstream_stopping.store(true, Ordering::SeqCst);
        // Ends the wait for a connection.
        let _ = TcpStream::connect(cluster.upstream_address(0));
        let peak = cluster.peak_memory(0).map(|b| b / 1024);
        println!("peak memory {peak:?} KiB, {descriptors} descriptors");
        answered.expect("an ordinary request gets a response");
    });
    assert!(cluster.has_daemon(0), "the daemon has ended");
    let peak = cluster.peak_memory(0).expect("the daemon runs");
    assert!(peak < MEMORY_MB * 1024 * 1024, "{peak} bytes of memory");
    assert!(descriptors < DESCRIPTORS_MAX, "{descriptors} descriptors");
}

/// Starts a host with little memory, whose upstream is then replaced by [`serve_upstream`].
fn start_daemon(memory_mb: u64, body_bytes: usize) -> HostCluster {
    let program = env!("CARGO_BIN_EXE_foxtaildrift-bench");
    let settings = format!("memory_mb: {memory_mb}\n");
    let cluster =
        HostCluster::start_with_settings(None, &settings, program.as_ref(), &["office"], &[]);
    let mut cluster = cluster.expect("the processes start");
    let routing = json!({
        "Version": "00000001",
        "Limits": {
            "MaxHeaderBytes": HEAD_BYTES, "MaxBodyBytes": body_bytes, "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Listeners": [{"Host": "a.example", "Rules": [{
            "Name": "look", "Kind": "safe", "TargetLatencyMs": 400, "Priority": 1,
            "Match": {"PathPrefix": "/look/"},
            "Action": {"Service": "office", "TimeoutMs": 30000, "MaxAttempts": 1},
        }]}],
        "Clusters": [{"Name": "office", "WarmupPerS": 1000.0}],
    });
    let routing = routing.to_string();
    let store_responds = |c: &HostCluster| c.control_store("put/op/config", &routing).is_ok();
    cluster
        .wait_until("the store responds", WAIT_MAX, store_responds)
        .unwrap();
    cluster
        .wait_until("the daemon is ready", WAIT_MAX, |c| c.is_ready(0))
        .unwrap();
    cluster.kill_upstream(0).unwrap();
    cluster
}

/// Waits until a response to an ordinary request arrives.
fn await_ordinary_response(cluster: &HostCluster) -> Result<(), String> {
    let is_served = |c: &HostCluster| {
        let response = c.request(0, "GET", "/look/ordinary", None);
        response.is_ok_and(|r| r.status == 200 && r.body == "ordinary")
    };
    let served = cluster.wait_until("an ordinary request is served", WAIT_MAX, is_served);
    served.map(|_| ()).map_err(|e| e.to_string())
}

fn count_descriptors(cluster: &HostCluster) -> usize {
    let id = cluster.daemon_id(0).unwrap_or_default();
    fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count)
}

/// Connects with a small receive buffer, as a slow client would have.
fn connect(to: SocketAddr) -> Option<TcpStream> {
    let socket = Socket::new(Domain::for_address(to), Type::STREAM, None).ok()?;
    socket.set_recv_buffer_size(4096).ok()?;
    socket.set_read_timeout(Some(IO_TIMEOUT)).ok()?;
    socket.set_write_timeout(Some(IO_TIMEOUT)).ok()?;
    socket
        .connect_timeout(&SockAddr::from(to), IO_TIMEOUT)
        .ok()?;
    Some(socket.into())
}

fn head(method: &str, target: &str, length: usize) -> String {
    let id = uuid::Uuid::now_v7();
    format!(
        "{method} {target} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: 60000\r\nContent-Length: {length}\r\n\r\n"
    )
}

/// Requests a long response and reads a little of it at a time.
fn read_slowly(site: &Site) {
    let Some(mut stream) = connect(site.callers) else {
        return;
    };
    let request = head("GET", "/look/long", 0);
    if stream.write_all(request.as_bytes()).is_err() {
        return;
    }
    drain(&mut stream, site, SLOW_PAUSE);
}

/// Sends `begin` and then `repeated` without end.
fn send_repeatedly(site: &Site, begin: &[u8], repeated: &[u8]) {
    let Some(mut stream) = connect(site.callers) else {
        return;
    };
    let _ = stream.write_all(begin);
    let piece = repeated.repeat(512);
    while !site.is_over() && stream.write_all(&piece).is_ok() {}
}

/// Sends `begin` and then `repeated` without end, a byte at a time.
fn send_by_byte(site: &Site, begin: &[u8], repeated: &[u8]) {
    let Some(mut stream) = connect(site.callers) else {
        return;
    };
    for &byte in begin.iter().chain(repeated.iter().cycle()) {
        if site.is_over() || stream.write_all(&[byte]).is_err() {
            return;
        }
        thread::sleep(Duration::from_millis(5));
    }
}

/// Announces a body of `length` bytes and sends `sent` of them, then stays open.
fn send_body(site: &Site, sent: usize, length: usize) {
    let Some(mut stream) = connect(site.callers) else {
        return;
    };
    let request = head("POST", "/look/x", length);
    let piece = [b'x'; 64 * 1024];
    let mut left = sent;
    let mut written = stream.write_all(request.as_bytes());
    while left > 0 && written.is_ok() && !site.is_over() {
        let count = left.min(piece.len());
        written = stream.write_all(&piece[..count]);
        left -= count;
    }
    drain(&mut stream, site, SLOW_PAUSE);
}

/// Sends many requests at once, the last without its end, and reads the responses slowly.
fn pipeline(site: &Site) {
    let Some(mut stream) = connect(site.callers) else {
        return;
    };
    for _ in 0..32 {
        let request = head("GET", "/look/medium", 0);
        if stream.write_all(request.as_bytes()).is_err() {
            return;
        }
    }
    let _ = stream.write_all(b"GET /look/medium HTTP/1.1\r\n");
    drain(&mut stream, site, SLOW_PAUSE);
}

/// Announces a frame of `length` bytes to the address of the other daemons and sends `sent` of them,
/// then stays open.
fn send_frame(site: &Site, length: u32, sent: usize) {
    let Some(mut stream) = connect(site.peers) else {
        return;
    };
    let _ = stream.write_all(&length.to_be_bytes());
    let _ = stream.write_all(&vec![0; sent]);
    drain(&mut stream, site, SLOW_PAUSE);
}

/// Connects to `to` and sends nothing.
fn hold_open(to: SocketAddr, site: &Site) {
    if let Some(mut stream) = connect(to) {
        drain(&mut stream, site, SLOW_PAUSE);
    }
}

/// Reads a little at a time until the daemon closes the connection.
fn drain(stream: &mut TcpStream, site: &Site, pause: Duration) {
    let mut buf = [0; 512];
    while !site.is_over() {
        match stream.read(&mut buf) {
            Ok(0) => return,
            Ok(_) => {}
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
        thread::sleep(pause);
    }
}

/// Serves requests at the upstream's address until `stopping` is set.
fn serve_upstream(listener: &TcpListener, stopping: &AtomicBool) {
    thread::scope(|scope| {
        for stream in listener.incoming() {
            if stopping.load(Ordering::SeqCst) {
                return;
            }
            scope.spawn(move || respond(&stream.unwrap()));
        }
    });
}

/// Responds to one request, after its body.
fn respond(mut stream: &TcpStream) {
    let timeout = Some(Duration::from_secs(2));
    stream.set_read_timeout(timeout).unwrap();
    stream.set_write_timeout(timeout).unwrap();
    let mut reader = BufReader::new(stream);
    let (mut target, mut id, mut length) = (String::new(), String::new(), 0u64);
    loop {
        let mut line = String::new();
        if !matches!(reader.read_line(&mut line), Ok(1..)) {
            return;
        }
        if line == "\r\n" {
            break;
        }
        if target.is_empty() {
            target = line.split(' ').nth(1).unwrap_or_default().to_owned();
        } else if let Some((name, value)) = line.split_once(": ") {
            match name.to_ascii_lowercase().as_str() {
                "request-id" => id = value.trim().to_owned(),
                "content-length" => length = value.trim().parse().unwrap_or(0),
                _ => {}
            }
        }
    }
    if std::io::copy(&mut reader.take(length), &mut std::io::sink()).is_err() {
        return;
    }
    let body = match target.as_str() {
        "/look/long" => vec![b'x'; LONG_RESPONSE_BYTES],
        "/look/medium" => vec![b'x'; 90 * 1024],
        _ => b"ordinary".to_vec(),
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\nConnection: close\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    let _ = stream.write_all(head.as_bytes());
    let _ = stream.write_all(&body);
}

/// Reports to the daemon in the name of the upstream until `stopping` is set.
fn report(cluster: &HostCluster, stopping: &AtomicBool) {
    let mut sequence = 0;
    while !stopping.load(Ordering::SeqCst) {
        sequence += 1;
        let body = json!({
            "Address": cluster.upstream_address(0).to_string(),
            "born": 9_000_000_000_000u64,
            "Info": {"Service": "office", "Version": "v1", "Zone": "domain-0", "Slots": SLOTS},
            "Status": {"State": "ready", "Sequence": sequence, "WarmupRemainingMs": 0},
        });
        let _ = cluster.report(0, "/Instances.Heartbeat/i-hard", &body.to_string());
        thread::sleep(Duration::from_millis(200));
    }
}
