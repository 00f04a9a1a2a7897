//! `control`: the network, CPU and memory use of idle daemons and their calls to the platform, in
//! cells of three sizes.

use std::thread;
use std::time::Duration;

use crate::args::BenchError;
use crate::cluster::Cluster;
use crate::runs::environment;
use crate::runs::report::Report;

/// The numbers of daemons in the measured cells.
const SIZES: [usize; 3] = [10, 40, 160];
/// How long a cell runs before it is measured.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// How long a cell is measured.
const MEASURE_TIME: Duration = Duration::from_secs(6);
/// The target: control traffic that a daemon may send, in bytes per second.
const BYTES_PER_S_MAX: f64 = 4096.0;
/// The target: the share of a core that an idle daemon may use, in per cent.
const CPU_PERCENT_MAX: f64 = 1.6;
/// The target: the resident memory that a daemon may use, in bytes.
const RESIDENT_BYTES_MAX: u64 = 64 * 1024 * 1024;

/// Measures a cell of each size.
///
/// # Errors
///
/// Returns an error if a cell can't be started or a target is missed.
pub fn run(_args: &[String]) -> Result<(), BenchError> {
    let mut report = Report::new("control");
    for size in SIZES {
        measure_cell(size, &mut report)?;
    }
    report.finish()
}

fn measure_cell(size: usize, report: &mut Report) -> Result<(), BenchError> {
    let cluster = Cluster::start_daemons_only(&environment::with_daemons(size))?;
    thread::sleep(SETTLE_TIME);
    let before = total_usage(&cluster)?;
    thread::sleep(MEASURE_TIME);
    let after = total_usage(&cluster)?;
    let daemon_seconds = size as f64 * MEASURE_TIME.as_secs_f64();
    let bytes = (after.bytes - before.bytes) / daemon_seconds;
    let datagrams = (after.datagrams - before.datagrams) / daemon_seconds;
    let cpu = (after.cpu_seconds - before.cpu_seconds) / daemon_seconds * 100.0;
    let calls = (after.platform_calls - before.platform_calls) / MEASURE_TIME.as_secs_f64();
    report.add_target(
        &format!("bytes_per_s_{size}"),
        format!("{bytes:.0}"),
        bytes <= BYTES_PER_S_MAX,
    );
    report.add_figure(
        &format!("datagrams_per_s_{size}"),
        format!("{datagrams:.1}"),
    );
    report.add_target(
        &format!("cpu_percent_{size}"),
        format!("{cpu:.2}"),
        cpu <= CPU_PERCENT_MAX,
    );
    let resident = after.resident_bytes;
    report.add_target(
        &format!("resident_kb_{size}"),
        resident / 1024,
        resident <= RESIDENT_BYTES_MAX,
    );
    report.add_figure(&format!("table_bytes_{size}"), cluster.table_bytes()?);
    report.add_figure(
        &format!("platform_calls_per_s_{size}"),
        format!("{calls:.2}"),
    );
    Ok(())
}

/// The resources that the daemons of a cell have used since their start: totals, and the largest
/// resident memory of a daemon.
struct CellUsage {
    bytes: f64,
    datagrams: f64,
    cpu_seconds: f64,
    resident_bytes: u64,
    platform_calls: f64,
}

fn total_usage(cluster: &Cluster) -> Result<CellUsage, BenchError> {
    let (mut bytes, mut datagrams, mut cpu_seconds, mut resident_bytes) = (0.0, 0.0, 0.0, 0);
    for number in 0..cluster.hosts.len() {
        let sent_label = "direction=\"sent\"";
        bytes += cluster.metric(number, "datagram_bytes_total", sent_label)?;
        datagrams += cluster.metric(number, "datagrams_total", sent_label)?;
        let usage = cluster.usage(number);
        cpu_seconds += usage.cpu_seconds;
        resident_bytes = resident_bytes.max(usage.resident_bytes);
    }
    let text = cluster.control_platform("calls", "")?;
    let platform_calls = text
        .split_whitespace()
        .next()
        .and_then(|n| n.parse().ok())
        .unwrap_or(0.0);
    Ok(CellUsage {
        bytes,
        datagrams,
        cpu_seconds,
        resident_bytes,
        platform_calls,
    })
}
