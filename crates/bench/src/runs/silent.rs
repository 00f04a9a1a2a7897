//! `silent`: all open connections between daemons stop carrying data without being closed, while
//! new connections work.

use std::thread;
use std::time::Duration;

use crate::args::BenchError;
use crate::cluster::Cluster;
use crate::load::Load;
use crate::runs::environment;
use crate::runs::report::{Report, SERVED_AGAIN_MS_MAX};

/// How long the load runs before and after each silencing.
const SILENCE_INTERVAL: Duration = Duration::from_secs(3);
/// How often the open connections are silenced.
const SILENCES: usize = 4;

/// Silences the open connections several times under load.
///
/// # Errors
///
/// Returns an error if a promise was broken.
pub fn run(_args: &[String]) -> Result<(), BenchError> {
    let cluster = Cluster::start(&environment::cooperative())?;
    let load = Load::start(&environment::booking_load(&cluster, 24));
    let uploads = Load::start(&environment::upload_load(&cluster, "export-office", 8));
    for _ in 0..SILENCES {
        thread::sleep(SILENCE_INTERVAL);
        cluster.network.stall_open_connections();
    }
    thread::sleep(SILENCE_INTERVAL);
    let (stats, upload_stats) = (load.stop(), uploads.stop());
    println!("{:?} {:?}", stats.outcomes, upload_stats.outcomes);
    Report::print_reasons(&stats);
    Report::print_reasons(&upload_stats);
    let mut report = Report::new("silent");
    report.check_journals(&cluster, &[&stats, &upload_stats])?;
    report.add_figure("p99_ms", format!("{:.1}", stats.latency_ms(0.99)));
    let longest = stats
        .max_unavailable_ms()
        .max(upload_stats.max_unavailable_ms());
    report.add_target(
        "max_unavailable_ms",
        longest,
        longest <= SERVED_AGAIN_MS_MAX,
    );
    report.finish()
}
