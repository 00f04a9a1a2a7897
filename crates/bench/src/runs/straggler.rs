//! `straggler`: Golobnik's two services, a third of the upstreams slowed fivefold in turns.

use std::thread;
use std::time::Duration;

use crate::args::BenchError;
use crate::cluster::Cluster;
use crate::load::{self, Load, LoadSpec, Seen};
use crate::runs::compare;
use crate::runs::environment;
use crate::runs::report::Report;

/// How long each third stays slow.
const TURN: Duration = Duration::from_secs(3);
/// How many turns there are.
const TURNS: usize = 3;
/// How many times slower a straggler is.
const SLOW: &str = "5";
/// The time of an order, in microseconds.
const SERVICE_US: u64 = 20_000;

/// Runs the experiment.
///
/// # Errors
///
/// Returns an error where a promise did not hold.
pub fn run(_args: &[String]) -> Result<(), BenchError> {
    let mut spec = environment::golobnik();
    for service in &mut spec.services {
        service.service_us = SERVICE_US;
    }
    let mut report = Report::new("straggler");
    let (adaptive, baseline) = compare::both(&spec, &mut report, experiment)?;
    compare::ratio(
        &mut report,
        "ring_mean",
        adaptive.1.mean_ms(),
        baseline.1.mean_ms(),
    );
    compare::ratio(
        &mut report,
        "loft_mean",
        adaptive.0.mean_ms(),
        baseline.0.mean_ms(),
    );
    for (quantile, name) in [(0.5, "p50"), (0.99, "p99"), (0.999, "p999")] {
        let of = |seen: &Seen| seen.latency_ms(quantile);
        compare::ratio(
            &mut report,
            &format!("ring_{name}"),
            of(&adaptive.1),
            of(&baseline.1),
        );
        compare::ratio(
            &mut report,
            &format!("loft_{name}"),
            of(&adaptive.0),
            of(&baseline.0),
        );
    }
    report.end()
}

fn experiment(
    cluster: &mut Cluster,
    policy: &str,
    report: &mut Report,
) -> Result<(Seen, Seen), BenchError> {
    let lookups = LoadSpec {
        change_percent: 0,
        keys: 20,
        timeout: Duration::from_secs(2),
        ..environment::bookings(cluster, 32)
    };
    let checks = LoadSpec {
        service: "ringvault",
        keyed: false,
        callers: 24,
        ..lookups.clone()
    };
    load::warm_up(&[&lookups, &checks]);
    let (loft, ring) = (Load::start(&lookups), Load::start(&checks));
    for turn in 0..TURNS {
        for number in 0..cluster.hosts.len() {
            let slow = number % TURNS == turn;
            cluster.control_upstream(number, "slow", if slow { SLOW } else { "1" })?;
        }
        thread::sleep(TURN);
    }
    let (loft, ring) = (loft.stop(), ring.stop());
    for (name, seen) in [("loft", &loft), ("ring", &ring)] {
        println!("{policy} {name}: {:?} {:?}", seen.outcomes, seen.reasons);
        let figure = |quantile| format!("{:.1}", seen.latency_ms(quantile));
        report.figure(
            &format!("{policy}_{name}_mean_ms"),
            format!("{:.1}", seen.mean_ms()),
        );
        report.figure(&format!("{policy}_{name}_p50_ms"), figure(0.5));
        report.figure(&format!("{policy}_{name}_p99_ms"), figure(0.99));
        report.figure(&format!("{policy}_{name}_p999_ms"), figure(0.999));
        report.figure(
            &format!("{policy}_{name}_refused"),
            seen.attempts - seen.outcome("ran"),
        );
    }
    Ok((loft, ring))
}
