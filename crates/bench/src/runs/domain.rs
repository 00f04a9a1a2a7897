//! `domain`: one failure domain of the co-operative goes out and comes back under load.

use std::thread;
use std::time::{Duration, Instant};

use foxtaildrift::process::operations::{DrainTarget, PRODUCTION};

use crate::args::BenchError;
use crate::cluster::Cluster;
use crate::journal;
use crate::load::{self, Load, Seen};
use crate::runs::compare;
use crate::runs::environment;
use crate::runs::report::Report;

/// How long the load runs before, between and after the moves.
const PHASE: Duration = Duration::from_secs(4);
/// How soon the domain must get no new work, in milliseconds: "a few seconds" in the brief.
const NO_NEW_WORK_MS: u64 = 4000;

/// Runs the experiment.
///
/// # Errors
///
/// Returns an error where a promise did not hold.
pub fn run(_args: &[String]) -> Result<(), BenchError> {
    let mut report = Report::new("domain");
    let (adaptive, baseline) = compare::both(&environment::cooperative(), &mut report, experiment)?;
    compare::p99_ratio(&mut report, &adaptive, &baseline);
    report.end()
}

fn experiment(
    cluster: &mut Cluster,
    policy: &str,
    report: &mut Report,
) -> Result<Seen, BenchError> {
    let (bookings, uploads) = (
        environment::bookings(cluster, 24),
        environment::uploads(cluster, "export-office", 8),
    );
    load::warm_up(&[&bookings, &uploads]);
    let (load, uploads) = (Load::start(&bookings), Load::start(&uploads));
    thread::sleep(PHASE);
    let domain = cluster.hosts[0].domain;
    let target = DrainTarget::Domain(domain.parse().map_err(BenchError::turn("domain"))?);
    let turn = BenchError::turn("operation");
    cluster
        .operations()
        .drain(PRODUCTION, &target)
        .map_err(&turn)?;
    let accepted = journal::micros_now();
    let drained = Instant::now();
    thread::sleep(PHASE);
    cluster
        .operations()
        .undrain(PRODUCTION, &target)
        .map_err(&turn)?;
    let returned = accepted + u64::try_from(drained.elapsed().as_micros()).unwrap_or(0);
    thread::sleep(PHASE);
    let (seen, uploaded) = (load.stop(), uploads.stop());
    println!("{policy}: {:?} {:?}", seen.outcomes, uploaded.outcomes);
    Report::print_reasons(&seen);
    Report::print_reasons(&uploaded);
    let last = last_run_in(cluster, domain, returned)?;
    let no_new_work = last.saturating_sub(accepted) / 1000;
    report.target(
        &format!("{policy}_no_new_work_ms"),
        no_new_work,
        no_new_work <= NO_NEW_WORK_MS,
    );
    report.judge(cluster, &[&seen, &uploaded])?;
    report.figure(
        &format!("{policy}_p99_ms"),
        format!("{:.1}", seen.latency_ms(0.99)),
    );
    report.figure(
        &format!("{policy}_max_unavailable_ms"),
        seen.max_unavailable_ms(),
    );
    report.figure(
        &format!("{policy}_mean_unavailable_ms"),
        seen.mean_unavailable_ms(),
    );
    Ok(seen)
}

/// Returns when an upstream of `domain` last ran something before `until`.
fn last_run_in(cluster: &Cluster, domain: &str, until: u64) -> Result<u64, BenchError> {
    let runs = journal::read_all(&cluster.folder).map_err(BenchError::turn("journals"))?;
    let upstreams: Vec<String> = cluster
        .hosts_in(domain)
        .into_iter()
        .map(|n| cluster.hosts[n].upstream.to_string())
        .collect();
    let there = runs
        .iter()
        .filter(|r| r.at < until && upstreams.contains(&r.upstream));
    Ok(there.map(|r| r.at).max().unwrap_or(0))
}
