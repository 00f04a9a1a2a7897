//! Runs one experiment under the baseline policy and under the adaptive policy, to compare them.

use crate::args::BenchError;
use crate::cluster::Cluster;
use crate::cluster::cluster_spec::ClusterSpec;
use crate::load::load_stats::LoadStats;
use crate::runs::environment;
use crate::runs::report::Report;

/// The prefix of the adaptive policy in names of figures.
pub const ADAPTIVE: &str = "adaptive";
/// The prefix of the baseline policy in names of figures.
pub const BASELINE: &str = "baseline";

/// Executes `experiment` in one environment for each policy, first the baseline, and returns the
/// results (adaptive, baseline). The experiment gets the policy's name as prefix for its figures.
///
/// # Errors
///
/// Returns an error if an environment can't be started or the experiment fails.
pub fn run_both<T>(
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

/// Reports the ratio of the p99 latencies, adaptive to baseline.
pub fn add_p99_ratio(report: &mut Report, adaptive: &LoadStats, baseline: &LoadStats) {
    add_ratio(
        report,
        "p99",
        adaptive.latency_ms(0.99),
        baseline.latency_ms(0.99),
    );
}

/// Reports the ratio of a figure of the adaptive policy to that of the baseline.
pub fn add_ratio(report: &mut Report, name: &str, adaptive: f64, baseline: f64) {
    report.add_figure(
        &format!("{name}_ratio"),
        format!("{:.2}", adaptive / baseline),
    );
}
