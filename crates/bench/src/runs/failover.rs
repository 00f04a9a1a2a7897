//! `failover`: an owner's host is killed, frozen and cut off; its keys must be served again.

use std::thread;
use std::time::Duration;

use rustix::process::Signal;

use crate::args::BenchError;
use crate::cluster::Cluster;
use crate::load::{Load, Seen};
use crate::runs::environment;
use crate::runs::report::{Report, SERVED_AGAIN_MS};

/// How long the load runs before each loss.
const BEFORE: Duration = Duration::from_millis(1000);
/// How long a loss lasts: longer than a lease.
const LOSS: Duration = Duration::from_millis(4500);
/// How long the load runs after the return.
const AFTER: Duration = Duration::from_millis(1500);
/// How long the environment may take to be whole again.
const RECOVERY: Duration = Duration::from_secs(15);

/// Runs the losses one after the other.
///
/// # Errors
///
/// Returns an error where a promise did not hold.
pub fn run(_args: &[String]) -> Result<(), BenchError> {
    let mut cluster = Cluster::start(&environment::cooperative())?;
    let owners = cluster.hosts_of("order-desk");
    let mut report = Report::new("failover");
    let frozen = during(&mut cluster, |c| c.signal(owners[0], Signal::STOP, true))?;
    cluster.signal(owners[0], Signal::CONT, true);
    let frozen_daemon = after(&mut cluster, |c| c.signal(owners[1], Signal::STOP, false))?;
    cluster.signal(owners[1], Signal::CONT, false);
    let ips = cluster.ips();
    let cut = after(&mut cluster, |c| {
        c.network.isolate(c.hosts[owners[2]].ip, &ips)
    })?;
    cluster.network.heal();
    let upstream_killed = after(&mut cluster, |c| c.kill_upstream(owners[3]))?;
    cluster.start_upstream(owners[3])?;
    let killed = after(&mut cluster, |c| c.kill_host(owners[4]))?;
    let all = [
        ("frozen", &frozen),
        ("frozen_daemon", &frozen_daemon),
        ("cut", &cut),
        ("upstream_killed", &upstream_killed),
        ("killed", &killed),
    ];
    let seen: Vec<&Seen> = all.iter().map(|(_, s)| *s).collect();
    report.judge(&cluster, &seen)?;
    for (name, seen) in &all {
        println!("{name}: {:?}", seen.outcomes);
        Report::print_reasons(seen);
        let unavailable = seen.max_unavailable_ms();
        report.figure(&format!("{name}_ms"), unavailable);
    }
    let longest = seen
        .iter()
        .map(|s| s.max_unavailable_ms())
        .max()
        .unwrap_or(0);
    report.target("max_unavailable_ms", longest, longest <= SERVED_AGAIN_MS);
    report.end()
}

/// Waits until the environment is whole, then runs the load over a loss.
fn after(cluster: &mut Cluster, loss: impl FnOnce(&mut Cluster)) -> Result<Seen, BenchError> {
    cluster.wait_until("the environment is whole again", RECOVERY, Cluster::serves)?;
    during(cluster, loss)
}

/// Runs the load over a loss.
fn during(cluster: &mut Cluster, loss: impl FnOnce(&mut Cluster)) -> Result<Seen, BenchError> {
    let load = Load::start(&environment::bookings(cluster, 24));
    thread::sleep(BEFORE);
    loss(cluster);
    thread::sleep(LOSS);
    let seen = load.stop();
    thread::sleep(AFTER);
    Ok(seen)
}
