//! `hot`: half of the requests go to a set of hot keys that changes every few seconds.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use foxtaildrift::process::sync;

use crate::args::BenchError;
use crate::cluster::Cluster;
use crate::journal::{self, Run};
use crate::load::load_spec::LoadSpec;
use crate::load::load_stats::LoadStats;
use crate::load::{self, Load};
use crate::runs::compare;
use crate::runs::environment;
use crate::runs::report::Report;

/// How long each set of keys is hot.
const HOT_SET_TIME: Duration = Duration::from_secs(4);
/// The number of successive hot sets.
const HOT_SETS: u32 = 3;
/// The number of keys in a hot set.
const KEYS_PER_SET: u32 = 12;
/// How long after a change of the hot set its load is not measured, so that the daemons can adapt,
/// in microseconds.
const ADAPTATION_US: u64 = 2_000_000;

/// Runs the experiment under both policies and compares their latencies.
///
/// # Errors
///
/// Returns an error if a promise was broken.
pub fn run(_args: &[String]) -> Result<(), BenchError> {
    let mut spec = environment::cooperative();
    spec.services.truncate(1);
    let mut report = Report::new("hot");
    let (adaptive, baseline) = compare::run_both(&spec, &mut report, experiment)?;
    compare::add_p99_ratio(&mut report, &adaptive, &baseline);
    report.finish()
}

fn experiment(
    cluster: &mut Cluster,
    policy: &str,
    report: &mut Report,
) -> Result<LoadStats, BenchError> {
    let hot = Arc::new(Mutex::new(Vec::new()));
    let spec = LoadSpec {
        keys: 20,
        mutation_percent: 20,
        pause: Duration::from_millis(4),
        timeout: Duration::from_secs(1),
        hot_keys: Some(Arc::clone(&hot)),
        ..environment::booking_load(cluster, 48)
    };
    load::warm_up(&[&spec]);
    let load = Load::start(&spec);
    let mut imbalances = Vec::new();
    let first_epoch = cluster.status(0)?.epoch.0;
    for set in 0..HOT_SETS {
        *sync::lock(&hot) = (0..KEYS_PER_SET)
            .map(|k| format!("hot-{set}-{k}"))
            .collect();
        let started = journal::micros_now();
        thread::sleep(HOT_SET_TIME);
        let runs =
            journal::read_all(&cluster.folder).map_err(BenchError::with_context("journals"))?;
        let measured = runs.iter().filter(|r| r.at > started + ADAPTATION_US);
        imbalances.push(imbalance(measured, cluster.hosts.len()));
    }
    let epochs = cluster.status(0)?.epoch.0 - first_epoch;
    let stats = load.stop();
    println!("{policy}: {:?} imbalances {imbalances:?}", stats.outcomes);
    Report::print_reasons(&stats);
    let runs = journal::read_all(&cluster.folder).map_err(BenchError::with_context("journals"))?;
    let mean = imbalances.iter().sum::<f64>() / f64::from(HOT_SETS);
    report.add_figure(&format!("{policy}_imbalance"), format!("{mean:.2}"));
    report.add_figure(&format!("{policy}_epochs"), epochs);
    report.add_figure(&format!("{policy}_slices_moved"), count_slice_moves(&runs));
    report.check_journals(cluster, &[&stats])?;
    report.add_figure(
        &format!("{policy}_p99_ms"),
        format!("{:.1}", stats.latency_ms(0.99)),
    );
    Ok(stats)
}

/// Returns the load of the busiest upstream divided by the mean load.
fn imbalance<'r>(runs: impl Iterator<Item = &'r Run>, upstreams: usize) -> f64 {
    let mut by_upstream: BTreeMap<&str, f64> = BTreeMap::new();
    for run in runs {
        *by_upstream.entry(&run.upstream).or_default() += 1.0;
    }
    let total: f64 = by_upstream.values().sum();
    let highest = by_upstream.values().copied().fold(0.0, f64::max);
    highest * upstreams as f64 / total.max(1.0)
}

/// Counts how often two successive requests of a slice ran on different upstreams.
fn count_slice_moves(runs: &[Run]) -> usize {
    let mut last: BTreeMap<&str, &str> = BTreeMap::new();
    let mut moves = 0;
    for run in runs {
        if last
            .insert(&run.slice, &run.upstream)
            .is_some_and(|previous| previous != run.upstream)
        {
            moves += 1;
        }
    }
    moves
}
