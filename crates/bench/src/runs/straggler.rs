//! `straggler`: in Golobnik's two services, one third of the upstreams after the other is slowed
//! fivefold.

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

/// How long each group of upstreams is slow.
const SLOW_TIME: Duration = Duration::from_secs(3);
/// The number of groups of upstreams that are slowed in turn.
const SLOW_GROUPS: usize = 3;
/// The factor by which a straggler is slower.
const SLOW_FACTOR: &str = "5";
/// How long an upstream works on a request, in microseconds.
const SERVICE_TIME_US: u64 = 20_000;

/// Runs the experiment under both policies and compares their latencies.
///
/// # Errors
///
/// Returns an error if a promise was broken.
pub fn run(_args: &[String]) -> Result<(), BenchError> {
    let mut spec = environment::golobnik();
    for service in &mut spec.services {
        service.service_time_us = SERVICE_TIME_US;
    }
    let mut report = Report::new("straggler");
    let (adaptive, baseline) = compare::run_both(&spec, &mut report, experiment)?;
    compare::add_ratio(
        &mut report,
        "ring_mean",
        adaptive.1.mean_latency_ms(),
        baseline.1.mean_latency_ms(),
    );
    compare::add_ratio(
        &mut report,
        "loft_mean",
        adaptive.0.mean_latency_ms(),
        baseline.0.mean_latency_ms(),
    );
    for (quantile, name) in [(0.5, "p50"), (0.99, "p99"), (0.999, "p999")] {
        let quantile_ms = |stats: &LoadStats| stats.latency_ms(quantile);
        compare::add_ratio(
            &mut report,
            &format!("ring_{name}"),
            quantile_ms(&adaptive.1),
            quantile_ms(&baseline.1),
        );
        compare::add_ratio(
            &mut report,
            &format!("loft_{name}"),
            quantile_ms(&adaptive.0),
            quantile_ms(&baseline.0),
        );
    }
    report.finish()
}

fn experiment(
    cluster: &mut Cluster,
    policy: &str,
    report: &mut Report,
) -> Result<(LoadStats, LoadStats), BenchError> {
    let lookups = LoadSpec {
        mutation_percent: 0,
        keys: 20,
        timeout: Duration::from_secs(2),
        ..environment::booking_load(cluster, 32)
    };
    let ring_checks = LoadSpec {
        service: "ringvault",
        sends_key: false,
        callers: 24,
        ..lookups.clone()
    };
    load::warm_up(&[&lookups, &ring_checks]);
    let (loft, ring) = (Load::start(&lookups), Load::start(&ring_checks));
    for group in 0..SLOW_GROUPS {
        for number in 0..cluster.hosts.len() {
            let slow = number % SLOW_GROUPS == group;
            cluster.control_upstream(number, "slow", if slow { SLOW_FACTOR } else { "1" })?;
        }
        thread::sleep(SLOW_TIME);
    }
    let (loft, ring) = (loft.stop(), ring.stop());
    for (name, stats) in [("loft", &loft), ("ring", &ring)] {
        println!("{policy} {name}: {:?} {:?}", stats.outcomes, stats.reasons);
        let figure = |quantile| format!("{:.1}", stats.latency_ms(quantile));
        report.add_figure(
            &format!("{policy}_{name}_mean_ms"),
            format!("{:.1}", stats.mean_latency_ms()),
        );
        report.add_figure(&format!("{policy}_{name}_p50_ms"), figure(0.5));
        report.add_figure(&format!("{policy}_{name}_p99_ms"), figure(0.99));
        report.add_figure(&format!("{policy}_{name}_p999_ms"), figure(0.999));
        report.add_figure(
            &format!("{policy}_{name}_refused"),
            stats.attempts - stats.outcome_count("ran"),
        );
    }
    Ok((loft, ring))
}
