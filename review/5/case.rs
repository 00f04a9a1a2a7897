//! A backend leaves right after its daemon was restarted. The daemon acknowledges that and forgets
//! it; a late status report of the backend then brings it back into use.

#[path = "../rig/rig.rs"]
mod rig;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rig::{Installation, call, lock, ms, new_id, request, trouble};

/// `DrainTimeoutMs`, `ContactMs` and `GracePeriodS`.
const DRAIN: Duration = Duration::from_millis(2000);
const CONTACT: Duration = Duration::from_millis(3000);
const GRACE: Duration = Duration::from_secs(6);
/// How late the status report arrives, after the backend has said that it leaves.
const LATE: Duration = Duration::from_millis(2500);
/// How long the backend serves on after the ack.
const SERVES_ON: Duration = Duration::from_secs(8);
const LEAVING: usize = 3;

fn main() {
    let zones = ["zarzis", "ben-guerdane", "medenine-hq", "djerba"];
    let machines: Vec<(&str, &str)> = zones.iter().map(|z| ("office", *z)).collect();
    let config = rig::config(rig::LIMITS);
    let mut site = Installation::start("5", &config, &machines, &[]);
    site.wait_until("all daemons are ready", ms(15_000), |s| {
        s.machines.iter().all(|m| m.is_ready())
    });
    thread::sleep(ms(2000));
    let stop = Arc::new(AtomicBool::new(false));
    // The requesters of the other machines; those of a machine that is not ready get no new work.
    let callers: Vec<_> = (0..30).map(|n| spawn_caller(&site, n % 3, &stop)).collect();
    site.wait_until("the backends of all machines are in use", ms(15_000), |s| {
        s.backends.iter().all(|b| lock(&b.begun).len() > 20)
    });
    let leaving = Arc::clone(&site.backends[LEAVING]);
    // A status report is on its way, and held up.
    leaving.beats.store(false, Ordering::SeqCst);
    let late_report = leaving.next_beat();
    let mut in_touch_from = Instant::now();
    if trouble() {
        let record = site.record.clone();
        site.machines[LEAVING].stop(GRACE, &record);
        site.start_daemon(LEAVING);
        in_touch_from = Instant::now() + CONTACT;
    }
    // Less than a heartbeat's interval later the backend leaves.
    let acked_at = loop {
        if leaving.deregister() == Some(200) {
            break Instant::now();
        }
        thread::sleep(ms(20));
    };
    site.record.line(format!(
        "{} said that it leaves, and the daemon acknowledged that",
        leaving.id
    ));
    thread::sleep(LATE);
    let status = leaving.report(&late_report);
    site.record.line(format!(
        "an earlier status report of {} arrives late: {status:?}",
        leaving.id
    ));
    thread::sleep((acked_at + SERVES_ON).saturating_duration_since(Instant::now()));
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    leaving.crash();
    let from = (acked_at + DRAIN).max(in_touch_from);
    let begun = lock(&leaving.begun);
    let late: Vec<_> = begun.iter().filter(|(at, _)| *at > from).collect();
    for (at, id) in &late {
        site.record.line(format!(
            "BROKEN DRAIN: {id} began at {} {} ms after the ack",
            leaving.id,
            at.duration_since(acked_at).as_millis()
        ));
    }
    site.finish(i32::from(!late.is_empty()))
}

fn spawn_caller(
    site: &Installation,
    number: usize,
    stop: &Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    let stop = Arc::clone(stop);
    let to = site.machines[number].at(rig::CALLER_PORT);
    let record = site.record.clone();
    thread::spawn(move || {
        while !stop.load(Ordering::SeqCst) {
            let id = new_id("pay");
            let bytes = request("POST", "/pay/1", &id, 2000, None, 96, b"");
            let status = call(to, &bytes, ms(2200)).map(|m| m.status());
            let status = status.map_err(|e| e.kind());
            record.line(format!("{id} POST /pay/1: {status:?}"));
            thread::sleep(ms(30));
        }
    })
}
