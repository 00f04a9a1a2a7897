//! `restart`: a rolling planned restart of each daemon and upstream under load.

use std::time::{Duration, Instant};

use foxtaildrift::process::operations::{DrainTarget, PRODUCTION};

use crate::args::BenchError;
use crate::cluster::Cluster;
use crate::load::Load;
use crate::runs::environment;
use crate::runs::report::Report;

/// How long a planned stop may take.
const STOP: Duration = Duration::from_secs(10);
/// How long the environment may take to be whole again.
const RECOVERY: Duration = Duration::from_secs(15);

/// Restarts one daemon after the other, then one upstream of each service.
///
/// # Errors
///
/// Returns an error where a request was refused or lost, or a stop was not clean.
pub fn run(_args: &[String]) -> Result<(), BenchError> {
    let mut cluster = Cluster::start(&environment::cooperative())?;
    let load = Load::start(&environment::bookings(&cluster, 24));
    let uploads = Load::start(&environment::uploads(&cluster, "export-office", 8));
    let mut clean = 0;
    let mut longest = Duration::ZERO;
    let victims = [0, 1, 6];
    for number in victims {
        let started = Instant::now();
        clean += usize::from(cluster.stop_daemon(number, STOP));
        longest = longest.max(started.elapsed());
        cluster.start_daemon(number)?;
        cluster.wait_until("the environment is whole again", RECOVERY, Cluster::serves)?;
    }
    for number in [2, 7] {
        restart_upstream(&mut cluster, number)?;
    }
    let (seen, uploaded) = (load.stop(), uploads.stop());
    println!("{:?} {:?}", seen.outcomes, uploaded.outcomes);
    Report::print_reasons(&seen);
    Report::print_reasons(&uploaded);
    let mut report = Report::new("restart");
    report.judge(&cluster, &[&seen, &uploaded])?;
    report.target("clean_stops", clean, clean == victims.len());
    report.figure("longest_stop_ms", longest.as_millis());
    for (name, outcome) in [("refused", "not-run"), ("left_unknown", "unknown")] {
        let n = seen.outcome(outcome) + uploaded.outcome(outcome);
        report.target(name, n, n == 0);
    }
    let failed = seen.failed + uploaded.failed;
    report.target("failed", failed, failed == 0);
    report.figure("max_unavailable_ms", seen.max_unavailable_ms());
    report.end()
}

/// Drains an upstream, restarts it, and brings it back.
fn restart_upstream(cluster: &mut Cluster, number: usize) -> Result<(), BenchError> {
    let target = DrainTarget::Upstream(cluster.hosts[number].upstream);
    let turn = BenchError::turn("operation");
    cluster
        .operations()
        .drain(PRODUCTION, &target)
        .map_err(&turn)?;
    cluster.wait_until("the upstream is idle", RECOVERY, |c| is_idle(c, number))?;
    cluster.kill_upstream(number);
    cluster.start_upstream(number)?;
    cluster
        .operations()
        .undrain(PRODUCTION, &target)
        .map_err(&turn)?;
    cluster.wait_until("the environment is whole again", RECOVERY, Cluster::serves)
}

/// Returns whether no daemon gives the upstream work any more.
fn is_idle(cluster: &Cluster, number: usize) -> bool {
    let service = cluster.hosts[number].service.to_owned();
    let Ok(version) = cluster
        .operations()
        .configuration(PRODUCTION)
        .map(|c| c.version)
    else {
        return false;
    };
    (0..cluster.hosts.len()).all(|seen_by| {
        let adopted = cluster
            .status(seen_by)
            .is_ok_and(|s| s.configuration == version);
        let owned = cluster.owned(seen_by);
        adopted && owned.is_ok_and(|o| !o.contains_key(&(service.clone(), number)))
    }) && cluster
        .status(number)
        .is_ok_and(|s| s.upstream.in_flight == 0)
}
