//! A series of stops of daemons by SIGSTOP that overlap each other and restarts.

use std::collections::BTreeMap;
use std::fs;
use std::ops::Range;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use foxtaildrift_bench::args::BenchError;
use foxtaildrift_bench::host_cluster::{HostCluster, HostProcess};
use foxtaildrift_bench::host_run::HostRun;
use foxtaildrift_bench::ownership_check::OwnershipCheck;
use foxtaildrift_bench::ownership_event::{OwnershipChange, OwnershipEvent};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;

/// The least time between two stops, in milliseconds.
const STOP_INTERVAL_MS: Range<u64> = 100..900;
/// How long a stop lasts, in milliseconds.
const STOP_DURATION_MS: Range<u64> = 1500..5000;
/// The most daemons that are stopped at a time: most of the witnesses must answer.
const STOPPED_MAX: usize = 3;
/// The time between two restarts of daemons.
const RESTART_INTERVAL: Duration = Duration::from_millis(3500);
/// A daemon is stopped when this many of its grants have arrived since the last check.
const GRANTS_MIN: usize = 2;
/// How often the schedule and the journals are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// A grant that arrives up to this long after its daemon was continued is left out of the check, in
/// microseconds: the daemon may have been stopped between its last look at the clock and the write.
const CONTINUED_SLACK_MICROS: u64 = 20_000;

/// Stops daemons, each right after some of its grants arrived, so that others are on their way.
pub struct DaemonStops {
    rng: SmallRng,
    /// When each stopped daemon is continued, by number.
    stopped: BTreeMap<usize, Instant>,
    stop_at: Instant,
    restart_at: Instant,
    /// How many grants each upstream had carried out at the last check.
    grants: Vec<usize>,
    /// When each daemon was continued, in microseconds since 1970.
    continued: Vec<Vec<u64>>,
}

impl DaemonStops {
    /// Creates a series without stops, for the daemons of `hosts` hosts.
    pub fn new(seed: u64, hosts: usize) -> Self {
        let now = Instant::now();
        Self {
            rng: SmallRng::seed_from_u64(seed),
            stopped: BTreeMap::new(),
            stop_at: now,
            restart_at: now + RESTART_INTERVAL,
            grants: vec![0; hosts],
            continued: vec![Vec::new(); hosts],
        }
    }

    /// Stops and restarts daemons for `time`, and then continues those that are stopped when they are
    /// due.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be started or signalled.
    pub fn run(&mut self, cluster: &mut HostCluster, time: Duration) -> Result<(), BenchError> {
        let started = Instant::now();
        while started.elapsed() < time {
            self.continue_due(cluster)?;
            self.restart(cluster)?;
            self.stop(cluster)?;
            thread::sleep(POLL_INTERVAL);
        }
        while !self.stopped.is_empty() {
            self.continue_due(cluster)?;
            thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    fn continue_due(&mut self, cluster: &mut HostCluster) -> Result<(), BenchError> {
        let now = Instant::now();
        for (number, _) in self.stopped.extract_if(.., |_, until| *until <= now) {
            self.continued[number].push(micros_now());
            cluster.signal(number, HostProcess::Daemon, Signal::CONT)?;
        }
        Ok(())
    }

    /// Kills a running daemon and starts it again, if that is due.
    fn restart(&mut self, cluster: &mut HostCluster) -> Result<(), BenchError> {
        let now = Instant::now();
        let number = self.rng.random_range(0..self.grants.len());
        if now < self.restart_at || self.stopped.contains_key(&number) {
            return Ok(());
        }
        self.restart_at = now + RESTART_INTERVAL;
        cluster.kill_daemon(number);
        cluster.start_daemon(number)
    }

    /// Stops a daemon that is sending grants, if that is due.
    fn stop(&mut self, cluster: &mut HostCluster) -> Result<(), BenchError> {
        let granting = self.find_granting(cluster);
        let now = Instant::now();
        let Some(number) = granting else {
            return Ok(());
        };
        if now < self.stop_at || self.stopped.len() >= STOPPED_MAX {
            return Ok(());
        }
        cluster.signal(number, HostProcess::Daemon, Signal::STOP)?;
        let mut draw_time = |range| Duration::from_millis(self.rng.random_range(range));
        self.stop_at = now + draw_time(STOP_INTERVAL_MS);
        self.stopped
            .insert(number, now + draw_time(STOP_DURATION_MS));
        Ok(())
    }

    /// Returns a running daemon that has sent several grants since the last call.
    fn find_granting(&mut self, cluster: &HostCluster) -> Option<usize> {
        let mut granting = Vec::new();
        for (number, former) in self.grants.iter_mut().enumerate() {
            let grants = count_grants(cluster, number);
            let is_sending = grants >= *former + GRANTS_MIN;
            if is_sending && !self.stopped.contains_key(&number) {
                granting.push(number);
            }
            *former = grants;
        }
        granting.choose(&mut self.rng).copied()
    }

    /// Checks the journals of all upstreams, without the grants that arrived right after the daemon
    /// of their host was continued.
    pub fn check_ownership(&self, cluster: &HostCluster) -> OwnershipCheck {
        let (mut events, mut runs) = (Vec::new(), Vec::new());
        for (number, continued) in self.continued.iter().enumerate() {
            let journal = cluster.journal(number);
            let is_checked = |e: &OwnershipEvent| {
                e.change == OwnershipChange::Released || !is_right_after(e.at_micros, continued)
            };
            let of_host = OwnershipEvent::read_all(&journal).expect("the journal can be read");
            events.extend(of_host.into_iter().filter(is_checked));
            runs.extend(HostRun::read_all(&journal));
        }
        OwnershipCheck::new(events, runs)
    }
}

/// Returns how many grants the upstream of a host has carried out. The last line of its journal may
/// be incomplete as yet.
fn count_grants(cluster: &HostCluster, number: usize) -> usize {
    let text = fs::read_to_string(cluster.journal(number)).unwrap_or_default();
    text.lines().filter(|l| l.starts_with("grant ")).count()
}

/// Returns whether a moment is right after one of the times when the daemon was continued.
fn is_right_after(at_micros: u64, continued: &[u64]) -> bool {
    let mut since = continued.iter().filter_map(|c| at_micros.checked_sub(*c));
    since.any(|s| s <= CONTINUED_SLACK_MICROS)
}

fn micros_now() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since_epoch.unwrap_or_default().as_micros()).unwrap_or(0)
}
