//! `demo`: the co-operative's environment, and the loss of an owner's host.

use std::thread;
use std::time::Duration;

use crate::args::BenchError;
use crate::cluster::Cluster;
use crate::journal;
use crate::load::{Load, LoadSpec};
use crate::runs::environment;

/// How long the load runs before the loss.
const BEFORE: Duration = Duration::from_secs(4);
/// How long it runs after the loss.
const AFTER: Duration = Duration::from_secs(8);
/// How soon each key must be served again.
const UNAVAILABLE_MAX_MS: u64 = 4000;

/// Runs the demonstration.
///
/// # Errors
///
/// Returns an error where a promise did not hold or the environment did not come up.
pub fn run() -> Result<(), BenchError> {
    println!("starting the co-operative's environment: 10 hosts in 4 failure domains");
    let mut cluster = Cluster::start(&environment::cooperative())?;
    println!("all daemons serve");
    let victim = cluster.hosts_of("order-desk")[0];
    let mut entries = cluster.entries();
    entries.remove(victim);
    let load = Load::start(&LoadSpec {
        service: "order-desk",
        entries,
        callers: 24,
        keys: 1,
        change_percent: 40,
        pace: Duration::from_millis(10),
        timeout: Duration::from_millis(300),
        persists: true,
        keyed: true,
        seed: 1,
    });
    thread::sleep(BEFORE);
    println!("killing host {victim} in {}", cluster.hosts[victim].domain);
    cluster.kill_host(victim);
    thread::sleep(AFTER);
    let seen = load.stop();
    let runs = journal::read_all(&cluster.folder).map_err(BenchError::turn("journals"))?;
    let verdict = journal::judge(&runs, &seen.told);
    let unavailable = seen.max_unavailable_ms();
    println!("outcomes: {:?}", seen.outcomes);
    println!(
        "latency: p50 {:.1} ms, p99 {:.1} ms",
        seen.latency_ms(0.5),
        seen.latency_ms(0.99)
    );
    for (reason, n) in &seen.reasons {
        println!("  {n} x {reason}");
    }
    println!(
        "RESULT demo requests={} ran_twice={} lost={} two_owners={} false_not_run={} wrong={} \
         failed={} unavailable_ms={unavailable}",
        seen.attempts,
        verdict.ran_twice,
        verdict.lost,
        verdict.two_owners,
        verdict.false_not_run,
        seen.wrong,
        seen.failed,
    );
    if verdict.holds() && seen.wrong == 0 && unavailable <= UNAVAILABLE_MAX_MS && seen.ran > 0 {
        return Ok(());
    }
    Err(BenchError("a promise did not hold".to_owned()))
}
