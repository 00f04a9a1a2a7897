//! `soak`: host daemons and their upstreams as real processes, under faults drawn from a seed and
//! injected from outside, while callers keep their connections open.
//!
//! | module | does |
//! |---|---|
//! | [`callers`] | sends requests on persistent connections and records the outcomes |
//! | [`departures`] | lets upstreams leave, and kills the daemons that acknowledged it |
//! | [`faults`] | draws, injects and reverts overlapping faults |
//! | [`grant_faults`], [`pause_series`] | faults that delay grants, beside the others |
//! | [`hot_keys`] | chooses the keys that callers use most for some time |
//! | [`store_returns`] | lets the store come back from older copies |
//! | [`verdict`] | compares what callers received with what upstreams ran |
//!
//! After the faults come planned stops under load, without other faults; then the run prints a line
//! `RESULT`.

pub mod callers;
pub mod departures;
pub mod faults;
pub mod grant_faults;
pub mod hot_keys;
pub mod pause_series;
pub mod store_returns;
pub mod verdict;

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::args::{self, BenchError};
use crate::host_cluster::HostCluster;
use crate::network::Network;
use crate::soak::callers::Callers;
use crate::soak::departures::Departures;
use crate::soak::faults::FaultSchedule;
use crate::soak::grant_faults::GrantFaults;
use crate::soak::store_returns::StoreReturns;
use crate::soak::verdict::SoakVerdict;

/// How long an environment may take to start.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// The target, stated in the users' documentation: how soon all keys are served again after the
/// last fault, including planned stops that were in progress then.
const RECOVERY_TIME_MAX: Duration = Duration::from_secs(15);
/// The target: how soon keys are served again after the loss of a host.
const TAKEOVER_TIME_MAX: Duration = Duration::from_secs(4);
/// How long after the last fault its effects may last: until leases, witness state and grants to
/// upstreams have expired.
const SETTLE_TIME: Duration = Duration::from_secs(11);
/// How long a daemon may take for a planned stop.
const STOP_TIMEOUT: Duration = Duration::from_millis(6500);
/// The number of planned stops at the end.
const PLANNED_STOPS: usize = 2;
/// The interval between two checks for due faults or for service.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The number of keys that are probed, evenly spread over the key space.
const PROBE_KEYS: usize = 16;
/// The largest number of hosts of an environment.
const HOSTS_MAX: usize = 100;

/// The parameters of the soak of one seed.
struct SoakSpec {
    seed: u64,
    fault_time: Duration,
    hosts: usize,
    /// Whether upstreams announce that they will stop.
    has_departures: bool,
}

/// Runs the soak for each seed in the range given by the arguments.
///
/// # Errors
///
/// Returns an error if a promise was broken; the folder with logs and journals is kept and printed.
pub fn run(args: &[String]) -> Result<(), BenchError> {
    let matches = args::parse(args, |o| {
        o.optopt("", "seed", "first seed (default 1)", "N");
        o.optopt("", "seeds", "number of seeds (default 1)", "N");
        o.optopt(
            "",
            "seconds",
            "how long faults are injected, in seconds (default 12)",
            "N",
        );
        o.optopt("", "hosts", "number of hosts, 6 to 100 (default 7)", "N");
        o.optflag(
            "",
            "departures",
            "let upstreams leave, and kill the daemons that acknowledged it",
        );
    })?;
    let first: u64 = args::value(&matches, "seed", 1)?;
    let hosts = args::value(&matches, "hosts", 7)?;
    if !(6..=HOSTS_MAX).contains(&hosts) {
        return Err(BenchError(format!("--hosts: {hosts} is not in 6 to 100")));
    }
    let mut missed = Vec::new();
    for seed in first..first + args::value(&matches, "seeds", 1)? {
        let spec = SoakSpec {
            seed,
            fault_time: Duration::from_secs(args::value(&matches, "seconds", 12)?),
            hosts,
            has_departures: matches.opt_present("departures"),
        };
        if let Err(e) = run_seed(&spec) {
            println!("RESULT soak seed={seed} targets=MISSED {e}");
            missed.push(seed);
        }
    }
    match missed.is_empty() {
        true => Ok(()),
        false => Err(BenchError(format!("seeds that missed: {missed:?}"))),
    }
}

fn run_seed(spec: &SoakSpec) -> Result<(), BenchError> {
    let network = Arc::new(Network::default());
    let program = std::env::current_exe().map_err(BenchError::with_context("program"))?;
    let mut cluster = start_cluster(&network, &program, spec.hosts)?;
    let result = run_on_cluster(spec, &mut cluster, &network);
    if let Err(e) = result {
        cluster.keep_folder = true;
        let folder = cluster.folder.display().to_string();
        return Err(BenchError(format!("{e}; kept: {folder}")));
    }
    Ok(())
}

/// Injects faults, waits for recovery, makes the planned stops, and checks the promises.
fn run_on_cluster(
    spec: &SoakSpec,
    cluster: &mut HostCluster,
    network: &Arc<Network>,
) -> Result<(), BenchError> {
    let newest_route = Arc::new(AtomicU32::new(1));
    let callers = Callers::start(cluster, spec.seed, &newest_route);
    let rng = SmallRng::seed_from_u64(spec.seed);
    let mut faults = FaultSchedule::new(rng, Arc::clone(network), newest_route);
    let mut grant_faults = GrantFaults::new(spec.seed);
    grant_faults.begin(cluster)?;
    let mut store_returns = StoreReturns::new(spec.seed);
    let mut departures = Departures::new(spec.seed);
    let started = Instant::now();
    while started.elapsed() < spec.fault_time {
        if spec.has_departures {
            departures.advance(cluster)?;
        }
        faults.advance(cluster)?;
        grant_faults.advance(cluster)?;
        store_returns.advance(cluster)?;
        thread::sleep(POLL_INTERVAL);
    }
    faults.revert_all(cluster)?;
    grant_faults.revert_all(cluster)?;
    store_returns.revert_all(cluster)?;
    departures.revert_all(cluster)?;
    let repaired_at = Instant::now();
    let history = format!(
        "faults: {}; of grants: {}; of the store: {}",
        faults.history(),
        grant_faults.history(),
        store_returns.history()
    );
    let with_history = |e| BenchError(format!("{e}; {history}"));
    await_service(cluster, RECOVERY_TIME_MAX).map_err(with_history)?;
    let served_again = repaired_at.elapsed();
    thread::sleep(SETTLE_TIME.saturating_sub(served_again));
    let planned_stops_from = Instant::now();
    stop_as_planned(cluster, &mut faults).map_err(with_history)?;
    let calls = callers.stop();
    let mut verdict = SoakVerdict::of(cluster, &calls, planned_stops_from);
    let late = departures.violations(cluster, &calls);
    verdict.violations.extend(late);
    let (acknowledged, unacknowledged) = departures.counts();
    println!(
        "RESULT soak seed={} hosts={} faults={} grant_faults={} store_returns={} departures={acknowledged}+{unacknowledged} requests={} ran={} \
         refused={} unknown={} unanswered={} transfers={} served_again_ms={} targets={}",
        spec.seed,
        spec.hosts,
        faults.count(),
        grant_faults.count(),
        store_returns.count(),
        calls.len(),
        verdict.ran,
        verdict.refused,
        verdict.unknown,
        verdict.unanswered,
        verdict.transfers,
        served_again.as_millis(),
        if verdict.violations.is_empty() {
            "held"
        } else {
            "MISSED"
        },
    );
    match verdict.violations.first() {
        None => Ok(()),
        Some(first) => Err(BenchError(format!(
            "{} promises broken, the first: {first}; {history}",
            verdict.violations.len()
        ))),
    }
}

/// Starts the hosts behind `network` and waits until they serve all keys.
fn start_cluster(
    network: &Arc<Network>,
    program: &Path,
    hosts: usize,
) -> Result<HostCluster, BenchError> {
    let service = |n: usize| if n % 3 == 2 { "office" } else { "desk" };
    let services: Vec<&'static str> = (0..hosts).map(service).collect();
    let network = Some(Arc::clone(network));
    let mut cluster = HostCluster::start_with_network(network, program, &services, &["desk"])?;
    let first = faults::routing(1);
    cluster.wait_until("the store answers", START_TIMEOUT, |c| {
        c.control_store("put/op/config", &first).is_ok()
    })?;
    await_service(&mut cluster, START_TIMEOUT)?;
    Ok(cluster)
}

/// Waits until each host is ready and serves all keys, starting processes that have ended, and
/// returns the time waited.
fn await_service(cluster: &mut HostCluster, limit: Duration) -> Result<Duration, BenchError> {
    let started = Instant::now();
    while started.elapsed() < limit {
        faults::start_ended_processes(cluster)?;
        let is_serving = |n| cluster.is_ready(n) && serves_all_keys(cluster, n);
        if (0..cluster.hosts.len()).all(is_serving) {
            return Ok(started.elapsed());
        }
        thread::sleep(POLL_INTERVAL);
    }
    Err(BenchError(format!(
        "not all keys are served within {limit:?}"
    )))
}

/// Returns whether a host serves requests for both services, for the sharded one with all probed
/// keys.
fn serves_all_keys(cluster: &HostCluster, number: usize) -> bool {
    let served = |target, key| {
        let response = cluster.request(number, "GET", target, key);
        response.is_ok_and(|r| r.status == 200)
    };
    let spacing = usize::from(u16::MAX) / PROBE_KEYS;
    let mut keys = (0..PROBE_KEYS).filter_map(|k| u16::try_from(k * spacing).ok());
    keys.all(|key| served("/look/probe", Some(key))) && served("/peek/probe", None)
}

/// Stops and restarts the daemons of some hosts one after the other under load.
fn stop_as_planned(
    cluster: &mut HostCluster,
    faults: &mut FaultSchedule,
) -> Result<(), BenchError> {
    for _ in 0..PLANNED_STOPS {
        let number = faults.random_host(cluster);
        cluster.stop_daemon(number, STOP_TIMEOUT)?;
        cluster.start_daemon(number)?;
        await_service(cluster, TAKEOVER_TIME_MAX)?;
    }
    Ok(())
}

/// Returns the highest route number, read from the counter that callers and faults share.
fn newest_route_number(counter: &AtomicU32) -> u32 {
    counter.load(Ordering::SeqCst)
}
