//! `crossed`: responses arrive late, connections break within a message, and datagrams are lost; no
//! caller may receive another caller's response or a truncated one.

use std::thread;
use std::time::Duration;

use crate::args::BenchError;
use crate::cluster::Cluster;
use crate::load::Load;
use crate::load::load_spec::LoadSpec;
use crate::runs::environment;
use crate::runs::report::Report;

/// How long the load runs under each set of faults.
const PHASE_TIME: Duration = Duration::from_secs(4);
/// The one-way delay between two groups of hosts: responses arrive after the callers' timeout.
const DELAY: Duration = Duration::from_millis(120);
/// One in this number of forwarded chunks is truncated, which ends its connection.
const TRUNCATE_ONE_IN: u64 = 40;
/// One in this number of datagrams is lost.
const DATAGRAM_LOSS_ONE_IN: u64 = 5;

/// Injects the faults one after the other under load.
///
/// # Errors
///
/// Returns an error if a promise was broken.
pub fn run(_args: &[String]) -> Result<(), BenchError> {
    let cluster = Cluster::start(&environment::cooperative())?;
    let with_short_timeout = |spec: LoadSpec| LoadSpec {
        timeout: Duration::from_millis(150),
        ..spec
    };
    let load = Load::start(&with_short_timeout(environment::booking_load(&cluster, 24)));
    let uploads = Load::start(&with_short_timeout(environment::upload_load(
        &cluster,
        "export-office",
        8,
    )));
    cluster.network.truncate_chunks(TRUNCATE_ONE_IN);
    cluster.network.drop_datagrams(DATAGRAM_LOSS_ONE_IN);
    thread::sleep(PHASE_TIME);
    let ips = cluster.ips();
    for &from in &ips[..3] {
        for &to in &ips[3..] {
            cluster.network.set_delay(from, to, DELAY);
        }
    }
    thread::sleep(PHASE_TIME);
    let (stats, upload_stats) = (load.stop(), uploads.stop());
    println!("{:?} {:?}", stats.outcomes, upload_stats.outcomes);
    let mut report = Report::new("crossed");
    report.check_journals(&cluster, &[&stats, &upload_stats])?;
    report.finish()
}
