//! A planned stop of a host whose deployment has a grace period of 10 s: requests that it takes
//! between 3 s and 4.5 s after SIGTERM, which can't end in time, are passed on to a backend and cut off.

#[path = "../rig-2/rig.rs"]
mod rig;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rig::{Backend, Bounds, Conn, Daemon, Folder, Host, Outcome, Record, Store};

/// The bounds of karite-sud-large.
const BOUNDS: Bounds = Bounds { drain_ms: 3000, grace_s: 10, budget_slack: 430, memory_mb: 260 };
/// The time limit of `cert-upload` and `collect-book` there.
const TIME_LIMIT_MS: u64 = 8000;
/// When the requests are sent, after SIGTERM.
const SENT_AT_MS: [u64; 3] = [4240, 4310, 4380];
/// How long the backend takes for each, inside the time limit.
const WORK_MS: u64 = 6200;

const CONFIG: &str = r#"{"Version":"00000007","Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Listeners":[{"Host":"site.example","Rules":[
{"Name":"r-upload","Kind":"upload","TargetLatencyMs":1500,"Priority":1,"Match":{"PathPrefix":"/upload/"},"Action":{"Service":"office","TimeoutMs":8000,"MaxAttempts":2}},
{"Name":"r-look","Kind":"safe","TargetLatencyMs":1000,"Priority":2,"Match":{"PathPrefix":"/look/"},"Action":{"Service":"office","TimeoutMs":6000,"MaxAttempts":2}}]}],
"Clusters":[{"Name":"office","HealthCheckPath":"/health","MaxConnections":1200,"Protocol":"h1","Tls":false,"WarmupS":3.0,"WarmupPerS":22.0},
{"Name":"desk","HealthCheckPath":"/health","MaxConnections":1200,"Protocol":"h1","Tls":false,"WarmupS":3.0,"WarmupPerS":22.0}]}"#;

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let record = Record::create("review/9/record.txt");
    let folder = Folder::create();
    let store = Store::start();
    store.put("op/config", CONFIG);
    let hosts = [Host::new("h1", "zarzis", "desk"), Host::new("h2", "djerba", "office"), Host::new("h3", "tataouine", "office")];
    let backends: Vec<_> =
        hosts.iter().map(|h| Backend::start(h, &format!("i-{}", h.name), &record)).collect();
    let mut daemons: Vec<_> =
        hosts.iter().map(|h| Daemon::start(&folder, h, store.port, BOUNDS)).collect();
    if !rig::await_served(&hosts, "/look/a", Duration::from_secs(30)) {
        record.line("the hosts do not serve");
        return 2;
    }
    rig::sleep_ms(4000);

    // Kept connections of requesters, each with one answered request.
    let mut kept = Vec::new();
    for (i, _) in SENT_AT_MS.iter().enumerate() {
        let Ok(mut conn) = Conn::connect(hosts[0].callers) else { return 2 };
        let bytes = rig::request("GET", "/look/kept", &format!("kept{i:012x}"), 6000, b"");
        if rig::exchange(&mut conn, &bytes, 6000).0 != Outcome::Answered(200) {
            return 2;
        }
        kept.push(conn);
    }

    // The other requesters of the host: it is the only one of its zone, so they go on sending.
    let stop = Arc::new(AtomicBool::new(false));
    let others: Vec<_> = (0..4)
        .map(|n| {
            let (stop, callers) = (Arc::clone(&stop), hosts[0].callers);
            thread::spawn(move || {
                let mut number = 0u64;
                while !stop.load(Ordering::SeqCst) {
                    number += 1;
                    let bytes =
                        rig::request("GET", "/look/b?work=350", &format!("look{n}{number:011x}"), 6000, b"");
                    match Conn::connect(callers) {
                        Ok(mut conn) => _ = rig::exchange(&mut conn, &bytes, 6000),
                        Err(_) => rig::sleep_ms(50),
                    }
                }
            })
        })
        .collect();
    rig::sleep_ms(500);

    let trouble = rig::has_trouble();
    let stopped_at = Instant::now();
    if trouble {
        daemons[0].signal(rig::SIGTERM);
        record.line("SIGTERM to h1, with a grace period of 10 s");
    }
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    let senders: Vec<_> = kept
        .into_iter()
        .zip(SENT_AT_MS)
        .enumerate()
        .map(|(i, (mut conn, at))| {
            let (record, outcomes) = (record.clone(), Arc::clone(&outcomes));
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(at).saturating_sub(stopped_at.elapsed()));
                let id = format!("up{i:014x}");
                let target = format!("/upload/c?work={WORK_MS}");
                let bytes = rig::request("POST", &target, &id, TIME_LIMIT_MS, &[b'x'; 2000]);
                let sent = stopped_at.elapsed();
                record.line(&format!("{id} sent {:.3} s after SIGTERM", sent.as_secs_f64()));
                let (outcome, _) = rig::exchange(&mut conn, &bytes, TIME_LIMIT_MS);
                let used = stopped_at.elapsed() - sent;
                record.line(&format!("{id}: {outcome:?} after {:.3} s", used.as_secs_f64()));
                outcomes.lock().unwrap().push((id, sent, used, outcome));
            })
        })
        .collect();
    if trouble {
        let grace = Duration::from_secs(BOUNDS.grace_s);
        while stopped_at.elapsed() < grace && !daemons[0].has_ended() {
            rig::sleep_ms(20);
        }
        record.line(&format!("h1 ended by {:.3} s after SIGTERM", stopped_at.elapsed().as_secs_f64()));
        daemons[0].kill();
    }
    for sender in senders {
        let _ = sender.join();
    }
    stop.store(true, Ordering::SeqCst);
    for other in others {
        let _ = other.join();
    }
    let outcomes = outcomes.lock().unwrap();
    let was_run = |id: &str| backends.iter().any(|b| b.runs.lock().unwrap().iter().any(|r| r.id == id));
    let lost = outcomes.iter().filter(|(id, sent, used, outcome)| {
        *outcome == Outcome::Cut
            && was_run(id)
            && *sent > Duration::from_secs(3)
            && *used < Duration::from_millis(TIME_LIMIT_MS)
    });
    let lost = lost.count();
    let answered = outcomes.iter().filter(|(.., o)| *o == Outcome::Answered(200)).count();
    record.line(&format!("{lost} requests lost, {answered} answered with 200"));
    match (lost, trouble, answered) {
        (1.., ..) => 1,
        (0, false, 0..=2) => 2,
        _ => 0,
    }
}
