//! `domain`: a failure domain of the co-operative is drained and undrained under load.

use std::thread;
use std::time::{Duration, Instant};

use foxtaildrift::process::operations::{DrainTarget, PRODUCTION};

use crate::args::BenchError;
use crate::cluster::Cluster;
use crate::journal;
use crate::load::load_stats::LoadStats;
use crate::load::{self, Load};
use crate::runs::compare;
use crate::runs::environment;
use crate::runs::report::Report;

/// How long the load runs before, between and after the drain and the undrain.
const PHASE_TIME: Duration = Duration::from_secs(4);
/// The target: how soon after the drain the domain must get no new work, in milliseconds. The
/// requirement says "a few seconds".
const NO_NEW_WORK_MS_MAX: u64 = 4000;

/// Runs the experiment under both policies and compares their latencies.
///
/// # Errors
///
/// Returns an error if a promise was broken.
pub fn run(_args: &[String]) -> Result<(), BenchError> {
    let mut report = Report::new("domain");
    let (adaptive, baseline) =
        compare::run_both(&environment::cooperative(), &mut report, experiment)?;
    compare::add_p99_ratio(&mut report, &adaptive, &baseline);
    report.finish()
}

fn experiment(
    cluster: &mut Cluster,
    policy: &str,
    report: &mut Report,
) -> Result<LoadStats, BenchError> {
    let (bookings, uploads) = (
        environment::booking_load(cluster, 24),
        environment::upload_load(cluster, "export-office", 8),
    );
    load::warm_up(&[&bookings, &uploads]);
    let (load, uploads) = (Load::start(&bookings), Load::start(&uploads));
    thread::sleep(PHASE_TIME);
    let domain = cluster.hosts[0].domain;
    let target = DrainTarget::Domain(domain.parse().map_err(BenchError::with_context("domain"))?);
    let operation_error = BenchError::with_context("drain or undrain operation");
    cluster
        .operations()
        .drain(PRODUCTION, &target)
        .map_err(&operation_error)?;
    let accepted_at = journal::micros_now();
    let drained_at = Instant::now();
    thread::sleep(PHASE_TIME);
    cluster
        .operations()
        .undrain(PRODUCTION, &target)
        .map_err(&operation_error)?;
    let undrained_at = accepted_at + u64::try_from(drained_at.elapsed().as_micros()).unwrap_or(0);
    thread::sleep(PHASE_TIME);
    let (stats, upload_stats) = (load.stop(), uploads.stop());
    println!("{policy}: {:?} {:?}", stats.outcomes, upload_stats.outcomes);
    Report::print_reasons(&stats);
    Report::print_reasons(&upload_stats);
    let last_run_at = last_run_in(cluster, domain, undrained_at)?;
    let no_new_work = last_run_at.saturating_sub(accepted_at) / 1000;
    report.add_target(
        &format!("{policy}_no_new_work_ms"),
        no_new_work,
        no_new_work <= NO_NEW_WORK_MS_MAX,
    );
    report.check_journals(cluster, &[&stats, &upload_stats])?;
    report.add_figure(
        &format!("{policy}_p99_ms"),
        format!("{:.1}", stats.latency_ms(0.99)),
    );
    report.add_figure(
        &format!("{policy}_max_unavailable_ms"),
        stats.max_unavailable_ms(),
    );
    report.add_figure(
        &format!("{policy}_mean_unavailable_ms"),
        stats.mean_unavailable_ms(),
    );
    Ok(stats)
}

/// Returns when an upstream of `domain` last ran a request before `until`, both in microseconds.
fn last_run_in(cluster: &Cluster, domain: &str, until: u64) -> Result<u64, BenchError> {
    let runs = journal::read_all(&cluster.folder).map_err(BenchError::with_context("journals"))?;
    let upstreams: Vec<String> = cluster
        .hosts_in_domain(domain)
        .into_iter()
        .map(|n| cluster.hosts[n].upstream.to_string())
        .collect();
    let in_domain = runs
        .iter()
        .filter(|r| r.at < until && upstreams.contains(&r.upstream));
    Ok(in_domain.map(|r| r.at).max().unwrap_or(0))
}
