//! `restart`: planned restarts of daemons and upstreams, one after the other, under load.

use std::time::{Duration, Instant};

use foxtaildrift::process::operations::{DrainTarget, PRODUCTION};

use crate::args::BenchError;
use crate::cluster::Cluster;
use crate::load::Load;
use crate::runs::environment;
use crate::runs::report::Report;

/// How long a planned stop of a daemon may take.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
/// How long the environment may take until all keys are served again.
const RECOVERY: Duration = Duration::from_secs(15);

/// Restarts three daemons one after the other, then one upstream of each service.
///
/// # Errors
///
/// Returns an error if a request was refused or lost, or a stop was not clean.
pub fn run(_args: &[String]) -> Result<(), BenchError> {
    let mut cluster = Cluster::start(&environment::cooperative())?;
    let load = Load::start(&environment::booking_load(&cluster, 24));
    let uploads = Load::start(&environment::upload_load(&cluster, "export-office", 8));
    let mut clean_stops = 0;
    let mut longest_stop = Duration::ZERO;
    let daemons = [0, 1, 6];
    for number in daemons {
        let started = Instant::now();
        clean_stops += usize::from(cluster.stop_daemon(number, STOP_TIMEOUT));
        longest_stop = longest_stop.max(started.elapsed());
        cluster.start_daemon(number)?;
        cluster.wait_until("all keys are served again", RECOVERY, Cluster::is_serving)?;
    }
    for number in [2, 7] {
        restart_upstream(&mut cluster, number)?;
    }
    let (stats, upload_stats) = (load.stop(), uploads.stop());
    println!("{:?} {:?}", stats.outcomes, upload_stats.outcomes);
    Report::print_reasons(&stats);
    Report::print_reasons(&upload_stats);
    let mut report = Report::new("restart");
    report.check_journals(&cluster, &[&stats, &upload_stats])?;
    report.add_target("clean_stops", clean_stops, clean_stops == daemons.len());
    report.add_figure("longest_stop_ms", longest_stop.as_millis());
    for (name, outcome) in [("refused", "not-run"), ("left_unknown", "unknown")] {
        let n = stats.outcome_count(outcome) + upload_stats.outcome_count(outcome);
        report.add_target(name, n, n == 0);
    }
    let failed = stats.failed + upload_stats.failed;
    report.add_target("failed", failed, failed == 0);
    report.add_figure("max_unavailable_ms", stats.max_unavailable_ms());
    report.finish()
}

/// Drains an upstream, restarts it and undrains it.
fn restart_upstream(cluster: &mut Cluster, number: usize) -> Result<(), BenchError> {
    let target = DrainTarget::Upstream(cluster.hosts[number].upstream);
    let operation_error = BenchError::with_context("drain or undrain operation");
    cluster
        .operations()
        .drain(PRODUCTION, &target)
        .map_err(&operation_error)?;
    cluster.wait_until("the upstream is idle", RECOVERY, |c| is_idle(c, number))?;
    cluster.kill_upstream(number);
    cluster.start_upstream(number)?;
    cluster
        .operations()
        .undrain(PRODUCTION, &target)
        .map_err(&operation_error)?;
    cluster.wait_until("all keys are served again", RECOVERY, Cluster::is_serving)
}

/// Returns whether all daemons have adopted the drain, none owns a slice at the upstream, and the
/// upstream has no request in flight.
fn is_idle(cluster: &Cluster, number: usize) -> bool {
    let service = cluster.hosts[number].service.to_owned();
    let Ok(version) = cluster
        .operations()
        .configuration(PRODUCTION)
        .map(|c| c.version)
    else {
        return false;
    };
    (0..cluster.hosts.len()).all(|observer| {
        let adopted = cluster
            .status(observer)
            .is_ok_and(|s| s.configuration == version);
        let owned = cluster.owned_slices(observer);
        adopted && owned.is_ok_and(|o| !o.contains_key(&(service.clone(), number)))
    }) && cluster
        .status(number)
        .is_ok_and(|s| s.upstream.in_flight == 0)
}
