//! A request that crashes the backends that run it, before, during and after a rolling restart.
//!
//! The request comes until the machines refuse it. Then the machines of the system are stopped and started in
//! turn, and the request comes again, at one machine after the other, while all that run are in touch. Broken is the
//! rule if it reaches backends more than three times, sent by machines in touch, later than the contact
//! time after the third crash.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::deployment::{Deployment, HostSpec};
use crate::http::{self, Conn};
use crate::record::Record;
use crate::sys;

const CONFIG: &str = r#"{"Version":"00000007","Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Listeners":[{"Host":"rings.example","Rules":[{"Name":"ring-transfer","Kind":"non_idempotent","TargetLatencyMs":300,"Priority":1,"Match":{"PathPrefix":"/transfer/"},"Action":{"Service":"ringvault","TimeoutMs":800,"MaxAttempts":2}}]}],"Clusters":[{"Name":"ringvault","HealthCheckPath":"/health","MaxConnections":110,"Protocol":"h1","Tls":false,"WarmupS":3.0,"WarmupPerS":16.0}]}"#;
/// Settings from the bounds of the site, under the names of deploy/host.yaml.
const SETTINGS: &str = "hold_max_ms: 10000\ndrain_ms: 2000\ngrace_s: 6\nretry_ratio: 0.2\nretry_slack: 56\nretry_window_s: 10\ncpu_share: 0.2\nlink_mbps: 1000.0\n";
const MEMORY_MB: u32 = 260;
const CONTACT: Duration = Duration::from_millis(3000);
const GRACE: Duration = Duration::from_secs(6);
/// Pause between the stops of two machines: each is back before the next one stops.
const STOP_GAP: Duration = Duration::from_secs(6);
/// How long a process that has ended stays down.
const DOWN: Duration = Duration::from_millis(500);
/// How long a backend that has crashed stays down.
const BACKEND_DOWN: Duration = Duration::from_millis(2000);
/// How often the request comes during the restart, and how long afterwards.
const INTERVAL: Duration = Duration::from_millis(300);
const AFTERWARDS: Duration = Duration::from_secs(10);
/// How often the request comes before the restart, at most.
const TRIES_BEFORE: usize = 12;
/// The most retries after the third crash that the rule allows.
const RETRIES_MAX: usize = 3;

/// When a crashing request reached a backend, and whether the machines were in touch.
struct Arrival {
    at: Instant,
    in_touch: bool,
}

struct Run {
    deployment: Mutex<Deployment>,
    callers: Vec<SocketAddr>,
    record: Arc<Record>,
    /// When the daemon of each host was started; `None` while it stops.
    started: Mutex<Vec<Option<Instant>>>,
    arrivals: Mutex<Vec<Arrival>>,
    bystanders_lost: AtomicU32,
    stopping: AtomicBool,
}

pub fn run(trouble: bool, record: &Arc<Record>) -> Verdict {
    let zones = ["ljubljana-a", "ljubljana-b", "ljubljana-c"];
    let names = ["h1", "h2", "h3", "h4", "h5", "h6", "h7"];
    let specs: Vec<HostSpec> = names
        .into_iter()
        .enumerate()
        .map(|(i, name)| HostSpec {
            name,
            service: "ringvault",
            zone: zones[i % 3],
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
    let run = Arc::new(Run {
        callers: deployment.hosts.iter().map(|h| h.callers).collect(),
        started: Mutex::new(vec![Some(Instant::now()); deployment.hosts.len()]),
        deployment: Mutex::new(deployment),
        record: Arc::clone(record),
        arrivals: Mutex::default(),
        bystanders_lost: AtomicU32::new(0),
        stopping: AtomicBool::new(false),
    });
    let mut threads = vec![watch_backends(&run)];
    threads.extend((0..12).map(|number| bystander(&run, number)));
    thread::sleep(Duration::from_secs(6));
    let mut refused = 0;
    for number in 0..TRIES_BEFORE {
        let reached = run.arrivals();
        run.send_crashing(number % run.callers.len(), &format!("before-{number}"));
        thread::sleep(Duration::from_secs(1));
        refused = if run.arrivals() == reached {
            refused + 1
        } else {
            0
        };
        if refused == 3 {
            break;
        }
    }
    record.say(&format!(
        "the request reached backends {} times before it was refused",
        run.arrivals()
    ));
    if refused < 3 {
        return run.end(
            threads,
            Verdict::CouldNotRun("the request was not refused before".to_owned()),
        );
    }
    // All backends are back, and no longer cold.
    thread::sleep(Duration::from_secs(5));
    let restarting = Arc::clone(&run);
    let restarts = thread::spawn(move || {
        let mut restarts = Vec::new();
        for index in 0..restarting.callers.len() {
            let run = Arc::clone(&restarting);
            restarts.push(thread::spawn(move || {
                if trouble {
                    run.restart(index);
                }
            }));
            thread::sleep(STOP_GAP);
        }
        for restart in restarts {
            let _ = restart.join();
        }
    });
    let mut number = 0;
    let mut until = None;
    while until.is_none_or(|until| Instant::now() < until) {
        if restarts.is_finished() && until.is_none() {
            until = Some(Instant::now() + AFTERWARDS);
        }
        thread::sleep(INTERVAL);
        number += 1;
        let index = number % run.callers.len();
        if run.is_in_touch(index) && run.are_all_in_touch() {
            run.send_crashing(index, &format!("after-{number}"));
        }
    }
    thread::sleep(Duration::from_secs(3));
    let arrivals = run.arrivals.lock().unwrap();
    let third = arrivals.get(2).map(|a| a.at);
    let late = arrivals
        .iter()
        .filter(|a| a.in_touch && third.is_some_and(|t| a.at > t + CONTACT));
    let late = late.count();
    record.say(&format!(
        "the request crashed {} backends, {late} of them by machines in touch more than 3 s after the third crash; {} other requests were lost with them",
        arrivals.len(),
        run.bystanders_lost.load(Ordering::SeqCst)
    ));
    drop(arrivals);
    let verdict = match late > RETRIES_MAX {
        true => Verdict::Broken,
        false => Verdict::Held,
    };
    run.end(threads, verdict)
}

impl Run {
    fn arrivals(&self) -> usize {
        self.arrivals.lock().unwrap().len()
    }

    /// Returns whether the daemon of a host has run for the contact time.
    fn is_in_touch(&self, index: usize) -> bool {
        let started = self.started.lock().unwrap()[index];
        started.is_some_and(|at| at.elapsed() >= CONTACT)
    }

    /// Returns whether all daemons that run have done so for the contact time.
    fn are_all_in_touch(&self) -> bool {
        let started = self.started.lock().unwrap();
        started.iter().flatten().all(|at| at.elapsed() >= CONTACT)
    }

    /// Sends the crashing request to a machine: always the same path, caller and body.
    fn send_crashing(&self, index: usize, id: &str) {
        let headers = headers(&format!("crashing-{id}"));
        self.record
            .line(&format!("sent crashing-{id} to h{}", index + 1));
        let answer = http::call(
            self.callers[index],
            "POST",
            "/transfer/crash?w=10",
            &headers,
            b"ring",
            Duration::from_secs(1),
        );
        let status = answer
            .map(|a| a.status().to_string())
            .unwrap_or_else(|e| e.to_string());
        self.record
            .line(&format!("answered crashing-{id} {status}"));
    }

    /// Stops a daemon and starts it again.
    fn restart(&self, index: usize) {
        let daemon = {
            let mut deployment = self.deployment.lock().unwrap();
            self.record
                .line(&format!("SIGTERM to {}", deployment.hosts[index].name));
            deployment.signal_daemon(index, sys::SIGTERM);
            self.started.lock().unwrap()[index] = None;
            deployment.take_daemon(index)
        };
        Deployment::await_end(daemon, GRACE);
        thread::sleep(DOWN);
        let mut deployment = self.deployment.lock().unwrap();
        self.record
            .line(&format!("{} starts again", deployment.hosts[index].name));
        if let Err(e) = deployment.start_daemon(index) {
            self.record.say(&format!("not started: {e}"));
        }
        self.started.lock().unwrap()[index] = Some(Instant::now());
    }

    fn end(&self, threads: Vec<JoinHandle<()>>, verdict: Verdict) -> Verdict {
        self.stopping.store(true, Ordering::SeqCst);
        for thread in threads {
            let _ = thread.join();
        }
        verdict
    }
}

/// Records the crashes, and starts the backends again some time later.
fn watch_backends(run: &Arc<Run>) -> JoinHandle<()> {
    let run = Arc::clone(run);
    thread::spawn(move || {
        let mut down: Vec<Option<Instant>> = vec![None; run.callers.len()];
        while !run.stopping.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
            for index in 0..down.len() {
                let mut deployment = run.deployment.lock().unwrap();
                let has_crashed = deployment.hosts[index].backend.ended.load(Ordering::SeqCst);
                match down[index] {
                    None if has_crashed => {
                        let at = Instant::now();
                        let in_touch = run.is_in_touch(index);
                        run.arrivals.lock().unwrap().push(Arrival { at, in_touch });
                        down[index] = Some(at);
                    }
                    Some(at) if at.elapsed() >= BACKEND_DOWN => {
                        deployment.restart_backend(index, &run.record);
                        down[index] = None;
                    }
                    _ => {}
                }
            }
        }
    })
}

/// A requester of other requests, one after the other on a connection that it keeps.
fn bystander(run: &Arc<Run>, number: usize) -> JoinHandle<()> {
    let run = Arc::clone(run);
    thread::spawn(move || {
        let mut conn = None;
        let mut count = 0;
        while !run.stopping.load(Ordering::SeqCst) {
            count += 1;
            let id = format!("r{number}-{count}");
            run.record.line(&format!("sent {id}"));
            match send(&mut conn, run.callers[number % run.callers.len()], &id) {
                Ok(status) => {
                    run.record.line(&format!("answered {id} {status}"));
                    if status == 502 {
                        run.bystanders_lost.fetch_add(1, Ordering::SeqCst);
                    }
                }
                Err(e) => {
                    run.record.line(&format!("failed {id}: {e}"));
                    conn = None;
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
    })
}

fn headers(id: &str) -> [(&'static str, String); 3] {
    [
        ("Host", "rings.example".to_owned()),
        ("Request-Id", id.to_owned()),
        ("Deadline-Ms", "800".to_owned()),
    ]
}

fn send(conn: &mut Option<Conn>, to: SocketAddr, id: &str) -> io::Result<u16> {
    let mut kept = match conn.take() {
        Some(kept) => kept,
        None => Conn::connect(to, Duration::from_secs(1), None)?,
    };
    kept.stream
        .set_read_timeout(Some(Duration::from_millis(1000)))?;
    kept.request(
        "POST",
        &format!("/transfer/{id}?w=96&b=1500"),
        &headers(id),
        b"ring",
    )?;
    let answer = kept.read()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    if answer
        .header("connection")
        .is_none_or(|c| !c.eq_ignore_ascii_case("close"))
    {
        *conn = Some(kept);
    }
    Ok(answer.status())
}
