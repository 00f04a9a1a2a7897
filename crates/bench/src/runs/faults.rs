//! `faults`: real processes under drawn faults, two at a time now and then.

use std::thread;
use std::time::{Duration, Instant};

use foxtaildrift::process::operations::{DrainTarget, PRODUCTION};
use foxtaildrift::version::domain_name::DomainName;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;

use crate::args::{self, BenchError};
use crate::cluster::Cluster;
use crate::load::Load;
use crate::runs::environment;
use crate::runs::report::Report;

/// How long the environment may take to be whole again.
const RECOVERY: Duration = Duration::from_secs(25);

/// Draws faults for as long as the arguments ask.
///
/// # Errors
///
/// Returns an error where a promise did not hold, or the environment did not recover.
pub fn run(args: &[String]) -> Result<(), BenchError> {
    let matches = args::parse(args, |o| {
        o.optopt("", "seconds", "how long to go on (default 25)", "N");
        o.optopt("", "seed", "the seed of the faults (default 1)", "N");
        o.optflag("", "no-checks", "the upstreams do not check grants");
    })?;
    let seconds = Duration::from_secs(args::value(&matches, "seconds", 25)?);
    let seed = args::value(&matches, "seed", 1)?;
    let mut spec = environment::cooperative();
    for service in &mut spec.services {
        service.checks_grants = !matches.opt_present("no-checks");
    }
    let mut cluster = Cluster::start(&spec)?;
    let load = Load::start(&environment::bookings(&cluster, 24));
    let uploads = Load::start(&environment::uploads(&cluster, "export-office", 8));
    let mut rng = SmallRng::seed_from_u64(seed);
    let started = Instant::now();
    let mut faults = 0;
    while started.elapsed() < seconds {
        strike(&mut cluster, &mut rng)?;
        faults += 1;
        thread::sleep(Duration::from_millis(rng.random_range(100..1500)));
    }
    heal(&mut cluster)?;
    cluster.wait_until("the environment is whole again", RECOVERY, Cluster::serves)?;
    thread::sleep(Duration::from_secs(1));
    let (seen, uploaded) = (load.stop(), uploads.stop());
    println!("{:?} {:?}", seen.outcomes, uploaded.outcomes);
    let mut report = Report::new("faults");
    report.figure("seed", seed);
    report.figure("faults", faults);
    report.judge(&cluster, &[&seen, &uploaded])?;
    report.figure("max_unavailable_ms", seen.max_unavailable_ms());
    report.end()
}

fn strike(cluster: &mut Cluster, rng: &mut SmallRng) -> Result<(), BenchError> {
    let number = rng.random_range(0..cluster.hosts.len());
    let turn = BenchError::turn("fault");
    match rng.random_range(0..14) {
        0 => cluster.kill_host(number),
        1 => cluster.kill_daemon(number),
        2 => cluster.kill_upstream(number),
        3..=4 => revive(cluster)?,
        5 => cluster.signal(number, Signal::STOP, true),
        6 => cluster.signal(number, Signal::STOP, false),
        7 => thaw(cluster),
        8 => {
            let ips = cluster.ips();
            cluster.network.isolate(cluster.hosts[number].ip, &ips);
        }
        9 => cluster.network.heal(),
        10 => cluster.network.silence_open_connections(),
        11 => {
            let setting = ["down", "lose-one-in", "slow-ms"][rng.random_range(0..3)];
            let value = ["0", "3"][rng.random_range(0..2)];
            cluster.control_platform(setting, value).map_err(&turn)?;
        }
        12 => {
            let domain = domain_of(cluster, number)?;
            // A platform that is down refuses this, and that is fine.
            let _ = cluster
                .operations()
                .drain(PRODUCTION, &DrainTarget::Domain(domain));
        }
        _ => {
            let domain = domain_of(cluster, number)?;
            let _ = cluster
                .operations()
                .undrain(PRODUCTION, &DrainTarget::Domain(domain));
        }
    }
    Ok(())
}

fn domain_of(cluster: &Cluster, number: usize) -> Result<DomainName, BenchError> {
    cluster.hosts[number]
        .domain
        .parse()
        .map_err(BenchError::turn("domain"))
}

fn thaw(cluster: &Cluster) {
    for number in 0..cluster.hosts.len() {
        cluster.signal(number, Signal::CONT, true);
    }
}

fn revive(cluster: &mut Cluster) -> Result<(), BenchError> {
    for number in 0..cluster.hosts.len() {
        if !cluster.hosts[number].has_daemon() {
            cluster.start_daemon(number)?;
        }
        if !cluster.hosts[number].has_upstream() {
            cluster.start_upstream(number)?;
        }
    }
    Ok(())
}

fn heal(cluster: &mut Cluster) -> Result<(), BenchError> {
    cluster.network.heal();
    for setting in ["down", "lose-one-in", "slow-ms"] {
        cluster.control_platform(setting, "0")?;
    }
    thaw(cluster);
    revive(cluster)?;
    let domains: Vec<&str> = cluster.hosts.iter().map(|h| h.domain).collect();
    for domain in domains {
        let domain = domain.parse().map_err(BenchError::turn("domain"))?;
        let back = cluster
            .operations()
            .undrain(PRODUCTION, &DrainTarget::Domain(domain));
        back.map_err(BenchError::turn("return"))?;
    }
    Ok(())
}
