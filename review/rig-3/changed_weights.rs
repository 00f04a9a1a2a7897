//! A rollout that the operator completes: the old service's weight becomes 0.
//!
//! A route is split 90 to 10 between an old and a new service, as in the example of PROTOCOL.md's bodies. The
//! operator writes 0 and 1 in their place. Broken are requests that are sent later than `ConfigApplyMs` after
//! the store's ack and run by the old service. Nothing else is disturbed.
//!
//! With `TROUBLE=0` the weights are 0 and 1 from the start, and the operator's second version repeats them.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::Verdict;
use crate::deployment::{Deployment, HostSpec};
use crate::http::{self, Conn};
use crate::record::Record;

const OLD: &str = "ringvault";
const NEW: &str = "ringvault-next";
/// Settings from the bounds of the site, under the names of deploy/host.yaml.
const SETTINGS: &str = "hold_max_ms: 10000\ndrain_ms: 2000\ngrace_s: 6\nretry_ratio: 0.2\nretry_slack: 56\nretry_window_s: 10\ncpu_share: 0.2\nlink_mbps: 1000.0\n";
const MEMORY_MB: u32 = 260;
const CONFIG_APPLY: Duration = Duration::from_millis(2000);
/// How long requests are sent before the change. A backend that has just started is slow for some seconds.
const BEFORE: Duration = Duration::from_secs(15);
/// How long requests are judged after the change.
const JUDGED: Duration = Duration::from_secs(20);
/// Requesters at each machine. With the pauses below and the work, a machine gets about 2.4 requests a
/// second: the site's `ring-transfer` has 23.4 a second at nine machines.
const REQUESTERS_EACH: usize = 2;
/// The shortest pause of a requester between two requests, in milliseconds.
const PAUSE_MS_MIN: u64 = 500;
/// By how much a pause may be longer, in milliseconds.
const PAUSE_MS_SPREAD: u64 = 450;
/// The fewest requests that must have been served before the change for the case to say something.
const SERVED_MIN: usize = 150;

/// A request that a backend answered.
struct Served {
    sent_at: Instant,
    id: String,
    /// The host whose backend ran it, from its signature.
    host: String,
}

pub fn run(trouble: bool, record: &Arc<Record>) -> Verdict {
    let zones = ["ljubljana-a", "ljubljana-b", "ljubljana-c"];
    let olds = ["old1", "old2", "old3", "old4", "old5"];
    let news = ["new1", "new2", "new3", "new4"];
    let named = |names: &[&'static str], service| -> Vec<HostSpec> {
        let specs = names.iter().zip(zones.into_iter().cycle());
        specs
            .map(|(&name, zone)| HostSpec {
                name,
                service,
                zone,
                sharded: false,
            })
            .collect()
    };
    let mut specs = named(&olds, OLD);
    specs.extend(named(&news, NEW));
    let first = match trouble {
        true => config("00000007", [90, 10], false),
        false => config("00000007", [0, 1], false),
    };
    let deployment = match Deployment::start(&first, &specs, SETTINGS, MEMORY_MB, record) {
        Ok(deployment) => deployment,
        Err(e) => return Verdict::CouldNotRun(e.to_string()),
    };
    if !deployment.await_ready(Duration::from_secs(30), record) {
        return Verdict::CouldNotRun("the daemons are not ready".to_owned());
    }
    let machines: Vec<SocketAddr> = deployment.hosts.iter().map(|h| h.callers).collect();
    let requesters = Requesters::start(&machines, record);
    thread::sleep(BEFORE);
    let (old, new) = requesters.count(None);
    record.say(&format!(
        "before the change: {old} requests ran at {OLD}, {new} at {NEW}"
    ));
    if old + new < SERVED_MIN {
        return Verdict::CouldNotRun("requests are not served".to_owned());
    }
    record.line("the operator writes version 0000000b");
    let store = &deployment.store;
    store.put("op/config", config("0000000b", [0, 1], true).as_bytes());
    let acknowledged = Instant::now();
    thread::sleep(CONFIG_APPLY);
    let in_force = machines.iter().filter(|m| has_new_route(**m, record));
    let in_force = in_force.count();
    record.say(&format!(
        "{in_force} of {} machines serve the route that the new version adds, {:.1} s after its ack",
        machines.len(),
        acknowledged.elapsed().as_secs_f64()
    ));
    thread::sleep(JUDGED.saturating_sub(acknowledged.elapsed()));
    let (old, new) = requesters.count(Some(acknowledged + CONFIG_APPLY));
    requesters.stop(acknowledged, record);
    record.say(&format!(
        "sent later than {} ms after the ack: {old} requests ran at {OLD}, whose weight is 0, and {new} at {NEW}",
        CONFIG_APPLY.as_millis()
    ));
    match (old, new) {
        (0, 0) => Verdict::CouldNotRun("no request was served after the change".to_owned()),
        (0, _) => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// Returns the operator's desired state with the weights of the old and the new service; `adds_route` adds
/// a route of the new service, which shows that this version is in force.
fn config(version: &str, [old, new]: [u32; 2], adds_route: bool) -> String {
    let added = match adds_route {
        true => format!(
            r#",{{"Name":"ring-list","Kind":"safe","TargetLatencyMs":300,"Priority":2,"Match":{{"PathPrefix":"/list/"}},"Action":{{"Service":"{NEW}","TimeoutMs":800,"MaxAttempts":2}}}}"#
        ),
        false => String::new(),
    };
    let cluster = |name: &str| {
        format!(
            r#"{{"Name":"{name}","HealthCheckPath":"/health","MaxConnections":110,"Protocol":"h1","Tls":false,"WarmupS":3.0,"WarmupPerS":16.0}}"#
        )
    };
    format!(
        r#"{{"Version":"{version}","Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"Listeners":[{{"Host":"rings.example","Rules":[{{"Name":"ring-transfer","Kind":"non_idempotent","TargetLatencyMs":300,"Priority":1,"Match":{{"PathPrefix":"/transfer/"}},"Action":{{"WeightedServices":[{{"Service":"{OLD}","Weight":{old}}},{{"Service":"{NEW}","Weight":{new}}}],"TimeoutMs":800,"MaxAttempts":2}}}}{added}]}}],"Clusters":[{},{}]}}"#,
        cluster(OLD),
        cluster(NEW)
    )
}

/// Returns whether a machine serves the route that only the new version has.
fn has_new_route(machine: SocketAddr, record: &Record) -> bool {
    let headers = [
        ("Host", "rings.example".to_owned()),
        ("Request-Id", format!("p-{}", machine.ip())),
        ("Deadline-Ms", "800".to_owned()),
    ];
    let timeout = Duration::from_secs(1);
    let answer = http::call(machine, "GET", "/list/x?w=10&b=100", &headers, b"", timeout);
    let status = answer.map(|a| a.status());
    record.line(&format!("the new route at {machine}: {status:?}"));
    matches!(status, Ok(200))
}

/// Requesters at all machines: each sends one request after the other, on a connection that it keeps.
struct Requesters {
    served: Arc<Mutex<Vec<Served>>>,
    stopping: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Requesters {
    fn start(machines: &[SocketAddr], record: &Arc<Record>) -> Self {
        let (served, stopping) = (
            Arc::<Mutex<Vec<Served>>>::default(),
            Arc::<AtomicBool>::default(),
        );
        let spawn = |number: usize, to: SocketAddr| {
            let (served, stopping) = (Arc::clone(&served), Arc::clone(&stopping));
            let record = Arc::clone(record);
            thread::spawn(move || {
                let (mut conn, mut count) = (None, 0);
                let mut pauses = Pauses::new(number);
                while !stopping.load(Ordering::SeqCst) {
                    count += 1;
                    let id = format!("r{number}-{count}");
                    let sent_at = Instant::now();
                    match send(&mut conn, to, &id, &record) {
                        Ok(Some(host)) => served.lock().unwrap().push(Served { sent_at, id, host }),
                        Ok(None) => {}
                        Err(e) => {
                            record.line(&format!("failed {id}: {e}"));
                            conn = None;
                        }
                    }
                    thread::sleep(pauses.next());
                }
            })
        };
        let threads = (0..machines.len() * REQUESTERS_EACH)
            .map(|number| spawn(number, machines[number % machines.len()]))
            .collect();
        Self {
            served,
            stopping,
            threads,
        }
    }

    /// Returns how many requests ran at the old and at the new service, of those sent after `since`.
    fn count(&self, since: Option<Instant>) -> (usize, usize) {
        let served = self.served.lock().unwrap();
        let counted = served
            .iter()
            .filter(|s| since.is_none_or(|t| s.sent_at > t));
        let (old, new): (Vec<&Served>, Vec<&Served>) =
            counted.partition(|s| s.host.starts_with("old"));
        (old.len(), new.len())
    }

    /// Stops the requesters, and records the late requests that the old service ran.
    fn stop(self, acknowledged: Instant, record: &Record) {
        self.stopping.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        for served in self.served.lock().unwrap().iter() {
            let after = served.sent_at.saturating_duration_since(acknowledged);
            if after > CONFIG_APPLY && served.host.starts_with("old") {
                let (id, host) = (&served.id, &served.host);
                let after = after.as_secs_f64();
                record.line(&format!(
                    "late: {id}, sent {after:.1} s after the ack, ran at {host}"
                ));
            }
        }
    }
}

/// The pauses of a requester, drawn at random.
struct Pauses(u64);

impl Pauses {
    fn new(number: usize) -> Self {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let nanos = now.map_or(0, |d| d.subsec_nanos());
        Self(u64::from(nanos) ^ (number as u64 + 1) << 32)
    }

    fn next(&mut self) -> Duration {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005);
        self.0 = self.0.wrapping_add(1_442_695_040_888_963_407);
        Duration::from_millis(PAUSE_MS_MIN + (self.0 >> 33) % PAUSE_MS_SPREAD)
    }
}

/// Sends a request; returns the host whose backend ran it, or `None` if it was answered with a failure.
fn send(
    conn: &mut Option<Conn>,
    to: SocketAddr,
    id: &str,
    record: &Record,
) -> io::Result<Option<String>> {
    let mut kept = match conn.take() {
        Some(kept) => kept,
        None => Conn::connect(to, Duration::from_secs(1), None)?,
    };
    let timeout = Duration::from_millis(1000);
    kept.stream.set_read_timeout(Some(timeout))?;
    let headers = [
        ("Host", "rings.example".to_owned()),
        ("Request-Id", id.to_owned()),
        ("Deadline-Ms", "800".to_owned()),
    ];
    record.line(&format!("sent {id} to {to}"));
    kept.request("POST", "/transfer/x?w=96&b=1500", &headers, b"ring")?;
    let answer = kept.read()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let signature = answer.header("response-signature").unwrap_or_default();
    let host = signature.split('.').next().unwrap_or_default().to_owned();
    record.line(&format!("answered {id} {} by {host}", answer.status()));
    let closes = answer.header("connection");
    if closes.is_none_or(|c| !c.eq_ignore_ascii_case("close")) {
        *conn = Some(kept);
    }
    Ok((answer.status() == 200).then_some(host))
}
