//! A backend deregisters, its daemon acknowledges that while the store is down, and is killed and
//! started again. A status report that the backend sent before it deregistered arrives late.

#[path = "../rig-2/rig.rs"]
mod rig;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rig::{Backend, Bounds, Conn, Daemon, Folder, Host, Record, Store};

/// The bounds of golobnik-mesh and karite-sud.
const BOUNDS: Bounds = Bounds { drain_ms: 2000, grace_s: 6, budget_slack: 56, memory_mb: 260 };
const CONTACT_MS: u64 = 3000;
/// How long the store is down; the pages' largest dose is 4.5 s.
const STORE_DOWN_MS: u64 = 4500;
/// How long the backend serves after it has deregistered ("at times many seconds").
const SERVES_ON_MS: u64 = 14000;

const CONFIG: &str = r#"{"Version":"00000007","Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Listeners":[{"Host":"site.example","Rules":[
{"Name":"r-book","Kind":"non_idempotent","TargetLatencyMs":500,"Priority":1,"Match":{"PathPrefix":"/book/"},"Action":{"Service":"vault","TimeoutMs":3000,"MaxAttempts":2}},
{"Name":"r-look","Kind":"safe","TargetLatencyMs":400,"Priority":2,"Match":{"PathPrefix":"/look/"},"Action":{"Service":"vault","TimeoutMs":2500,"MaxAttempts":2}}]}],
"Clusters":[{"Name":"vault","HealthCheckPath":"/health","MaxConnections":110,"Protocol":"h1","Tls":false,"WarmupS":3.0,"WarmupPerS":22.0}]}"#;

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let record = Record::create("review/8/record.txt");
    let folder = Folder::create();
    let store = Store::start();
    store.put("op/config", CONFIG);
    let hosts = [Host::new("h1", "ljubljana-a", "vault"), Host::new("h2", "ljubljana-a", "vault"), Host::new("h3", "ljubljana-a", "vault")];
    let backends: Vec<_> =
        hosts.iter().map(|h| Backend::start(h, &format!("i-{}", h.name), &record)).collect();
    let mut daemons: Vec<_> =
        hosts.iter().map(|h| Daemon::start(&folder, h, store.port, BOUNDS)).collect();
    if !rig::await_served(&hosts, "/look/a", Duration::from_secs(30)) {
        record.line("the hosts do not serve");
        return 2;
    }
    rig::sleep_ms(3000);

    // Requesters beside all hosts.
    let stop = Arc::new(AtomicBool::new(false));
    let requesters: Vec<_> = (0..9usize)
        .map(|n| {
            let (stop, callers) = (Arc::clone(&stop), hosts[n % 3].callers);
            thread::spawn(move || {
                let mut number = 0u64;
                while !stop.load(Ordering::SeqCst) {
                    number += 1;
                    let id = format!("book{n}{number:011x}");
                    let bytes = rig::request("POST", "/book/b?work=100", &id, 3000, b"order");
                    if let Ok(mut conn) = Conn::connect(callers) {
                        let _ = rig::exchange(&mut conn, &bytes, 3000);
                    }
                    rig::sleep_ms(30);
                }
            })
        })
        .collect();
    rig::sleep_ms(3000);
    let before = backends[0].runs.lock().unwrap().len();

    let trouble = rig::has_trouble();
    if trouble {
        store.set_down(true);
        record.line("the store is down");
    }
    let down_at = Instant::now();
    rig::sleep_ms(500);
    // The last status report before the backend leaves is delayed on its way.
    backends[0].stop_reporting();
    rig::sleep_ms(900);
    let delayed = backends[0].report("ready");
    let ack = backends[0].send_report(&backends[0].deregistration());
    let acked_at = Instant::now();
    record.line(&format!("backend i-h1 deregisters: {ack}"));
    if ack != 200 {
        return 2;
    }
    let mut in_touch_from = acked_at;
    if trouble {
        rig::sleep_ms(300);
        daemons[0].kill();
        record.line("h1 is killed");
        rig::sleep_ms(500);
        daemons[0] = Daemon::start(&folder, &hosts[0], store.port, BOUNDS);
        record.line("h1 is started again");
        in_touch_from = Instant::now() + Duration::from_millis(CONTACT_MS);
    }
    rig::sleep_ms(1000);
    let late = backends[0].send_report(&delayed);
    record.line(&format!("a status report of i-h1 from before arrives {:.1} s late: {late}", acked_at.elapsed().as_secs_f64()));
    while down_at.elapsed() < Duration::from_millis(STORE_DOWN_MS) {
        rig::sleep_ms(10);
    }
    if trouble {
        store.set_down(false);
        record.line("the store is up again");
        in_touch_from = in_touch_from.max(Instant::now() + Duration::from_millis(CONTACT_MS));
    }
    while acked_at.elapsed() < Duration::from_millis(SERVES_ON_MS) {
        rig::sleep_ms(10);
    }
    stop.store(true, Ordering::SeqCst);
    for requester in requesters {
        let _ = requester.join();
    }
    let runs = backends[0].runs.lock().unwrap().clone();
    let drained_at = acked_at + Duration::from_millis(BOUNDS.drain_ms);
    let after_drain = runs.iter().filter(|r| r.at > drained_at).count();
    let counted = runs.iter().filter(|r| r.at > drained_at && r.at > in_touch_from).count();
    let last = runs.last().map_or(0.0, |r| r.at.saturating_duration_since(acked_at).as_secs_f64());
    let stored = store.keys("foxtaildrift-departures").len();
    record.line(&format!(
        "{before} requests ran on i-h1 before; {after_drain} later than the drain timeout after the ack, {counted} of them \
         when all machines were in touch again; the last {last:.1} s after the ack; {stored} departures stored"
    ));
    match (before, counted) {
        (0, _) => 2,
        (_, 0) => 0,
        _ => 1,
    }
}
