//! Requesters that read their answers slowly.
//!
//! Each requester keeps its connection: a first request is answered at once. Then the machine gets a SIGHUP,
//! and each sends a second request on the same connection, which it begins to read late, though well within
//! its time limit. Broken are answers of which the connection's end was seen and not the whole body.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::deployment::{Deployment, HostSpec};
use crate::http::Conn;
use crate::record::Record;
use crate::sys;

const CONFIG: &str = r#"{"Version":"00000007","Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Listeners":[{"Host":"radio.example","Rules":[{"Name":"episode-play","Kind":"safe","TargetLatencyMs":500,"Priority":0,"Match":{"PathPrefix":"/play/"},"Action":{"Service":"ouvinte","TimeoutMs":4900,"MaxAttempts":2}}]}],"Clusters":[{"Name":"ouvinte","HealthCheckPath":"/health","MaxConnections":490,"Protocol":"h1","Tls":false,"WarmupS":3.0,"WarmupPerS":16.0}]}"#;
/// Settings from the bounds of the site, under the names of deploy/host.yaml.
const SETTINGS: &str = "hold_max_ms: 10000\ndrain_ms: 2500\ngrace_s: 6\nretry_ratio: 0.2\nretry_slack: 184\nretry_window_s: 10\ncpu_share: 0.5\nlink_mbps: 200.0\n";
const MEMORY_MB: u32 = 512;
/// Requesters on the machine.
const REQUESTERS: usize = 12;
/// The time limit of `episode-play`.
const TIME_LIMIT: Duration = Duration::from_millis(5000);
/// The largest answer of `episode-play`.
const ANSWER_BYTES: usize = 30_000;
/// What a requester's machine has room for while it does not read.
const RECEIVE_BUFFER: i32 = 4096;
/// How late the requester begins to read.
const READ_PAUSE: Duration = Duration::from_millis(3500);
/// The most connections that the rule lets a machine close without an answer.
const CLOSED_MAX: usize = 3;

/// How a request ended.
#[derive(Debug)]
enum End {
    Answered,
    /// The connection ended before the answer was whole.
    Cut,
    Other(String),
}

pub fn run(trouble: bool, record: &Arc<Record>) -> Verdict {
    let specs = ["h1", "h2", "h3"].map(|name| HostSpec {
        name,
        service: "ouvinte",
        zone: match name {
            "h1" => "lajeado",
            "h2" => "estrela",
            _ => "encantado",
        },
        sharded: false,
    });
    let deployment = match Deployment::start(CONFIG, &specs, SETTINGS, MEMORY_MB, record) {
        Ok(deployment) => deployment,
        Err(e) => return Verdict::CouldNotRun(e.to_string()),
    };
    if !deployment.await_ready(Duration::from_secs(30), record) {
        return Verdict::CouldNotRun("the daemons are not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(5));
    let callers = deployment.hosts[0].callers;
    let mut connections = Vec::new();
    for number in 0..REQUESTERS {
        match first_request(callers, number, record) {
            Ok(conn) => connections.push(conn),
            Err(e) => return Verdict::CouldNotRun(format!("a first request: {e}")),
        }
    }
    record.line("SIGHUP to h1");
    deployment.signal_daemon(0, sys::SIGHUP);
    thread::sleep(Duration::from_millis(300));
    let pause = if trouble { READ_PAUSE } else { Duration::ZERO };
    let threads: Vec<_> = connections
        .into_iter()
        .enumerate()
        .map(|(number, conn)| {
            let record = Arc::clone(record);
            thread::spawn(move || second_request(conn, number, pause, &record))
        })
        .collect();
    let ends: Vec<End> = threads
        .into_iter()
        .map(|t| t.join().expect("a requester"))
        .collect();
    for end in &ends {
        if let End::Other(reason) = end {
            record.line(&format!("ended otherwise: {reason}"));
        }
    }
    let cut = ends.iter().filter(|e| matches!(e, End::Cut)).count();
    let other = ends.iter().filter(|e| matches!(e, End::Other(_))).count();
    record.say(&format!("of {REQUESTERS} requests, {cut} connections ended before the answer was whole, {other} ended otherwise"));
    match cut > CLOSED_MAX {
        true => Verdict::Broken,
        false if other > 0 => Verdict::CouldNotRun("requests failed otherwise".to_owned()),
        false => Verdict::Held,
    }
}

fn headers(id: &str) -> [(&'static str, String); 3] {
    [
        ("Host", "radio.example".to_owned()),
        ("Request-Id", id.to_owned()),
        ("Deadline-Ms", TIME_LIMIT.as_millis().to_string()),
    ]
}

/// Sends a short request on a new connection, and keeps it.
fn first_request(to: SocketAddr, number: usize, record: &Record) -> io::Result<Conn> {
    let mut conn = Conn::connect(to, Duration::from_secs(1), Some(RECEIVE_BUFFER))?;
    conn.stream.set_read_timeout(Some(TIME_LIMIT))?;
    let id = format!("first-{number}");
    record.line(&format!("sent {id}"));
    conn.request("GET", "/play/a?w=20&b=400", &headers(&id), b"")?;
    let answer = conn.read()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    record.line(&format!(
        "answered {id} {} {} bytes",
        answer.status(),
        answer.body.len()
    ));
    match answer.status() {
        200 => Ok(conn),
        status => Err(io::Error::other(format!("status {status}"))),
    }
}

/// Sends a request on a kept connection, and begins to read its answer after `pause`.
fn second_request(mut conn: Conn, number: usize, pause: Duration, record: &Record) -> End {
    let id = format!("second-{number}");
    let started = Instant::now();
    record.line(&format!("sent {id}"));
    let target = format!("/play/b?w=200&b={ANSWER_BYTES}");
    if let Err(e) = conn.request("GET", &target, &headers(&id), b"") {
        return End::Other(e.to_string());
    }
    thread::sleep(pause);
    let left = TIME_LIMIT.saturating_sub(started.elapsed());
    let _ = conn.stream.set_read_timeout(Some(left));
    let read = conn.read();
    let ms = started.elapsed().as_millis();
    match read {
        Ok(Some(answer)) if answer.status() == 200 && answer.body.len() == ANSWER_BYTES => {
            record.line(&format!(
                "answered {id} 200 {ANSWER_BYTES} bytes after {ms} ms"
            ));
            End::Answered
        }
        Ok(Some(answer)) => {
            record.line(&format!("answered {id} {} after {ms} ms", answer.status()));
            End::Other(format!("status {}", answer.status()))
        }
        Err(e)
            if matches!(
                e.kind(),
                io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
            ) =>
        {
            record.line(&format!("time limit {id} after {ms} ms"));
            End::Other("time limit".to_owned())
        }
        Ok(None) => {
            record.line(&format!("closed {id} after {ms} ms: no answer"));
            End::Cut
        }
        Err(e) => {
            record.line(&format!("cut {id} after {ms} ms: {e}"));
            End::Cut
        }
    }
}
