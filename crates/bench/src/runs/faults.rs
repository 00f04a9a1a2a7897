//! `faults`: real processes under randomly chosen faults, several of which may be active at once.

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

/// How long the environment may take until all keys are served again.
const RECOVERY: Duration = Duration::from_secs(25);

/// Injects faults for the time given by the arguments, then repairs them and checks the promises.
///
/// # Errors
///
/// Returns an error if a promise was broken or the environment did not recover.
pub fn run(args: &[String]) -> Result<(), BenchError> {
    let matches = args::parse(args, |o| {
        o.optopt(
            "",
            "seconds",
            "how long to inject faults, in seconds (default 25)",
            "N",
        );
        o.optopt("", "seed", "seed of the faults (default 1)", "N");
        o.optflag("", "no-checks", "upstreams do not check grants");
    })?;
    let seconds = Duration::from_secs(args::value(&matches, "seconds", 25)?);
    let seed = args::value(&matches, "seed", 1)?;
    let mut spec = environment::cooperative();
    for service in &mut spec.services {
        service.checks_grants = !matches.opt_present("no-checks");
    }
    let mut cluster = Cluster::start(&spec)?;
    let load = Load::start(&environment::booking_load(&cluster, 24));
    let uploads = Load::start(&environment::upload_load(&cluster, "export-office", 8));
    let mut rng = SmallRng::seed_from_u64(seed);
    let started = Instant::now();
    let mut faults = 0;
    while started.elapsed() < seconds {
        inject_fault(&mut cluster, &mut rng)?;
        faults += 1;
        thread::sleep(Duration::from_millis(rng.random_range(100..1500)));
    }
    repair_all(&mut cluster)?;
    cluster.wait_until("all keys are served again", RECOVERY, Cluster::is_serving)?;
    thread::sleep(Duration::from_secs(1));
    let (stats, upload_stats) = (load.stop(), uploads.stop());
    println!("{:?} {:?}", stats.outcomes, upload_stats.outcomes);
    let mut report = Report::new("faults");
    report.add_figure("seed", seed);
    report.add_figure("faults", faults);
    report.check_journals(&cluster, &[&stats, &upload_stats])?;
    report.add_figure("max_unavailable_ms", stats.max_unavailable_ms());
    report.finish()
}

fn inject_fault(cluster: &mut Cluster, rng: &mut SmallRng) -> Result<(), BenchError> {
    let number = rng.random_range(0..cluster.hosts.len());
    let fault_error = BenchError::with_context("fault of the platform");
    match rng.random_range(0..14) {
        0 => cluster.kill_host(number),
        1 => cluster.kill_daemon(number),
        2 => cluster.kill_upstream(number),
        3..=4 => start_ended_processes(cluster)?,
        5 => cluster.signal(number, Signal::STOP, true),
        6 => cluster.signal(number, Signal::STOP, false),
        7 => resume_all(cluster),
        8 => {
            let ips = cluster.ips();
            cluster.network.isolate(cluster.hosts[number].ip, &ips);
        }
        9 => cluster.network.heal(),
        10 => cluster.network.stall_open_connections(),
        11 => {
            let setting = ["down", "lose-one-in", "slow-ms"][rng.random_range(0..3)];
            let value = ["0", "3"][rng.random_range(0..2)];
            cluster
                .control_platform(setting, value)
                .map_err(&fault_error)?;
        }
        12 => {
            let domain = domain_of(cluster, number)?;
            // The operation fails while the platform is down; the error is ignored.
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
        .map_err(BenchError::with_context("domain"))
}

fn resume_all(cluster: &Cluster) {
    for number in 0..cluster.hosts.len() {
        cluster.signal(number, Signal::CONT, true);
    }
}

fn start_ended_processes(cluster: &mut Cluster) -> Result<(), BenchError> {
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

fn repair_all(cluster: &mut Cluster) -> Result<(), BenchError> {
    cluster.network.heal();
    for setting in ["down", "lose-one-in", "slow-ms"] {
        cluster.control_platform(setting, "0")?;
    }
    resume_all(cluster);
    start_ended_processes(cluster)?;
    let domains: Vec<&str> = cluster.hosts.iter().map(|h| h.domain).collect();
    for domain in domains {
        let domain = domain.parse().map_err(BenchError::with_context("domain"))?;
        let undrained = cluster
            .operations()
            .undrain(PRODUCTION, &DrainTarget::Domain(domain));
        undrained.map_err(BenchError::with_context("undrain"))?;
    }
    Ok(())
}
