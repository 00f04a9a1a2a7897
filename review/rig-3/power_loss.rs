//! A loss of power of all machines, from which one doesn't come back.
//!
//! Broken is the rule if, of the requests sent later than the recovery time after the others are back, less
//! than a quarter is served, though more was before.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::deployment::{Deployment, HostSpec};
use crate::http::Conn;
use crate::record::Record;

const CONFIG: &str = r#"{"Version":"00000007","Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Listeners":[{"Host":"rings.example","Rules":[{"Name":"result-lookup","Kind":"safe","TargetLatencyMs":400,"Priority":2,"Match":{"PathPrefix":"/result/"},"Action":{"Service":"loftdesk","TimeoutMs":900,"MaxAttempts":2}}]}],"Clusters":[{"Name":"loftdesk","HealthCheckPath":"/health","MaxConnections":110,"Protocol":"h1","Tls":false,"WarmupS":3.0,"WarmupPerS":16.0,"Sharded":true,"WarmS":5.0,"Grants":"direct"}]}"#;
/// Settings from the bounds of the site, under the names of deploy/host.yaml.
const SETTINGS: &str = "hold_max_ms: 10000\ndrain_ms: 2000\ngrace_s: 6\nretry_ratio: 0.2\nretry_slack: 56\nretry_window_s: 10\ncpu_share: 0.2\nlink_mbps: 1000.0\n";
const MEMORY_MB: u32 = 260;
/// How long the machines are without power.
const DOWN: Duration = Duration::from_millis(1500);
const RECOVERY: Duration = Duration::from_secs(15);
/// How long the share of served requests is measured.
const MEASURED: Duration = Duration::from_secs(10);
/// Pause between two requests.
const INTERVAL: Duration = Duration::from_millis(25);
/// The machine that doesn't come back.
const LOST: usize = 2;

pub fn run(trouble: bool, record: &Arc<Record>) -> Verdict {
    let zones = ["ljubljana-a", "ljubljana-b", "ljubljana-c"];
    let names = ["h1", "h2", "h3"];
    let specs: Vec<HostSpec> = names
        .into_iter()
        .zip(zones)
        .map(|(name, zone)| HostSpec {
            name,
            service: "loftdesk",
            zone,
            sharded: true,
        })
        .collect();
    let mut deployment = match Deployment::start(CONFIG, &specs, SETTINGS, MEMORY_MB, record) {
        Ok(deployment) => deployment,
        Err(e) => return Verdict::CouldNotRun(e.to_string()),
    };
    if !deployment.await_ready(Duration::from_secs(30), record) {
        return Verdict::CouldNotRun("the daemons are not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(8));
    let callers: Vec<SocketAddr> = deployment.hosts[..LOST].iter().map(|h| h.callers).collect();
    let before = served_share(&callers, "before", record);
    record.say(&format!("served before: {before:.2}"));
    if before < 0.25 {
        return Verdict::CouldNotRun("requests are not served".to_owned());
    }
    record.line("all machines lose power");
    for index in 0..names.len() {
        deployment.kill_daemon(index);
        deployment.hosts[index].backend.crash();
    }
    thread::sleep(DOWN);
    for index in 0..names.len() {
        if trouble && index == LOST {
            record.line("h3 doesn't come back");
            continue;
        }
        deployment.restart_backend(index, record);
        if let Err(e) = deployment.start_daemon(index) {
            return Verdict::CouldNotRun(e.to_string());
        }
    }
    record.line("the machines are back");
    thread::sleep(RECOVERY);
    let after = served_share(&callers, "after", record);
    record.say(&format!(
        "served later than 15 s after the machines were back: {after:.2}"
    ));
    match after < 0.25 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Sends requests for all keys to the machines in turn; returns the share of those that are served.
fn served_share(callers: &[SocketAddr], name: &str, record: &Record) -> f64 {
    let started = Instant::now();
    let (mut sent, mut served) = (0u32, 0u32);
    while started.elapsed() < MEASURED {
        let id = format!("{name}-{sent}");
        // Spread over all keys.
        let key = (sent.wrapping_mul(40_503) % 65_536) as u16;
        let to = callers[sent as usize % callers.len()];
        record.line(&format!("sent {id} key {key} to {to}"));
        let status = send(to, &id, key);
        record.line(&format!("answered {id} {status:?}"));
        sent += 1;
        served += u32::from(matches!(status, Ok(200)));
        thread::sleep(INTERVAL);
    }
    f64::from(served) / f64::from(sent.max(1))
}

fn send(to: SocketAddr, id: &str, key: u16) -> io::Result<u16> {
    let mut conn = Conn::connect(to, Duration::from_secs(1), None)?;
    conn.stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    let headers = [
        ("Host", "rings.example".to_owned()),
        ("Request-Id", id.to_owned()),
        ("Deadline-Ms", "1000".to_owned()),
        ("Shard-Key", key.to_string()),
    ];
    conn.request("GET", "/result/x?w=20&b=500", &headers, b"")?;
    let answer = conn.read()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    Ok(answer.status())
}
