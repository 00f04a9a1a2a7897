//! `hot`: a set of hot keys that changes each few seconds.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use foxtaildrift::process::sync;

use crate::args::BenchError;
use crate::cluster::Cluster;
use crate::journal::{self, Run};
use crate::load::{self, Load, LoadSpec, Seen};
use crate::runs::compare;
use crate::runs::environment;
use crate::runs::report::Report;

/// How long a set of hot keys stays hot.
const TURN: Duration = Duration::from_secs(4);
/// How many sets there are.
const TURNS: u32 = 3;
/// The keys of a set.
const KEYS: u32 = 12;
/// The part of each turn that is left to adapt, in microseconds.
const ADAPT_US: u64 = 2_000_000;

/// Runs the experiment.
///
/// # Errors
///
/// Returns an error where a promise did not hold.
pub fn run(_args: &[String]) -> Result<(), BenchError> {
    let mut spec = environment::cooperative();
    spec.services.truncate(1);
    let mut report = Report::new("hot");
    let (adaptive, baseline) = compare::both(&spec, &mut report, experiment)?;
    compare::p99_ratio(&mut report, &adaptive, &baseline);
    report.end()
}

fn experiment(
    cluster: &mut Cluster,
    policy: &str,
    report: &mut Report,
) -> Result<Seen, BenchError> {
    let hot = Arc::new(Mutex::new(Vec::new()));
    let spec = LoadSpec {
        keys: 20,
        change_percent: 20,
        pace: Duration::from_millis(4),
        timeout: Duration::from_secs(1),
        hot: Some(Arc::clone(&hot)),
        ..environment::bookings(cluster, 48)
    };
    load::warm_up(&[&spec]);
    let load = Load::start(&spec);
    let mut imbalances = Vec::new();
    let before = cluster.status(0)?.epoch.0;
    for turn in 0..TURNS {
        *sync::lock(&hot) = (0..KEYS).map(|k| format!("hot-{turn}-{k}")).collect();
        let started = journal::micros_now();
        thread::sleep(TURN);
        let runs = journal::read_all(&cluster.folder).map_err(BenchError::turn("journals"))?;
        let settled = runs.iter().filter(|r| r.at > started + ADAPT_US);
        imbalances.push(imbalance(settled, cluster.hosts.len()));
    }
    let epochs = cluster.status(0)?.epoch.0 - before;
    let seen = load.stop();
    println!("{policy}: {:?} imbalances {imbalances:?}", seen.outcomes);
    Report::print_reasons(&seen);
    let runs = journal::read_all(&cluster.folder).map_err(BenchError::turn("journals"))?;
    let mean = imbalances.iter().sum::<f64>() / f64::from(TURNS);
    report.figure(&format!("{policy}_imbalance"), format!("{mean:.2}"));
    report.figure(&format!("{policy}_epochs"), epochs);
    report.figure(&format!("{policy}_slices_moved"), moves(&runs));
    report.judge(cluster, &[&seen])?;
    report.figure(
        &format!("{policy}_p99_ms"),
        format!("{:.1}", seen.latency_ms(0.99)),
    );
    Ok(seen)
}

/// Returns the load of the busiest upstream over the mean.
fn imbalance<'r>(runs: impl Iterator<Item = &'r Run>, upstreams: usize) -> f64 {
    let mut by_upstream: BTreeMap<&str, f64> = BTreeMap::new();
    for run in runs {
        *by_upstream.entry(&run.upstream).or_default() += 1.0;
    }
    let total: f64 = by_upstream.values().sum();
    let most = by_upstream.values().copied().fold(0.0, f64::max);
    most * upstreams as f64 / total.max(1.0)
}

/// Counts how often a slice's next run was on another upstream.
fn moves(runs: &[Run]) -> usize {
    let mut last: BTreeMap<&str, &str> = BTreeMap::new();
    let mut moves = 0;
    for run in runs {
        if last
            .insert(&run.slice, &run.upstream)
            .is_some_and(|before| before != run.upstream)
        {
            moves += 1;
        }
    }
    moves
}
