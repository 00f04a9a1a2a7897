//! `outage`: the platform is down throughout; losses are still taken over, and documents are
//! refused truthfully.

use std::thread;
use std::time::{Duration, Instant};

use crate::args::BenchError;
use crate::cluster::Cluster;
use crate::load::Load;
use crate::runs::environment;
use crate::runs::report::{Report, SERVED_AGAIN_MS};

/// How long the load runs before the first loss.
const BEFORE: Duration = Duration::from_secs(3);
/// How long it runs after each loss.
const AFTER: Duration = Duration::from_secs(6);
/// How soon a configuration must be in force everywhere (letter 1).
const IN_FORCE: Duration = Duration::from_secs(15);
/// How long the environment may take to be whole again.
const RECOVERY: Duration = Duration::from_secs(20);

/// Runs the outage.
///
/// # Errors
///
/// Returns an error where a promise did not hold.
pub fn run(_args: &[String]) -> Result<(), BenchError> {
    let mut cluster = Cluster::start(&environment::cooperative())?;
    let owners = cluster.hosts_of("order-desk");
    let before = cluster
        .operations()
        .configuration("production")
        .map_err(BenchError::turn("show"))?;
    cluster.control_platform("down", "1")?;
    let load = Load::start(&environment::bookings(&cluster, 24));
    thread::sleep(BEFORE);
    cluster.kill_host(owners[0]);
    thread::sleep(AFTER);
    cluster.kill_upstream(owners[1]);
    let refused = cluster
        .apply(&format!("{}# changed\n", before.text))
        .is_err();
    thread::sleep(AFTER);
    let seen = load.stop();
    println!("{:?}", seen.outcomes);
    Report::print_reasons(&seen);
    cluster.control_platform("down", "0")?;
    cluster.start_daemon(owners[0])?;
    cluster.start_upstream(owners[0])?;
    cluster.start_upstream(owners[1])?;
    cluster.wait_until("the environment is whole again", RECOVERY, Cluster::serves)?;
    let unchanged = cluster
        .operations()
        .configuration("production")
        .map_err(BenchError::turn("show"))?;
    let accepted = Instant::now();
    let changed = cluster.apply(&format!("{}# changed\n", before.text));
    let changed = changed.map_err(BenchError::turn("document"))?;
    cluster.wait_until("the configuration is in force", IN_FORCE, |c| {
        let statuses = (0..c.hosts.len()).map(|n| c.status(n));
        statuses
            .into_iter()
            .all(|s| s.is_ok_and(|s| s.configuration == changed.version))
    })?;
    let mut report = Report::new("outage");
    report.judge(&cluster, &[&seen])?;
    report.target(
        "refused_truthfully",
        refused,
        refused && unchanged == before,
    );
    report.figure("in_force_ms", accepted.elapsed().as_millis());
    let longest = seen.max_unavailable_ms();
    report.target("max_unavailable_ms", longest, longest <= SERVED_AGAIN_MS);
    report.end()
}
