//! `adoption`: an accepted configuration comes into force on all hosts: under load, after a network
//! partition, while replies of the platform are lost, and on a host whose daemon restarts without
//! state.

use std::thread;
use std::time::{Duration, Instant};

use foxtaildrift::process::operations::{DrainTarget, OperationError, PRODUCTION};
use foxtaildrift::version::document_version::DocumentVersion;

use crate::args::BenchError;
use crate::cluster::Cluster;
use crate::load::Load;
use crate::runs::environment;
use crate::runs::report::Report;

/// The target: how soon a new configuration must be in force on all hosts.
const IN_FORCE_MAX: Duration = Duration::from_secs(15);
/// The number of configuration changes under load.
const CHANGES: u32 = 10;
/// How long the partition lasts: longer than a lease.
const PARTITION_TIME: Duration = Duration::from_secs(4);

/// Makes the changes one after the other and measures each.
///
/// # Errors
///
/// Returns an error if a configuration came into force too late or a promise was broken.
pub fn run(_args: &[String]) -> Result<(), BenchError> {
    let mut cluster = Cluster::start(&environment::cooperative())?;
    let load = Load::start(&environment::booking_load(&cluster, 24));
    let mut report = Report::new("adoption");
    let all_hosts: Vec<usize> = (0..cluster.hosts.len()).collect();
    let mut slowest = Duration::ZERO;
    for number in 0..CHANGES {
        slowest = slowest.max(change_and_wait(&cluster, &all_hosts, number)?);
    }
    report.add_figure("changes", CHANGES);
    report.add_target(
        "under_load_ms",
        slowest.as_millis(),
        slowest <= IN_FORCE_MAX,
    );

    let cut = all_hosts[all_hosts.len() - 1];
    cluster
        .network
        .isolate(cluster.hosts[cut].ip, &cluster.ips());
    let others: Vec<usize> = all_hosts.iter().copied().filter(|&n| n != cut).collect();
    let version = make_change(&cluster, CHANGES)?;
    let among_others = wait_until_in_force(&cluster, &others, version)?;
    report.add_target(
        "others_while_cut_ms",
        among_others.as_millis(),
        among_others <= IN_FORCE_MAX,
    );
    thread::sleep(PARTITION_TIME);
    cluster.network.heal();
    let healed = wait_until_in_force(&cluster, &all_hosts, version)?;
    report.add_target("after_heal_ms", healed.as_millis(), healed <= IN_FORCE_MAX);

    cluster.control_platform("lose-one-in", "3")?;
    let with_losses = change_and_wait(&cluster, &all_hosts, CHANGES + 1)?;
    cluster.control_platform("lose-one-in", "0")?;
    report.add_target(
        "lost_answers_ms",
        with_losses.as_millis(),
        with_losses <= IN_FORCE_MAX,
    );

    let version = cluster.status(0)?.configuration;
    cluster.kill_daemon(cut);
    cluster.start_daemon(cut)?;
    let restarted = wait_until_in_force(&cluster, &[cut], version)?;
    report.add_target(
        "restarted_host_ms",
        restarted.as_millis(),
        restarted <= IN_FORCE_MAX,
    );
    let stats = load.stop();
    report.check_journals(&cluster, &[&stats])?;
    report.finish()
}

/// Makes one change and returns how long it took to come into force on `hosts`.
fn change_and_wait(
    cluster: &Cluster,
    hosts: &[usize],
    number: u32,
) -> Result<Duration, BenchError> {
    let version = make_change(cluster, number)?;
    wait_until_in_force(cluster, hosts, version)
}

/// Makes one change and returns its version, which is read back if the result is in doubt.
fn make_change(cluster: &Cluster, number: u32) -> Result<DocumentVersion, BenchError> {
    let operations = cluster.operations();
    // No upstream has this address, so no slice moves.
    let target = DrainTarget::Upstream(([127, 0, 0, 1], 1).into());
    let changed = match number.is_multiple_of(2) {
        true => operations.drain(PRODUCTION, &target),
        false => operations.undrain(PRODUCTION, &target),
    };
    match changed {
        Ok(configuration) => Ok(configuration.version),
        Err(OperationError::InDoubt { .. }) => {
            let current = operations.configuration(PRODUCTION);
            current
                .map(|c| c.version)
                .map_err(BenchError::with_context("reading the configuration"))
        }
        Err(e) => Err(BenchError(format!("change {number}: {e}"))),
    }
}

/// Waits until `version` or a later one is in force on `hosts`, and returns the time waited.
fn wait_until_in_force(
    cluster: &Cluster,
    hosts: &[usize],
    version: DocumentVersion,
) -> Result<Duration, BenchError> {
    let started = Instant::now();
    cluster.wait_until("the configuration is in force", IN_FORCE_MAX, |c| {
        let in_force = |n: &usize| c.status(*n).is_ok_and(|s| s.configuration >= version);
        hosts.iter().all(in_force)
    })?;
    Ok(started.elapsed())
}
