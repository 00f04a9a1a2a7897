//! A backend that reads the bodies of uploads slowly, while it is at work on them.
//!
//! The machine gets a SIGTERM. Right after it each requester sends an upload on a connection that it keeps. The
//! backend begins to work at the head, and reads the body late, though well before the end of the grace period
//! and of the time limit. Broken is the rule if the requester gets an answer of the machine in place of the
//! backend's, or none.

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

const CONFIG: &str = r#"{"Version":"00000007","Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Listeners":[{"Host":"radio.example","Rules":[{"Name":"field-upload","Kind":"upload","TargetLatencyMs":1000,"Priority":1,"Match":{"PathPrefix":"/upload/"},"Action":{"Service":"acervo","TimeoutMs":5900,"MaxAttempts":2}}]}],"Clusters":[{"Name":"acervo","HealthCheckPath":"/health","MaxConnections":490,"Protocol":"h1","Tls":false,"WarmupS":3.0,"WarmupPerS":16.0}]}"#;
/// Settings from the bounds of the site, under the names of deploy/host.yaml.
const SETTINGS: &str = "hold_max_ms: 10000\ndrain_ms: 2500\ngrace_s: 6\nretry_ratio: 0.2\nretry_slack: 184\nretry_window_s: 10\ncpu_share: 0.5\nlink_mbps: 200.0\n";
const MEMORY_MB: u32 = 512;
/// Requesters on the machine.
const REQUESTERS: usize = 4;
/// The time limit of `field-upload`.
const TIME_LIMIT: Duration = Duration::from_millis(6000);
/// The largest body of `field-upload`.
const BODY_BYTES: usize = 360_000;
/// How late the backend reads the body, in milliseconds.
const READ_PAUSE_MS: u32 = 3300;

pub fn run(trouble: bool, record: &Arc<Record>) -> Verdict {
    // While h1 stops, its uploads go to the backend of h2.
    let specs = [("h1", "lajeado"), ("h2", "estrela")].map(|(name, zone)| HostSpec {
        name,
        service: "acervo",
        zone,
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
        let id = format!("first-{number}");
        let sent = connect(callers).and_then(|mut conn| {
            let status = upload(&mut conn, &id, "/upload/a?w=50&b=400", 4000, record)?;
            Ok((conn, status))
        });
        match sent {
            Ok((conn, 200)) => connections.push(conn),
            other => {
                let other = other.map(|(_, status)| status);
                return Verdict::CouldNotRun(format!("a first upload: {other:?}"));
            }
        }
    }
    record.line("SIGTERM to h1");
    deployment.signal_daemon(0, sys::SIGTERM);
    thread::sleep(Duration::from_millis(300));
    let pause = if trouble { READ_PAUSE_MS } else { 0 };
    let threads: Vec<_> = connections
        .into_iter()
        .enumerate()
        .map(|(number, mut conn)| {
            let record = Arc::clone(record);
            let target = format!("/upload/b?w=100&b=400&p={pause}");
            let id = format!("second-{number}");
            thread::spawn(move || upload(&mut conn, &id, &target, BODY_BYTES, &record))
        })
        .collect();
    let ends = threads.into_iter().map(|t| t.join().expect("a requester"));
    let ends: Vec<_> = ends.collect();
    if ends.iter().any(|end| matches!(end, Ok(503))) {
        return Verdict::CouldNotRun("an upload was refused, and did not run".to_owned());
    }
    let lost = ends.iter().filter(|end| !matches!(end, Ok(200))).count();
    record.say(&format!(
        "of {REQUESTERS} uploads at work, {lost} were broken off"
    ));
    match lost {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

fn connect(to: SocketAddr) -> io::Result<Conn> {
    let conn = Conn::connect(to, Duration::from_secs(1), None)?;
    conn.stream.set_read_timeout(Some(TIME_LIMIT))?;
    Ok(conn)
}

/// Sends an upload on a kept connection; returns the status of the answer.
fn upload(
    conn: &mut Conn,
    id: &str,
    target: &str,
    bytes: usize,
    record: &Record,
) -> io::Result<u16> {
    let headers = [
        ("Host", "radio.example".to_owned()),
        ("Request-Id", id.to_owned()),
        ("Deadline-Ms", TIME_LIMIT.as_millis().to_string()),
    ];
    let started = Instant::now();
    record.line(&format!("sent {id}"));
    let answer = conn
        .request("POST", target, &headers, &vec![b'u'; bytes])
        .and_then(|()| conn.read())
        .and_then(|answer| answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into()));
    let ms = started.elapsed().as_millis();
    match answer {
        Ok(answer) => {
            let text = String::from_utf8_lossy(&answer.body[..answer.body.len().min(80)]);
            let signed = answer.header("response-signature").is_some();
            record.line(&format!(
                "answered {id} {} signed {signed} after {ms} ms: {}",
                answer.status(),
                text.trim()
            ));
            Ok(answer.status())
        }
        Err(e) => {
            record.line(&format!("failed {id} after {ms} ms: {e}"));
            Err(e)
        }
    }
}
