//! `demo`: the environment of the co-operative loses the host of an owner under load.

use std::thread;
use std::time::Duration;

use crate::args::BenchError;
use crate::cluster::Cluster;
use crate::load::Load;
use crate::runs::environment;
use crate::runs::report::{Report, SERVED_AGAIN_MS_MAX};

/// How long the load runs before the loss.
const LOAD_BEFORE: Duration = Duration::from_secs(4);
/// How long the load runs after the loss.
const LOAD_AFTER: Duration = Duration::from_secs(8);

/// Runs the demonstration.
///
/// # Errors
///
/// Returns an error if a promise was broken or the environment could not be started.
pub fn run(_args: &[String]) -> Result<(), BenchError> {
    println!("starting the co-operative's environment: 10 hosts in 4 failure domains");
    let mut cluster = Cluster::start(&environment::cooperative())?;
    println!("all daemons serve");
    let victim = cluster.hosts_of_service("order-desk")[0];
    let load = Load::start(&environment::booking_load(&cluster, 24));
    thread::sleep(LOAD_BEFORE);
    println!("killing host {victim} in {}", cluster.hosts[victim].domain);
    cluster.kill_host(victim);
    thread::sleep(LOAD_AFTER);
    let stats = load.stop();
    println!(
        "latency: p50 {:.1} ms, p99 {:.1} ms",
        stats.latency_ms(0.5),
        stats.latency_ms(0.99)
    );
    Report::print_reasons(&stats);
    let mut report = Report::new("demo");
    report.check_journals(&cluster, &[&stats])?;
    let unavailable = stats.max_unavailable_ms();
    report.add_target(
        "unavailable_ms",
        unavailable,
        unavailable <= SERVED_AGAIN_MS_MAX && stats.ran > 0,
    );
    report.finish()
}
