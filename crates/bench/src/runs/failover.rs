//! `failover`: the hosts of owners are paused, isolated and killed, and one loses its upstream; the
//! keys must be served again within the target.

use std::thread;
use std::time::Duration;

use rustix::process::Signal;

use crate::args::BenchError;
use crate::cluster::Cluster;
use crate::load::Load;
use crate::load::load_stats::LoadStats;
use crate::runs::environment;
use crate::runs::report::{Report, SERVED_AGAIN_MS_MAX};

/// How long the load runs before each loss.
const LOAD_BEFORE: Duration = Duration::from_millis(1000);
/// How long the load runs during a loss: longer than a lease.
const LOSS_TIME: Duration = Duration::from_millis(4500);
/// The pause after the load has stopped.
const PAUSE_AFTER: Duration = Duration::from_millis(1500);
/// How long the environment may take until all keys are served again.
const RECOVERY: Duration = Duration::from_secs(15);

/// Causes the losses one after the other.
///
/// # Errors
///
/// Returns an error if a promise was broken.
pub fn run(_args: &[String]) -> Result<(), BenchError> {
    let mut cluster = Cluster::start(&environment::cooperative())?;
    let owners = cluster.hosts_of_service("order-desk");
    let mut report = Report::new("failover");
    let frozen = load_over_loss(&mut cluster, |c| c.signal(owners[0], Signal::STOP, true))?;
    cluster.signal(owners[0], Signal::CONT, true);
    let frozen_daemon =
        recover_and_lose(&mut cluster, |c| c.signal(owners[1], Signal::STOP, false))?;
    cluster.signal(owners[1], Signal::CONT, false);
    let ips = cluster.ips();
    let cut = recover_and_lose(&mut cluster, |c| {
        c.network.isolate(c.hosts[owners[2]].ip, &ips)
    })?;
    cluster.network.heal();
    let upstream_killed = recover_and_lose(&mut cluster, |c| c.kill_upstream(owners[3]))?;
    cluster.start_upstream(owners[3])?;
    let killed = recover_and_lose(&mut cluster, |c| c.kill_host(owners[4]))?;
    let losses = [
        ("frozen", &frozen),
        ("frozen_daemon", &frozen_daemon),
        ("cut", &cut),
        ("upstream_killed", &upstream_killed),
        ("killed", &killed),
    ];
    let all_stats: Vec<&LoadStats> = losses.iter().map(|(_, s)| *s).collect();
    report.check_journals(&cluster, &all_stats)?;
    for (name, stats) in &losses {
        println!("{name}: {:?}", stats.outcomes);
        Report::print_reasons(stats);
        let unavailable = stats.max_unavailable_ms();
        report.add_figure(&format!("{name}_ms"), unavailable);
    }
    let longest = all_stats
        .iter()
        .map(|s| s.max_unavailable_ms())
        .max()
        .unwrap_or(0);
    report.add_target(
        "max_unavailable_ms",
        longest,
        longest <= SERVED_AGAIN_MS_MAX,
    );
    report.finish()
}

/// Waits until all keys are served again, then runs the load over the next loss.
fn recover_and_lose(
    cluster: &mut Cluster,
    loss: impl FnOnce(&mut Cluster),
) -> Result<LoadStats, BenchError> {
    cluster.wait_until("all keys are served again", RECOVERY, Cluster::is_serving)?;
    load_over_loss(cluster, loss)
}

/// Runs the load, causes a loss, and returns the load's statistics.
fn load_over_loss(
    cluster: &mut Cluster,
    loss: impl FnOnce(&mut Cluster),
) -> Result<LoadStats, BenchError> {
    let load = Load::start(&environment::booking_load(cluster, 24));
    thread::sleep(LOAD_BEFORE);
    loss(cluster);
    thread::sleep(LOSS_TIME);
    let stats = load.stop();
    thread::sleep(PAUSE_AFTER);
    Ok(stats)
}
