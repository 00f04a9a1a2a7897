//! `adoption`: an accepted configuration comes into force everywhere, under load, through a
//! partition that heals, through lost answers, and on a host that restarts with nothing.

use std::thread;
use std::time::{Duration, Instant};

use foxtaildrift::process::operations::{DrainTarget, OperationError, PRODUCTION};
use foxtaildrift::version::document_version::DocumentVersion;

use crate::args::BenchError;
use crate::cluster::Cluster;
use crate::load::Load;
use crate::runs::environment;
use crate::runs::report::Report;

/// How soon a configuration must be in force everywhere (letter 1).
const IN_FORCE: Duration = Duration::from_secs(15);
/// How many changes are made under load.
const CHANGES: u32 = 10;
/// How long the partition lasts: longer than a lease.
const CUT: Duration = Duration::from_secs(4);

/// Runs the changes.
///
/// # Errors
///
/// Returns an error where a configuration came late, or a version fell.
pub fn run(_args: &[String]) -> Result<(), BenchError> {
    let mut cluster = Cluster::start(&environment::cooperative())?;
    let load = Load::start(&environment::bookings(&cluster, 24));
    let mut report = Report::new("adoption");
    let all: Vec<usize> = (0..cluster.hosts.len()).collect();
    let mut slowest = Duration::ZERO;
    for number in 0..CHANGES {
        slowest = slowest.max(change(&cluster, &all, number)?);
    }
    report.figure("changes", CHANGES);
    report.target("under_load_ms", slowest.as_millis(), slowest <= IN_FORCE);

    let cut = all[all.len() - 1];
    cluster
        .network
        .isolate(cluster.hosts[cut].ip, &cluster.ips());
    let others: Vec<usize> = all.iter().copied().filter(|&n| n != cut).collect();
    let version = accept(&cluster, CHANGES)?;
    let among_others = wait(&cluster, &others, version)?;
    report.target(
        "others_while_cut_ms",
        among_others.as_millis(),
        among_others <= IN_FORCE,
    );
    thread::sleep(CUT);
    cluster.network.heal();
    let healed = wait(&cluster, &all, version)?;
    report.target("after_heal_ms", healed.as_millis(), healed <= IN_FORCE);

    cluster.control_platform("lose-one-in", "3")?;
    let through_losses = change(&cluster, &all, CHANGES + 1)?;
    cluster.control_platform("lose-one-in", "0")?;
    report.target(
        "lost_answers_ms",
        through_losses.as_millis(),
        through_losses <= IN_FORCE,
    );

    let version = cluster.status(0)?.configuration;
    cluster.kill_daemon(cut);
    cluster.start_daemon(cut)?;
    let restarted = wait(&cluster, &[cut], version)?;
    report.target(
        "restarted_host_ms",
        restarted.as_millis(),
        restarted <= IN_FORCE,
    );
    let seen = load.stop();
    report.judge(&cluster, &[&seen])?;
    report.end()
}

/// Makes one change and returns how long it took to be in force at `hosts`.
fn change(cluster: &Cluster, hosts: &[usize], number: u32) -> Result<Duration, BenchError> {
    let version = accept(cluster, number)?;
    wait(cluster, hosts, version)
}

/// Makes one change; one that is in doubt is looked up.
fn accept(cluster: &Cluster, number: u32) -> Result<DocumentVersion, BenchError> {
    let operations = cluster.operations();
    // No upstream has this address, so that nothing moves.
    let target = DrainTarget::Upstream(([127, 0, 0, 1], 1).into());
    let changed = match number.is_multiple_of(2) {
        true => operations.drain(PRODUCTION, &target),
        false => operations.undrain(PRODUCTION, &target),
    };
    match changed {
        Ok(configuration) => Ok(configuration.version),
        Err(OperationError::InDoubt { .. }) => {
            let present = operations.configuration(PRODUCTION);
            present.map(|c| c.version).map_err(BenchError::turn("show"))
        }
        Err(e) => Err(BenchError(format!("change {number}: {e}"))),
    }
}

/// Waits until `version`, or a later one, is in force at `hosts`.
fn wait(
    cluster: &Cluster,
    hosts: &[usize],
    version: DocumentVersion,
) -> Result<Duration, BenchError> {
    let started = Instant::now();
    cluster.wait_until("the configuration is in force", IN_FORCE, |c| {
        let in_force = |n: &usize| c.status(*n).is_ok_and(|s| s.configuration >= version);
        hosts.iter().all(in_force)
    })?;
    Ok(started.elapsed())
}
