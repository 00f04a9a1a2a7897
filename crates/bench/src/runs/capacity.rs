//! `capacity`: what a hop costs, against the direct path to an upstream.

use std::thread;
use std::time::{Duration, Instant};

use crate::args::BenchError;
use crate::cluster::Cluster;
use crate::journal;
use crate::load::{Load, LoadSpec, Seen};
use crate::runs::environment;
use crate::runs::report::Report;

/// How long each load runs.
const PHASE: Duration = Duration::from_secs(4);
/// The callers that ask for all that a daemon gives.
const CALLERS: usize = 16;
/// The most that a hop may add at p99 on an idle machine, in milliseconds.
const HOP_MS_MAX: f64 = 1.0;

/// Measures one caller, then many, on the direct path, through the owner, and through another
/// daemon.
///
/// # Errors
///
/// Returns an error where the environment does not come up or a hop adds too much.
pub fn run(_args: &[String]) -> Result<(), BenchError> {
    let mut spec = environment::of_size(4);
    spec.delay = Duration::ZERO;
    spec.workers = 32;
    spec.services[0].service_us = 0;
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
    let mut alone = Vec::new();
    for (name, entry) in paths {
        let mut one = caller(&cluster);
        one.entries = vec![entry];
        let seen = measure(&one);
        for (quantile, of) in [(0.5, "p50"), (0.99, "p99")] {
            let millis = format!("{:.3}", seen.latency_ms(quantile));
            report.figure(&format!("{name}_{of}_ms"), millis);
        }
        alone.push(seen.latency_ms(0.99));
    }
    let hop = ((alone[1] - alone[0]).max(alone[2] - alone[1])).max(0.0);
    report.target("hop_p99_ms", format!("{hop:.3}"), hop <= HOP_MS_MAX);
    for (name, entry) in paths {
        let mut many = caller(&cluster);
        many.entries = vec![entry];
        many.callers = CALLERS;
        many.keys = 50;
        let before = [cluster.usage(owner), cluster.usage(other)];
        let started = Instant::now();
        let seen = measure(&many);
        let rate = seen.ran as f64 / started.elapsed().as_secs_f64();
        report.figure(&format!("{name}_per_s"), format!("{rate:.0}"));
        report.figure(
            &format!("{name}_p99_loaded_ms"),
            format!("{:.2}", seen.latency_ms(0.99)),
        );
        let after = [cluster.usage(owner), cluster.usage(other)];
        let cpu: f64 = (0..2)
            .map(|n| after[n].cpu_seconds - before[n].cpu_seconds)
            .sum();
        let micros = cpu * 1e6 / seen.ran.max(1) as f64;
        report.figure(&format!("{name}_daemons_cpu_us"), format!("{micros:.0}"));
    }
    report.figure("daemon_resident_kb", cluster.usage(owner).resident / 1024);
    report.end()
}

fn caller(cluster: &Cluster) -> LoadSpec {
    LoadSpec {
        callers: 1,
        change_percent: 0,
        pace: Duration::ZERO,
        ..environment::bookings(cluster, 1)
    }
}

fn measure(spec: &LoadSpec) -> Seen {
    let load = Load::start(spec);
    thread::sleep(PHASE);
    load.stop()
}

/// Returns the host that owns the single caller's key.
fn find_owner(cluster: &Cluster) -> Result<usize, BenchError> {
    let load = Load::start(&caller(cluster));
    thread::sleep(Duration::from_millis(500));
    load.stop();
    let runs = journal::read_all(&cluster.folder).map_err(BenchError::turn("journals"))?;
    let upstream = runs.last().map(|r| r.upstream.clone()).unwrap_or_default();
    let owner = cluster
        .hosts
        .iter()
        .position(|h| h.upstream.to_string() == upstream);
    owner.ok_or_else(|| BenchError("nothing ran".to_owned()))
}
