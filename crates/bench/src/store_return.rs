//! `store-return`: measures what follows when the store comes back from a copy that lacks a routing
//! change and a move of ownership.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::args::{self, BenchError};
use crate::host_cluster::HostCluster;
use crate::ownership_check::OwnershipCheck;
use crate::soak::faults;

/// How long the environment may take to start, and each condition after the return.
const TIMEOUT: Duration = Duration::from_secs(30);
/// How long the store is away.
const AWAY_TIME: Duration = Duration::from_secs(2);
/// How much older than the outage the copy is.
const COPY_AGE: Duration = Duration::from_secs(4);
/// How long after the return operators write again what was lost.
const REWRITE_DELAY: Duration = Duration::from_secs(1);
/// How long calls to the store are counted before the outage, and from the return on.
const COUNT_TIME: Duration = Duration::from_secs(15);
/// The interval between two checks of all hosts.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The keys that are probed on each host.
const KEYS: [u16; 8] = [0, 8192, 16384, 24576, 32768, 40960, 49152, 57344];
/// The routes before the outage, those added in the lost seconds, and those after the rewrite.
const ROUTES: [u32; 3] = [1, 30, 31];

/// Runs the measurement.
///
/// # Errors
///
/// Returns an error if a condition is not met in time, or a key had two owners.
pub fn run(args: &[String]) -> Result<(), BenchError> {
    let matches = args::parse(args, |o| {
        o.optopt("", "hosts", "number of hosts (default 10)", "N");
    })?;
    let hosts: usize = args::value(&matches, "hosts", 10)?;
    let program = std::env::current_exe().map_err(BenchError::with_context("program"))?;
    let service = |n: usize| if n % 3 == 2 { "office" } else { "desk" };
    let services: Vec<&'static str> = (0..hosts).map(service).collect();
    let mut cluster = HostCluster::start(&program, &services, &["desk"])?;
    cluster.wait_until("the store responds", TIMEOUT, |c| {
        c.control_store("put/op/config", &faults::routing(ROUTES[0]))
            .is_ok()
    })?;
    cluster.wait_until("all keys are served", TIMEOUT, |c| {
        (0..hosts).all(|n| serves(c, n, ROUTES[0]) && KEYS.iter().all(|&k| serves_key(c, n, k)))
    })?;
    thread::sleep(Duration::from_secs(8));
    let calls_before = count_calls(&cluster, COUNT_TIME)?;
    lose_seconds(&mut cluster)?;
    let returned = Instant::now();
    let calls_at_return = cluster.control_store("calls", "")?;
    let is_measured = AtomicBool::new(false);
    let (measured, probes) = thread::scope(|scope| {
        let probing: Vec<_> = (0..hosts)
            .map(|n| {
                let (cluster, is_measured) = (&cluster, &is_measured);
                scope.spawn(move || probe(cluster, n, returned, is_measured))
            })
            .collect();
        let measured = measure(&cluster, returned);
        is_measured.store(true, Ordering::SeqCst);
        let probes = probing.into_iter().filter_map(|p| p.join().ok());
        (measured, probes.collect::<Vec<Probes>>())
    });
    let measured = measured?;
    thread::sleep(COUNT_TIME.saturating_sub(returned.elapsed()));
    let calls_after = calls_since(&cluster, &calls_at_return)?;
    let journals = (0..hosts).map(|n| cluster.journal(n));
    let check = OwnershipCheck::read(journals).map_err(BenchError::with_context("journals"))?;
    let violations = check.violations();
    println!(
        "RESULT store-return hosts={hosts} probes={} failed_probes={} last_failed_ms={} \
         table_restored_ms={} rewritten_ms={} newest_routing_ms={} calls_per_daemon_quiet={:.1} \
         calls_per_daemon_return={:.1} count_s={} transfers={} two_owners={}",
        probes.iter().map(|p| p.sent).sum::<u32>(),
        probes.iter().map(|p| p.failed).sum::<u32>(),
        probes
            .iter()
            .map(|p| p.last_failed.as_millis())
            .max()
            .unwrap_or(0),
        measured.restored.as_millis(),
        measured.rewritten.as_millis(),
        measured.newest.as_millis(),
        calls_before as f64 / hosts as f64,
        calls_after as f64 / hosts as f64,
        COUNT_TIME.as_secs(),
        check.transfers(),
        violations.len(),
    );
    match violations.first() {
        Some(first) => {
            cluster.keep_folder = true;
            Err(BenchError(format!("two owners: {first}")))
        }
        None => Ok(()),
    }
}

/// The requests for keys that one host was sent since the store's return.
struct Probes {
    sent: u32,
    failed: u32,
    /// When one failed last, since the return; zero if none did.
    last_failed: Duration,
}

/// Times since the store's return.
struct Measured {
    /// When a daemon had written the table in force.
    restored: Duration,
    /// When the operators' values were written again.
    rewritten: Duration,
    /// When all daemons served the route that is added last.
    newest: Duration,
}

/// Changes the routing and ownership, and lets the store come back from a copy without that.
fn lose_seconds(cluster: &mut HostCluster) -> Result<(), BenchError> {
    let hosts = cluster.hosts.len();
    // The copy is of this moment.
    thread::sleep(Duration::from_millis(500));
    let copied = Instant::now();
    for routes in 2..=ROUTES[1] {
        cluster.control_store("put/op/config", &faults::routing(routes))?;
    }
    cluster.kill_daemon(0);
    thread::sleep(Duration::from_millis(500));
    cluster.start_daemon(0)?;
    cluster.wait_until("the lost routing is in force", TIMEOUT, |c| {
        (0..hosts).all(|n| serves(c, n, ROUTES[1]))
    })?;
    thread::sleep(COPY_AGE.saturating_sub(copied.elapsed()));
    cluster.control_store("down", "")?;
    thread::sleep(AWAY_TIME);
    let age = copied.elapsed().as_millis().to_string();
    cluster.control_store("restore", &age)?;
    cluster.control_store("up", "")?;
    Ok(())
}

/// Sends requests for all keys to one host until the measurement is done.
fn probe(
    cluster: &HostCluster,
    number: usize,
    returned: Instant,
    is_measured: &AtomicBool,
) -> Probes {
    let mut probes = Probes {
        sent: 0,
        failed: 0,
        last_failed: Duration::ZERO,
    };
    while !is_measured.load(Ordering::SeqCst) {
        for key in KEYS {
            probes.sent += 1;
            if !serves_key(cluster, number, key) {
                probes.failed += 1;
                probes.last_failed = returned.elapsed();
            }
        }
        thread::sleep(POLL_INTERVAL);
    }
    probes
}

/// Watches all hosts until the table is restored and the newest routing is in force everywhere.
fn measure(cluster: &HostCluster, returned: Instant) -> Result<Measured, BenchError> {
    let hosts = cluster.hosts.len();
    let mut measured = Measured {
        restored: Duration::ZERO,
        rewritten: Duration::ZERO,
        newest: Duration::ZERO,
    };
    while measured.restored.is_zero() || measured.newest.is_zero() {
        let is_rewritten = !measured.rewritten.is_zero();
        if !is_rewritten && returned.elapsed() >= REWRITE_DELAY {
            cluster.control_store("rewrite", "")?;
            cluster.control_store("put/op/config", &faults::routing(ROUTES[2]))?;
            measured.rewritten = returned.elapsed();
        }
        if measured.restored.is_zero() && has_restored_table(cluster) {
            measured.restored = returned.elapsed();
        }
        if is_rewritten
            && measured.newest.is_zero()
            && (0..hosts).all(|n| serves(cluster, n, ROUTES[2]))
        {
            measured.newest = returned.elapsed();
        }
        if returned.elapsed() > TIMEOUT {
            return Err(BenchError(format!(
                "not within {TIMEOUT:?}: table restored {:?}, newest routing {:?}",
                measured.restored, measured.newest
            )));
        }
        thread::sleep(POLL_INTERVAL);
    }
    Ok(measured)
}

/// Returns whether a daemon's log says that it wrote a table with an epoch that only a restored one has.
fn has_restored_table(cluster: &HostCluster) -> bool {
    let is_restored = |line: &str| {
        let epoch = line.split("\"epoch\":\"").nth(1);
        let epoch = epoch.and_then(|e| e.split('"').next()?.parse::<u64>().ok());
        line.contains("table-written") && epoch.is_some_and(|e| e > 1 << 16)
    };
    (0..cluster.hosts.len()).any(|n| cluster.log(n).lines().any(is_restored))
}

/// Returns whether a host serves the numbered route.
fn serves(cluster: &HostCluster, number: usize, route: u32) -> bool {
    let response = cluster.request(number, "GET", &format!("/v{route}/probe"), None);
    response.is_ok_and(|r| r.status == 200)
}

/// Returns whether a host serves a key.
fn serves_key(cluster: &HostCluster, number: usize, key: u16) -> bool {
    let response = cluster.request(number, "GET", "/look/probe", Some(key));
    response.is_ok_and(|r| r.status == 200)
}

/// Returns how many calls the store gets in `time`.
fn count_calls(cluster: &HostCluster, time: Duration) -> Result<u64, BenchError> {
    let before = cluster.control_store("calls", "")?;
    thread::sleep(time);
    calls_since(cluster, &before)
}

/// Returns how many calls the store has got since it had got `before`.
fn calls_since(cluster: &HostCluster, before: &str) -> Result<u64, BenchError> {
    let parse = |text: &str| {
        text.parse::<u64>()
            .map_err(BenchError::with_context("calls"))
    };
    let now = parse(&cluster.control_store("calls", "")?)?;
    Ok(now.saturating_sub(parse(before)?))
}
