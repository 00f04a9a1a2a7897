//! `outage`: while the platform is down, the slices of lost upstreams are still taken over, and a
//! refused configuration change has no effect.

use std::thread;
use std::time::{Duration, Instant};

use crate::args::BenchError;
use crate::cluster::Cluster;
use crate::load::Load;
use crate::runs::environment;
use crate::runs::report::{Report, SERVED_AGAIN_MS_MAX};

/// How long the load runs before the first loss.
const LOAD_BEFORE: Duration = Duration::from_secs(3);
/// How long the load runs after each loss.
const LOAD_AFTER: Duration = Duration::from_secs(6);
/// The target: how soon a new configuration must be in force on all hosts.
const IN_FORCE_MAX: Duration = Duration::from_secs(15);
/// How long the environment may take until all keys are served again.
const RECOVERY: Duration = Duration::from_secs(20);

/// Causes the losses and the refused change while the platform is down, then ends the outage,
/// starts the lost processes and changes the configuration.
///
/// # Errors
///
/// Returns an error if a promise was broken.
pub fn run(_args: &[String]) -> Result<(), BenchError> {
    let mut cluster = Cluster::start(&environment::cooperative())?;
    let owners = cluster.hosts_of_service("order-desk");
    let before = cluster
        .operations()
        .configuration("production")
        .map_err(BenchError::with_context("reading the configuration"))?;
    cluster.control_platform("down", "1")?;
    let load = Load::start(&environment::booking_load(&cluster, 24));
    thread::sleep(LOAD_BEFORE);
    cluster.kill_host(owners[0]);
    thread::sleep(LOAD_AFTER);
    cluster.kill_upstream(owners[1]);
    let refused = cluster
        .apply_document(&format!("{}# changed\n", before.text))
        .is_err();
    thread::sleep(LOAD_AFTER);
    let stats = load.stop();
    println!("{:?}", stats.outcomes);
    Report::print_reasons(&stats);
    cluster.control_platform("down", "0")?;
    cluster.start_daemon(owners[0])?;
    cluster.start_upstream(owners[0])?;
    cluster.start_upstream(owners[1])?;
    cluster.wait_until("all keys are served again", RECOVERY, Cluster::is_serving)?;
    let after_refusal = cluster
        .operations()
        .configuration("production")
        .map_err(BenchError::with_context("reading the configuration"))?;
    let accepted_at = Instant::now();
    let changed = cluster.apply_document(&format!("{}# changed\n", before.text));
    let changed = changed.map_err(BenchError::with_context("changing the configuration"))?;
    cluster.wait_until("the configuration is in force", IN_FORCE_MAX, |c| {
        let statuses = (0..c.hosts.len()).map(|n| c.status(n));
        statuses
            .into_iter()
            .all(|s| s.is_ok_and(|s| s.configuration == changed.version))
    })?;
    let mut report = Report::new("outage");
    report.check_journals(&cluster, &[&stats])?;
    report.add_target(
        "refused_truthfully",
        refused,
        refused && after_refusal == before,
    );
    report.add_figure("in_force_ms", accepted_at.elapsed().as_millis());
    let longest = stats.max_unavailable_ms();
    report.add_target(
        "max_unavailable_ms",
        longest,
        longest <= SERVED_AGAIN_MS_MAX,
    );
    report.finish()
}
