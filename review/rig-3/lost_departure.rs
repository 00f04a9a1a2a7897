//! An acknowledged departure that is lost in a rolling restart.
//!
//! The store turns one machine away. The backend there says that it leaves, gets its ack, and serves on for
//! many seconds. Meanwhile the machines of the system are stopped and started in turn, that one last. Broken
//! are requests that reach the backend from machines in touch later than the drain timeout after the ack.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::deployment::{Deployment, HostSpec};
use crate::http::Conn;
use crate::record::Record;
use crate::sys;

const CONFIG: &str = r#"{"Version":"00000007","Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Listeners":[{"Host":"rings.example","Rules":[{"Name":"ring-transfer","Kind":"non_idempotent","TargetLatencyMs":300,"Priority":1,"Match":{"PathPrefix":"/transfer/"},"Action":{"Service":"ringvault","TimeoutMs":800,"MaxAttempts":2}}]}],"Clusters":[{"Name":"ringvault","HealthCheckPath":"/health","MaxConnections":110,"Protocol":"h1","Tls":false,"WarmupS":3.0,"WarmupPerS":16.0}]}"#;
/// Settings from the bounds of the site, under the names of deploy/host.yaml.
const SETTINGS: &str = "hold_max_ms: 10000\ndrain_ms: 2000\ngrace_s: 6\nretry_ratio: 0.2\nretry_slack: 56\nretry_window_s: 10\ncpu_share: 0.2\nlink_mbps: 1000.0\n";
const MEMORY_MB: u32 = 260;
const DRAIN_TIMEOUT: Duration = Duration::from_millis(2000);
const CONTACT: Duration = Duration::from_millis(3000);
const GRACE: Duration = Duration::from_secs(6);
/// How long the store turns the machine away.
const REFUSAL: Duration = Duration::from_secs(9);
/// Pause between the stops of two machines.
const STOP_GAP: Duration = Duration::from_secs(2);
/// How long a process that has ended stays down.
const DOWN: Duration = Duration::from_millis(500);
/// How long the backend serves on after its ack.
const STAY: Duration = Duration::from_secs(15);
/// Requesters at all machines together.
const REQUESTERS: usize = 30;
/// The host whose backend leaves.
const LEAVING: usize = 0;

pub fn run(trouble: bool, record: &Arc<Record>) -> Verdict {
    let zones = ["ljubljana-a", "ljubljana-b", "ljubljana-c"];
    let names = ["h1", "h2", "h3"];
    let specs: Vec<HostSpec> = names
        .into_iter()
        .zip(zones)
        .map(|(name, zone)| HostSpec {
            name,
            service: "ringvault",
            zone,
            sharded: false,
        })
        .collect();
    let deployment = match Deployment::start(CONFIG, &specs, SETTINGS, MEMORY_MB, record) {
        Ok(deployment) => deployment,
        Err(e) => return Verdict::CouldNotRun(e.to_string()),
    };
    if !deployment.await_ready(Duration::from_secs(30), record) {
        return Verdict::CouldNotRun("the daemons are not ready".to_owned());
    }
    let requesters =
        Requesters::start(deployment.hosts.iter().map(|h| h.callers).collect(), record);
    thread::sleep(Duration::from_secs(5));
    let served = requesters.served.load(Ordering::SeqCst);
    record.say(&format!("{served} requests served before"));
    if served < 100 {
        return Verdict::CouldNotRun("requests are not served".to_owned());
    }
    let refused = deployment.hosts[LEAVING].callers.ip();
    let refused_at = Instant::now();
    if trouble {
        record.line("the store turns h1 away");
        deployment.store.set_refused(refused, true);
    }
    thread::sleep(Duration::from_millis(700));
    let host = &deployment.hosts[LEAVING];
    let ack = host.backend.deregister(host.reports);
    record.say(&format!("h1's backend says that it leaves: {ack:?}"));
    if !matches!(ack, Ok(200)) {
        return Verdict::CouldNotRun("the departure was not acknowledged".to_owned());
    }
    let acknowledged = Instant::now();
    let deployment = Arc::new(Mutex::new(deployment));
    let mut restarts = Vec::new();
    for index in [1, 2, LEAVING] {
        thread::sleep(if index == 1 {
            Duration::from_millis(300)
        } else {
            STOP_GAP
        });
        restarts.push(restart(&deployment, index, record));
    }
    let mut last_start = acknowledged;
    for restart in restarts {
        last_start = last_start.max(restart.join().expect("a restart"));
    }
    thread::sleep(REFUSAL.saturating_sub(refused_at.elapsed()));
    let store = Arc::clone(&deployment.lock().unwrap().store);
    store.set_refused(refused, false);
    record.line("the store serves h1 again");
    let in_touch = (refused_at + REFUSAL).max(last_start) + CONTACT;
    let judged = in_touch.max(acknowledged + DRAIN_TIMEOUT);
    thread::sleep(judged.saturating_duration_since(Instant::now()));
    record.line("all machines are in touch again");
    let backend = Arc::clone(&deployment.lock().unwrap().hosts[LEAVING].backend);
    let before = backend.runs.load(Ordering::SeqCst);
    thread::sleep((acknowledged + STAY).saturating_duration_since(Instant::now()));
    let late = backend.runs.load(Ordering::SeqCst) - before;
    let span = judged.duration_since(acknowledged).as_secs_f64();
    record.say(&format!("{late} requests reached the backend more than {span:.1} s after the ack, by machines in touch"));
    requesters.stop();
    match late {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// Stops and starts a daemon; the thread returns when it was started.
fn restart(
    deployment: &Arc<Mutex<Deployment>>,
    index: usize,
    record: &Arc<Record>,
) -> JoinHandle<Instant> {
    let daemon = {
        let mut deployment = deployment.lock().unwrap();
        record.line(&format!("SIGTERM to {}", deployment.hosts[index].name));
        deployment.signal_daemon(index, sys::SIGTERM);
        deployment.take_daemon(index)
    };
    let (deployment, record) = (Arc::clone(deployment), Arc::clone(record));
    thread::spawn(move || {
        Deployment::await_end(daemon, GRACE);
        thread::sleep(DOWN);
        let mut deployment = deployment.lock().unwrap();
        record.line(&format!("{} starts again", deployment.hosts[index].name));
        if let Err(e) = deployment.start_daemon(index) {
            record.say(&format!("not started: {e}"));
        }
        Instant::now()
    })
}

/// Requesters at all machines: each sends one request after the other, on a connection that it keeps.
struct Requesters {
    served: Arc<AtomicU32>,
    stopping: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Requesters {
    fn start(machines: Vec<SocketAddr>, record: &Arc<Record>) -> Self {
        let (served, stopping) = (Arc::<AtomicU32>::default(), Arc::<AtomicBool>::default());
        let spawn = |number: usize, to: SocketAddr| {
            let (served, stopping) = (Arc::clone(&served), Arc::clone(&stopping));
            let record = Arc::clone(record);
            thread::spawn(move || {
                let mut conn = None;
                let mut count = 0;
                while !stopping.load(Ordering::SeqCst) {
                    count += 1;
                    let id = format!("r{number}-{count}");
                    match send(&mut conn, to, &id, &record) {
                        Ok(200) => _ = served.fetch_add(1, Ordering::SeqCst),
                        Ok(_) => {}
                        Err(e) => {
                            record.line(&format!("failed {id}: {e}"));
                            conn = None;
                        }
                    }
                    thread::sleep(Duration::from_millis(50));
                }
            })
        };
        let threads = (0..REQUESTERS)
            .map(|number| spawn(number, machines[number % machines.len()]))
            .collect();
        Self {
            served,
            stopping,
            threads,
        }
    }

    fn stop(self) {
        self.stopping.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

fn send(conn: &mut Option<Conn>, to: SocketAddr, id: &str, record: &Record) -> io::Result<u16> {
    let mut kept = match conn.take() {
        Some(kept) => kept,
        None => Conn::connect(to, Duration::from_secs(1), None)?,
    };
    kept.stream
        .set_read_timeout(Some(Duration::from_millis(1000)))?;
    let headers = [
        ("Host", "rings.example".to_owned()),
        ("Request-Id", id.to_owned()),
        ("Deadline-Ms", "800".to_owned()),
    ];
    record.line(&format!("sent {id} to {to}"));
    kept.request("POST", "/transfer/x?w=96&b=1500", &headers, b"ring")?;
    let answer = kept.read()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    record.line(&format!("answered {id} {}", answer.status()));
    if answer
        .header("connection")
        .is_none_or(|c| !c.eq_ignore_ascii_case("close"))
    {
        *conn = Some(kept);
    }
    Ok(answer.status())
}
