//! Upstreams that announce that they will stop, and daemons that are killed right after they have
//! acknowledged that, beside the other faults. The stand-in of an upstream goes on reporting that it is
//! ready, as late reports would.

use std::collections::HashMap;
use std::ops::Range;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::args::BenchError;
use crate::host_cluster::HostCluster;
use crate::host_run::HostRun;
use crate::soak::callers::CallRecord;

/// The target, stated in the users' documentation: after this time an upstream that leaves must get no
/// requests.
const DRAIN_TIME: Duration = Duration::from_millis(2000);
/// The time between two announcements, in milliseconds.
const INTERVAL_MS: Range<u64> = 1500..4000;
/// How long an upstream runs on after its announcement, in milliseconds.
const RUN_ON_MS: Range<u64> = 5000..9000;
/// The share of the announcements whose daemon is killed after the acknowledgement.
const KILLED_SHARE: f64 = 0.6;
/// How long a killed daemon is down, in milliseconds.
const DOWN_MS: Range<u64> = 100..900;
/// How long after its start an upstream reports its state, in milliseconds.
const FIRST_REPORT_MS: u64 = 300;
/// Separates these draws from other draws of the same seed.
const SEED_MASK: u64 = 0x6465_7061_7274_7321;

/// An upstream that has announced that it will stop.
struct Departure {
    host: usize,
    instance: String,
    /// When the acknowledgement arrived; `None` if there was none.
    acknowledged_at: Option<Instant>,
    /// When a killed daemon is started again.
    start_daemon_at: Option<Instant>,
    /// When the upstream is replaced; `None` once it is.
    replace_at: Option<Instant>,
}

/// Draws, injects and reverts these faults.
pub struct Departures {
    rng: SmallRng,
    next_at: Instant,
    departures: Vec<Departure>,
}

impl Departures {
    /// Creates the faults of a seed; no upstream leaves yet.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed ^ SEED_MASK),
            next_at: Instant::now(),
            departures: Vec::new(),
        }
    }

    /// Injects and reverts the faults that are due.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be started.
    pub fn advance(&mut self, cluster: &mut HostCluster) -> Result<(), BenchError> {
        let now = Instant::now();
        self.revert(cluster, |at| at <= now)?;
        if now < self.next_at {
            return Ok(());
        }
        self.next_at = now + self.draw(INTERVAL_MS);
        let host = self.rng.random_range(0..cluster.hosts.len());
        let runs = HostRun::read_all(&cluster.journal(host));
        let is_leaving = self
            .departures
            .iter()
            .any(|d| d.host == host && d.replace_at.is_some());
        let Some(last) = runs.last().filter(|_| !is_leaving) else {
            return Ok(());
        };
        self.announce(cluster, host, last.upstream.clone());
        Ok(())
    }

    /// Announces in the name of `instance` that it will stop, and may kill the daemon.
    fn announce(&mut self, cluster: &mut HostCluster, host: usize, instance: String) {
        let is_acknowledged = deregister(cluster, host, &instance);
        let now = Instant::now();
        let mut departure = Departure {
            host,
            instance,
            acknowledged_at: is_acknowledged.then_some(now),
            start_daemon_at: None,
            replace_at: Some(now + self.draw(RUN_ON_MS)),
        };
        if is_acknowledged && self.rng.random_bool(KILLED_SHARE) && cluster.has_daemon(host) {
            cluster.kill_daemon(host);
            departure.start_daemon_at = Some(now + self.draw(DOWN_MS));
        }
        self.departures.push(departure);
    }

    /// Starts the killed daemons and replaces the upstreams for which `is_due` holds.
    fn revert(
        &mut self,
        cluster: &mut HostCluster,
        is_due: impl Fn(Instant) -> bool,
    ) -> Result<(), BenchError> {
        for departure in &mut self.departures {
            if departure
                .start_daemon_at
                .take_if(|at| is_due(*at))
                .is_some()
                && !cluster.has_daemon(departure.host)
            {
                cluster.start_daemon(departure.host)?;
            }
            if departure.replace_at.take_if(|at| is_due(*at)).is_some() {
                cluster.restart_upstream(departure.host, FIRST_REPORT_MS)?;
            }
        }
        Ok(())
    }

    /// Starts all killed daemons and replaces all upstreams that leave.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be started.
    pub fn revert_all(&mut self, cluster: &mut HostCluster) -> Result<(), BenchError> {
        self.revert(cluster, |_| true)
    }

    /// Returns how many announcements were acknowledged, and how many were not.
    pub fn counts(&self) -> (usize, usize) {
        let acknowledged = self
            .departures
            .iter()
            .filter(|d| d.acknowledged_at.is_some());
        let acknowledged = acknowledged.count();
        (acknowledged, self.departures.len() - acknowledged)
    }

    /// Returns the requests that callers sent later than [`DRAIN_TIME`] after the acknowledgement of the
    /// departure of the upstream that ran them.
    pub fn violations(&self, cluster: &HostCluster, calls: &[CallRecord]) -> Vec<String> {
        let sent: HashMap<&str, Instant> = calls.iter().map(|c| (c.id.as_str(), c.sent)).collect();
        let mut violations = Vec::new();
        for departure in &self.departures {
            let Some(acknowledged_at) = departure.acknowledged_at else {
                continue;
            };
            let runs = HostRun::read_all(&cluster.journal(departure.host));
            let late = runs.iter().filter(|run| {
                let sent = sent.get(run.id.as_str());
                let is_late = sent.is_some_and(|at| *at > acknowledged_at + DRAIN_TIME);
                run.upstream == departure.instance && is_late
            });
            let late = late.map(|run| format!("upstream {} had left: {run}", departure.instance));
            violations.extend(late);
        }
        violations
    }

    fn draw(&mut self, range_ms: Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range_ms))
    }
}

/// Announces in the name of the upstream `instance` that it will stop; returns whether that is
/// acknowledged.
fn deregister(cluster: &HostCluster, host: usize, instance: &str) -> bool {
    let started = instance.split('-').nth(1).unwrap_or_default();
    let started_ms = u64::from_str_radix(started, 16).unwrap_or_default();
    let target = format!("/Instances.Deregister/{instance}");
    let body = format!("{{\"born\":{started_ms}}}");
    let response = cluster.report(host, &target, &body);
    response.is_ok_and(|r| r.status == 200)
}
