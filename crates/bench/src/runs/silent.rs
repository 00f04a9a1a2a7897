//! `silent`: all open connections between daemons go silent for good; new ones work.

use std::thread;
use std::time::Duration;

use crate::args::BenchError;
use crate::cluster::Cluster;
use crate::load::Load;
use crate::runs::environment;
use crate::runs::report::{Report, SERVED_AGAIN_MS};

/// How long the load runs between two silences.
const BETWEEN: Duration = Duration::from_secs(3);
/// How many silences there are.
const SILENCES: usize = 4;

/// Runs the silences.
///
/// # Errors
///
/// Returns an error where a promise did not hold.
pub fn run(_args: &[String]) -> Result<(), BenchError> {
    let cluster = Cluster::start(&environment::cooperative())?;
    let load = Load::start(&environment::bookings(&cluster, 24));
    let uploads = Load::start(&environment::uploads(&cluster, "export-office", 8));
    for _ in 0..SILENCES {
        thread::sleep(BETWEEN);
        cluster.network.silence_open_connections();
    }
    thread::sleep(BETWEEN);
    let (seen, uploaded) = (load.stop(), uploads.stop());
    println!("{:?} {:?}", seen.outcomes, uploaded.outcomes);
    Report::print_reasons(&seen);
    Report::print_reasons(&uploaded);
    let mut report = Report::new("silent");
    report.judge(&cluster, &[&seen, &uploaded])?;
    report.figure("p99_ms", format!("{:.1}", seen.latency_ms(0.99)));
    let longest = seen.max_unavailable_ms().max(uploaded.max_unavailable_ms());
    report.target("max_unavailable_ms", longest, longest <= SERVED_AGAIN_MS);
    report.end()
}
