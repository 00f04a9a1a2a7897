//! `demo`: the co-operative's environment, and the loss of an owner's host.

use std::thread;
use std::time::Duration;

use crate::args::BenchError;
use crate::cluster::Cluster;
use crate::load::Load;
use crate::runs::environment;
use crate::runs::report::{Report, SERVED_AGAIN_MS};

/// How long the load runs before the loss.
const BEFORE: Duration = Duration::from_secs(4);
/// How long it runs after the loss.
const AFTER: Duration = Duration::from_secs(8);

/// Runs the demonstration.
///
/// # Errors
///
/// Returns an error where a promise did not hold or the environment did not come up.
pub fn run(_args: &[String]) -> Result<(), BenchError> {
    println!("starting the co-operative's environment: 10 hosts in 4 failure domains");
    let mut cluster = Cluster::start(&environment::cooperative())?;
    println!("all daemons serve");
    let victim = cluster.hosts_of("order-desk")[0];
    let load = Load::start(&environment::bookings(&cluster, 24));
    thread::sleep(BEFORE);
    println!("killing host {victim} in {}", cluster.hosts[victim].domain);
    cluster.kill_host(victim);
    thread::sleep(AFTER);
    let seen = load.stop();
    println!(
        "latency: p50 {:.1} ms, p99 {:.1} ms",
        seen.latency_ms(0.5),
        seen.latency_ms(0.99)
    );
    Report::print_reasons(&seen);
    let mut report = Report::new("demo");
    report.judge(&cluster, &[&seen])?;
    let unavailable = seen.max_unavailable_ms();
    report.target(
        "unavailable_ms",
        unavailable,
        unavailable <= SERVED_AGAIN_MS && seen.ran > 0,
    );
    report.end()
}
