//! `cold`: an upstream joins cold, and another turns cold without a warning.

use std::thread;
use std::time::Duration;

use crate::args::BenchError;
use crate::cluster::Cluster;
use crate::load::{self, Load, LoadSpec, Seen};
use crate::runs::compare;
use crate::runs::environment;
use crate::runs::report::Report;

/// How long the load runs before, between and after the events.
const PHASE: Duration = Duration::from_secs(5);
/// The time of an order, in microseconds.
const SERVICE_US: u64 = 20_000;
/// The orders until a cold upstream is warm.
const WARM_AFTER: u64 = 150;
/// The callers that load the upstreams to some seven tenths.
const CALLERS: usize = 48;

/// Runs the experiment.
///
/// # Errors
///
/// Returns an error where a promise did not hold.
pub fn run(_args: &[String]) -> Result<(), BenchError> {
    let mut spec = environment::cooperative();
    spec.services.truncate(1);
    spec.services[0].service_us = SERVICE_US;
    spec.services[0].warm_after = WARM_AFTER;
    let mut report = Report::new("cold");
    let bears = spec.services[0].cold_slots;
    report.figure("bears", bears);
    let (adaptive, baseline) = compare::both(&spec, &mut report, experiment)?;
    compare::p99_ratio(&mut report, &adaptive, &baseline);
    report.end()
}

fn experiment(
    cluster: &mut Cluster,
    policy: &str,
    report: &mut Report,
) -> Result<Seen, BenchError> {
    let bears = 3;
    // All upstreams start cold; this load warms them.
    let lookups = LoadSpec {
        change_percent: 0,
        keys: 10,
        pace: Duration::from_millis(2),
        timeout: Duration::from_secs(1),
        ..environment::bookings(cluster, CALLERS)
    };
    load::warm_up(&[&lookups]);
    let load = Load::start(&lookups);
    thread::sleep(PHASE / 2);
    cluster.kill_upstream(1);
    thread::sleep(PHASE / 2);
    cluster.start_upstream(1)?;
    thread::sleep(PHASE);
    let joined = cold_peak(cluster, 1)?;
    cluster.control_upstream(2, "cold", &WARM_AFTER.to_string())?;
    thread::sleep(PHASE);
    let turned = cold_peak(cluster, 2)?;
    let seen = load.stop();
    println!("{policy}: {:?}", seen.outcomes);
    Report::print_reasons(&seen);
    let held = policy == compare::BASELINE || joined <= bears;
    report.target(&format!("{policy}_joined_cold_peak"), joined, held);
    report.figure(&format!("{policy}_turned_cold_peak"), turned);
    report.figure(
        &format!("{policy}_refused"),
        seen.attempts - seen.outcome("ran"),
    );
    for (quantile, name) in [(0.5, "p50"), (0.99, "p99")] {
        let millis = format!("{:.1}", seen.latency_ms(quantile));
        report.figure(&format!("{policy}_{name}_ms"), millis);
    }
    Ok(seen)
}

/// Returns the most orders that an upstream had at once while it was cold.
fn cold_peak(cluster: &Cluster, number: usize) -> Result<u32, BenchError> {
    let text = cluster.control_upstream(number, "counts", "")?;
    let peak = text.split_whitespace().next().and_then(|n| n.parse().ok());
    peak.ok_or_else(|| BenchError(format!("no counts in `{text}`")))
}
