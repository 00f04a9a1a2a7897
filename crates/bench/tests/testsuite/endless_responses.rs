//! A faulty upstream that sends bytes without end, tested on real processes.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use foxtaildrift_bench::host_cluster::HostCluster;
use foxtaildrift_bench::upstream_options::UpstreamOptions;
use serde_json::json;

use crate::host;

/// The memory of the smallest hosts, in bytes.
const HOST_MEMORY: u64 = 160 * 1024 * 1024;
/// The number of requests that the faulty upstream accepts at once.
const SLOTS: usize = 48;
/// How long the upstream sends responses of one kind.
const KIND_TIME: Duration = Duration::from_millis(2500);
/// The size of one write of the faulty upstream.
const WRITE_BYTES: usize = 64 * 1024;

/// What a response consists of: its begin, and what is repeated without end.
struct Endless {
    name: &'static str,
    begin: &'static str,
    repeated: &'static [u8],
}

/// `{id}` stands for the id of the request.
const KINDS: [Endless; 6] = [
    Endless {
        name: "bytes that are no head",
        begin: "",
        repeated: b"x",
    },
    Endless {
        name: "header lines",
        begin: "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n",
        repeated: b"x-more: and more\r\n",
    },
    Endless {
        name: "interim responses",
        begin: "",
        repeated: b"HTTP/1.1 103 Early Hints\r\n\r\n",
    },
    Endless {
        name: "a body until the close",
        begin: "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n\r\n",
        repeated: b"more ",
    },
    Endless {
        name: "chunks",
        begin: "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n",
        repeated: b"10\r\n0123456789abcdef\r\n",
    },
    Endless {
        name: "a body with a length",
        begin: "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\nContent-Length: 4294967296\r\n\r\n",
        repeated: b"more ",
    },
];

/// Guards against a daemon that keeps all the bytes of a faulty upstream and runs out of memory, so
/// that the requests of its other callers end with it (LOST).
#[test]
fn a_daemon_does_not_keep_responses_without_end() {
    let _lock = crate::daemon::lock_environment();
    let services = ["office", "desk", "desk"];
    let mut cluster = host::start_ready_cluster(&services, UpstreamOptions::default());
    cluster.kill_upstream(0).unwrap();
    let listener = TcpListener::bind(cluster.upstream_address(0)).unwrap();
    let stopping = AtomicBool::new(false);
    for kind in &KINDS {
        stopping.store(false, Ordering::SeqCst);
        let cluster = &cluster;
        thread::scope(|scope| {
            let (listener, stopping) = (&listener, &stopping);
            scope.spawn(move || serve_endless(listener, kind, stopping));
            scope.spawn(move || report(cluster, stopping));
            for caller in 0..2 * SLOTS {
                scope.spawn(move || call(cluster, caller % services.len(), stopping));
            }
            thread::sleep(KIND_TIME);
            stopping.store(true, Ordering::SeqCst);
            // Ends the wait for a connection.
            let _ = TcpStream::connect(cluster.upstream_address(0));
        });
        for number in 0..services.len() {
            let peak = cluster.peak_memory(number).expect("the daemon runs");
            assert!(
                peak < HOST_MEMORY,
                "{}: {peak} bytes at host {number}",
                kind.name
            );
        }
    }
}

/// Accepts connections until `stopping` is set, and responds to each without end.
fn serve_endless(listener: &TcpListener, kind: &Endless, stopping: &AtomicBool) {
    thread::scope(|scope| {
        for stream in listener.incoming() {
            if stopping.load(Ordering::SeqCst) {
                return;
            }
            scope.spawn(move || respond(&stream.unwrap(), kind));
        }
    });
}

fn respond(mut stream: &TcpStream, kind: &Endless) {
    stream
        .set_read_timeout(Some(Duration::from_millis(300)))
        .unwrap();
    let mut head = Vec::new();
    let mut buf = [0; 4096];
    while !head.windows(4).any(|w| w == b"\r\n\r\n") {
        match stream.read(&mut buf) {
            Ok(count) if count > 0 => head.extend_from_slice(&buf[..count]),
            _ => return,
        }
    }
    let head = String::from_utf8_lossy(&head);
    let id = head.lines().find_map(|l| l.strip_prefix("Request-Id: "));
    let begin = kind.begin.replace("{id}", id.unwrap_or_default());
    let _ = stream.write_all(begin.as_bytes());
    let repeated = kind.repeated.repeat(WRITE_BYTES / kind.repeated.len());
    // Until the daemon closes: an orderly close would complete a body without a length.
    while stream.write_all(&repeated).is_ok() {}
}

/// Reports to the daemon in the name of the faulty upstream.
fn report(cluster: &HostCluster, stopping: &AtomicBool) {
    let started = Instant::now();
    while !stopping.load(Ordering::SeqCst) {
        // The kinds follow each other, so the sequence rises over all of them.
        let sequence = std::time::UNIX_EPOCH.elapsed().unwrap().as_millis() as u64;
        let body = json!({
            "Address": cluster.upstream_address(0).to_string(),
            "born": 9_000_000_000_000u64,
            "Info": {"Service": "office", "Version": "v1", "Zone": "domain-0", "Slots": SLOTS},
            "Status": {"State": "ready", "Sequence": sequence, "WarmupRemainingMs": 0},
        });
        let _ = cluster.report(0, "/Instances.Heartbeat/i-endless", &body.to_string());
        thread::sleep(Duration::from_millis(100));
        assert!(started.elapsed() < Duration::from_secs(60));
    }
}

/// Sends requests until `stopping` is set. None of them may succeed.
fn call(cluster: &HostCluster, entry: usize, stopping: &AtomicBool) {
    while !stopping.load(Ordering::SeqCst) {
        let response = cluster.request(entry, "POST", "/pay/x", None);
        if let Ok(response) = response {
            assert!(
                matches!(response.status, 502..=504),
                "{} with {} bytes",
                response.status,
                response.body.len()
            );
        }
    }
}
