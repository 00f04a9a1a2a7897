//! Runs one experiment under the adaptive policy and under the baseline, side by side.

use crate::args::BenchError;
use crate::cluster::{Cluster, ClusterSpec};
use crate::load::Seen;
use crate::runs::environment;
use crate::runs::report::Report;

/// The name of the adaptive policy in figures.
pub const ADAPTIVE: &str = "adaptive";
/// The name of the baseline in figures.
pub const BASELINE: &str = "baseline";

/// Executes `experiment` on an environment of each policy, one after the other; it notes its
/// figures under the policy's name.
///
/// # Errors
///
/// Returns an error where an environment does not come up or the experiment fails.
pub fn both<T>(
    spec: &ClusterSpec,
    report: &mut Report,
    mut experiment: impl FnMut(&mut Cluster, &str, &mut Report) -> Result<T, BenchError>,
) -> Result<(T, T), BenchError> {
    let baseline = {
        let mut cluster = Cluster::start(&environment::with_baseline(spec))?;
        experiment(&mut cluster, BASELINE, report)?
    };
    let mut cluster = Cluster::start(spec)?;
    let adaptive = experiment(&mut cluster, ADAPTIVE, report)?;
    Ok((adaptive, baseline))
}

/// Notes the ratio of the latencies at p99.
pub fn p99_ratio(report: &mut Report, adaptive: &Seen, baseline: &Seen) {
    ratio(
        report,
        "p99",
        adaptive.latency_ms(0.99),
        baseline.latency_ms(0.99),
    );
}

/// Notes the ratio of a figure of the adaptive policy to that of the baseline.
pub fn ratio(report: &mut Report, name: &str, adaptive: f64, baseline: f64) {
    report.figure(
        &format!("{name}_ratio"),
        format!("{:.2}", adaptive / baseline),
    );
}
