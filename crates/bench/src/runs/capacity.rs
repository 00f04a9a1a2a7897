//! `capacity`: the cost of a hop through a daemon, compared with the direct path to an upstream.

use std::thread;
use std::time::{Duration, Instant};

use crate::args::BenchError;
use crate::cluster::Cluster;
use crate::journal;
use crate::load::Load;
use crate::load::load_spec::LoadSpec;
use crate::load::load_stats::LoadStats;
use crate::runs::environment;
use crate::runs::report::Report;

/// How long each load runs.
const LOAD_TIME: Duration = Duration::from_secs(4);
/// The number of callers that saturate a daemon.
const SATURATING_CALLERS: usize = 16;
/// The target: the latency that a hop may add at p99 on an idle machine, in milliseconds.
const HOP_MS_MAX: f64 = 1.0;

/// Measures one caller, then many, on three paths: directly to the upstream, through the owner's
/// daemon, and through another daemon.
///
/// # Errors
///
/// Returns an error if the environment can't be started or a hop adds too much latency.
pub fn run(_args: &[String]) -> Result<(), BenchError> {
    let mut spec = environment::with_daemons(4);
    spec.delay = Duration::ZERO;
    spec.workers = 32;
    spec.services[0].service_time_us = 0;
    spec.services[0].slots = 64;
    spec.services[0].cold_slots = 64;
    let cluster = Cluster::start(&spec)?;
    let owner = find_owner(&cluster)?;
    let other = (owner + 1) % cluster.hosts.len();
    let paths = [
        ("direct", cluster.hosts[owner].upstream),
        ("owner", cluster.hosts[owner].entry),
        ("other", cluster.hosts[other].entry),
    ];
    let mut report = Report::new("capacity");
    let mut unloaded_p99 = Vec::new();
    for (name, entry) in paths {
        let mut unloaded = single_caller_load(&cluster);
        unloaded.entries = vec![entry];
        let stats = run_load(&unloaded);
        for (quantile, label) in [(0.5, "p50"), (0.99, "p99")] {
            let millis = format!("{:.3}", stats.latency_ms(quantile));
            report.add_figure(&format!("{name}_{label}_ms"), millis);
        }
        unloaded_p99.push(stats.latency_ms(0.99));
    }
    let hop_ms =
        ((unloaded_p99[1] - unloaded_p99[0]).max(unloaded_p99[2] - unloaded_p99[1])).max(0.0);
    report.add_target("hop_p99_ms", format!("{hop_ms:.3}"), hop_ms <= HOP_MS_MAX);
    for (name, entry) in paths {
        let mut saturating = single_caller_load(&cluster);
        saturating.entries = vec![entry];
        saturating.callers = SATURATING_CALLERS;
        saturating.keys = 50;
        let before = [cluster.usage(owner), cluster.usage(other)];
        let started = Instant::now();
        let stats = run_load(&saturating);
        let rate = stats.ran as f64 / started.elapsed().as_secs_f64();
        report.add_figure(&format!("{name}_per_s"), format!("{rate:.0}"));
        report.add_figure(
            &format!("{name}_p99_loaded_ms"),
            format!("{:.2}", stats.latency_ms(0.99)),
        );
        let after = [cluster.usage(owner), cluster.usage(other)];
        let cpu: f64 = (0..2)
            .map(|n| after[n].cpu_seconds - before[n].cpu_seconds)
            .sum();
        let micros = cpu * 1e6 / stats.ran.max(1) as f64;
        report.add_figure(&format!("{name}_daemons_cpu_us"), format!("{micros:.0}"));
    }
    report.add_figure(
        "daemon_resident_kb",
        cluster.usage(owner).resident_bytes / 1024,
    );
    report.finish()
}

fn single_caller_load(cluster: &Cluster) -> LoadSpec {
    LoadSpec {
        callers: 1,
        mutation_percent: 0,
        pause: Duration::ZERO,
        ..environment::booking_load(cluster, 1)
    }
}

fn run_load(spec: &LoadSpec) -> LoadStats {
    let load = Load::start(spec);
    thread::sleep(LOAD_TIME);
    load.stop()
}

/// Returns the host that owns the single caller's key.
fn find_owner(cluster: &Cluster) -> Result<usize, BenchError> {
    let load = Load::start(&single_caller_load(cluster));
    thread::sleep(Duration::from_millis(500));
    load.stop();
    let runs = journal::read_all(&cluster.folder).map_err(BenchError::with_context("journals"))?;
    let upstream = runs.last().map(|r| r.upstream.clone()).unwrap_or_default();
    let owner = cluster
        .hosts
        .iter()
        .position(|h| h.upstream.to_string() == upstream);
    owner.ok_or_else(|| BenchError("no upstream ran a request".to_owned()))
}
