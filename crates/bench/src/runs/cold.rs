//! `cold`: an upstream starts cold, and later another one turns cold without notice.

use std::thread;
use std::time::Duration;

use crate::args::BenchError;
use crate::cluster::Cluster;
use crate::load::load_spec::LoadSpec;
use crate::load::load_stats::LoadStats;
use crate::load::{self, Load};
use crate::runs::compare;
use crate::runs::environment;
use crate::runs::report::Report;

/// How long the load runs before the first event and after each event.
const PHASE_TIME: Duration = Duration::from_secs(5);
/// How long an upstream works on a request, in microseconds.
const SERVICE_TIME_US: u64 = 20_000;
/// The number of requests after which a cold upstream is warm.
const WARMUP_REQUESTS: u64 = 150;
/// The number of callers, which load the upstreams to about 70 %.
const CALLERS: usize = 48;

/// Runs the experiment under both policies and compares their latencies.
///
/// # Errors
///
/// Returns an error if a promise was broken.
pub fn run(_args: &[String]) -> Result<(), BenchError> {
    let mut spec = environment::cooperative();
    spec.services.truncate(1);
    spec.services[0].service_time_us = SERVICE_TIME_US;
    spec.services[0].warmup_requests = WARMUP_REQUESTS;
    let mut report = Report::new("cold");
    let cold_slots = spec.services[0].cold_slots;
    report.add_figure("bears", cold_slots);
    let (adaptive, baseline) = compare::run_both(&spec, &mut report, experiment)?;
    compare::add_p99_ratio(&mut report, &adaptive, &baseline);
    report.finish()
}

fn experiment(
    cluster: &mut Cluster,
    policy: &str,
    report: &mut Report,
) -> Result<LoadStats, BenchError> {
    let cold_slots = 3;
    // All upstreams start cold; `warm_up` runs this load until they are warm.
    let lookups = LoadSpec {
        mutation_percent: 0,
        keys: 10,
        pause: Duration::from_millis(2),
        timeout: Duration::from_secs(1),
        ..environment::booking_load(cluster, CALLERS)
    };
    load::warm_up(&[&lookups]);
    let load = Load::start(&lookups);
    thread::sleep(PHASE_TIME / 2);
    cluster.kill_upstream(1);
    thread::sleep(PHASE_TIME / 2);
    cluster.start_upstream(1)?;
    thread::sleep(PHASE_TIME);
    let joined_cold_peak = cold_peak(cluster, 1)?;
    cluster.control_upstream(2, "cold", &WARMUP_REQUESTS.to_string())?;
    thread::sleep(PHASE_TIME);
    let turned_cold_peak = cold_peak(cluster, 2)?;
    let stats = load.stop();
    println!("{policy}: {:?}", stats.outcomes);
    Report::print_reasons(&stats);
    let met = policy == compare::BASELINE || joined_cold_peak <= cold_slots;
    report.add_target(&format!("{policy}_joined_cold_peak"), joined_cold_peak, met);
    report.add_figure(&format!("{policy}_turned_cold_peak"), turned_cold_peak);
    report.add_figure(
        &format!("{policy}_refused"),
        stats.attempts - stats.outcome_count("ran"),
    );
    for (quantile, name) in [(0.5, "p50"), (0.99, "p99")] {
        let millis = format!("{:.1}", stats.latency_ms(quantile));
        report.add_figure(&format!("{policy}_{name}_ms"), millis);
    }
    Ok(stats)
}

/// Returns the peak number of concurrent requests of an upstream while it was cold.
fn cold_peak(cluster: &Cluster, number: usize) -> Result<u32, BenchError> {
    let text = cluster.control_upstream(number, "counts", "")?;
    let peak = text.split_whitespace().next().and_then(|n| n.parse().ok());
    peak.ok_or_else(|| BenchError(format!("expected the upstream's counts, found `{text}`")))
}
