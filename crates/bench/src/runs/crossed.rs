//! `crossed`: answers come late and cut, datagrams are lost; no caller gets another's answer, or
//! part of one.

use std::thread;
use std::time::Duration;

use crate::args::BenchError;
use crate::cluster::Cluster;
use crate::load::{Load, LoadSpec};
use crate::runs::environment;
use crate::runs::report::Report;

/// How long each fault lasts.
const FAULT: Duration = Duration::from_secs(4);
/// How late answers come, one way: longer than callers wait.
const LATE: Duration = Duration::from_millis(120);
/// One in so many pieces on a connection is cut.
const CUT_ONE_IN: u64 = 40;
/// One in so many datagrams is lost.
const LOST_ONE_IN: u64 = 5;

/// Runs the faults one after the other.
///
/// # Errors
///
/// Returns an error where a promise did not hold.
pub fn run(_args: &[String]) -> Result<(), BenchError> {
    let cluster = Cluster::start(&environment::cooperative())?;
    let impatient = |spec: LoadSpec| LoadSpec {
        timeout: Duration::from_millis(150),
        ..spec
    };
    let load = Load::start(&impatient(environment::bookings(&cluster, 24)));
    let uploads = Load::start(&impatient(environment::uploads(
        &cluster,
        "export-office",
        8,
    )));
    cluster.network.cut_pieces(CUT_ONE_IN);
    cluster.network.drop_datagrams(LOST_ONE_IN);
    thread::sleep(FAULT);
    let ips = cluster.ips();
    for &from in &ips[..3] {
        for &to in &ips[3..] {
            cluster.network.set_delay(from, to, LATE);
        }
    }
    thread::sleep(FAULT);
    let (seen, uploaded) = (load.stop(), uploads.stop());
    println!("{:?} {:?}", seen.outcomes, uploaded.outcomes);
    let mut report = Report::new("crossed");
    report.judge(&cluster, &[&seen, &uploaded])?;
    report.end()
}
