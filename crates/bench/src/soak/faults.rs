//! Random faults that overlap: each is drawn, injected, and reverted when its duration is over.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use rand::RngExt;
use rand::rngs::SmallRng;
use rustix::process::Signal;

use crate::args::BenchError;
use crate::host_cluster::{HostCluster, HostProcess};
use crate::network::Network;
use crate::soak::newest_route_number;

/// The time between two faults, in milliseconds.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 60..900;
/// How long a fault lasts, in milliseconds.
const FAULT_DURATION_MS: std::ops::Range<u64> = 200..4000;
/// The delay of replies of a slow store, in milliseconds.
const STORE_DELAY_MS: u64 = 400;
/// The longest one-way delay of a link, in milliseconds.
const LINK_DELAY_MS_MAX: u64 = 250;

/// A fault, with the numbers of the hosts or of the failure domain that it affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    KillDaemon(usize),
    KillUpstream(usize),
    KillAllDaemons,
    /// Sends the daemon SIGTERM, which starts a planned stop.
    StopDaemon(usize),
    /// Suspends a process with SIGSTOP.
    PauseDaemon(usize),
    PauseUpstream(usize),
    PauseHost(usize),
    /// Sends the daemon SIGHUP, on which it reads its settings file again.
    Hangup(usize),
    CutOneWay(usize, usize),
    Isolate(usize),
    CutFromStore(usize),
    DelayLink(usize, usize),
    /// Makes the open connections stop carrying data, without closing them.
    SilenceConnections,
    /// Truncates forwarded chunks and closes their connections.
    CutPieces,
    DropDatagrams,
    StoreDown,
    StoreSlow,
    StoreLosesAnswers,
    /// Compacts the store, which discards its history of changes.
    StoreForgets,
    ChangeRouting,
    Evacuate(usize),
}

/// An injected fault and when it is reverted.
struct ActiveFault {
    fault: Fault,
    until: Instant,
}

/// Draws, injects and reverts the faults of a soak.
pub struct FaultSchedule {
    rng: SmallRng,
    network: Arc<Network>,
    newest_route: Arc<AtomicU32>,
    started: Instant,
    next_fault_at: Instant,
    active: Vec<ActiveFault>,
    history: Vec<(Duration, Fault)>,
}

/// Returns a routing configuration with the four fixed routes and `routes` numbered ones.
pub fn routing(routes: u32) -> String {
    let numbered: Vec<String> = (1..=routes)
        .map(|n| route_rule(&format!("v{n}"), "safe", "office"))
        .collect();
    let rules = [
        route_rule("look", "safe", "desk"),
        route_rule("book", "non_idempotent", "desk"),
        route_rule("peek", "safe", "office"),
        route_rule("pay", "non_idempotent", "office"),
        numbered.join(","),
    ];
    format!(
        r#"{{"Version":"{routes:08x}","Listeners":[{{"Host":"a.example","Rules":[{}]}}],
        "Clusters":[{{"Name":"desk","Sharded":true,"WarmupPerS":1000.0}},{{"Name":"office","WarmupPerS":1000.0}}]}}"#,
        rules.join(",")
    )
}

fn route_rule(name: &str, kind: &str, service: &str) -> String {
    format!(
        r#"{{"Name":"{name}","Kind":"{kind}","TargetLatencyMs":400,"Priority":1,"Match":{{"PathPrefix":"/{name}/"}},
        "Action":{{"Service":"{service}","TimeoutMs":1200,"MaxAttempts":2}}}}"#
    )
}

impl FaultSchedule {
    /// Creates a schedule without active faults; `newest_route` holds the highest route number.
    pub fn new(rng: SmallRng, network: Arc<Network>, newest_route: Arc<AtomicU32>) -> Self {
        let now = Instant::now();
        Self {
            rng,
            network,
            newest_route,
            started: now,
            next_fault_at: now,
            active: Vec::new(),
            history: Vec::new(),
        }
    }

    /// Reverts the faults whose duration is over, and injects the next one when it is due.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be started or signalled, or the store refuses a change.
    pub fn advance(&mut self, cluster: &mut HostCluster) -> Result<(), BenchError> {
        let now = Instant::now();
        let (expired, remaining) = self.active.drain(..).partition(|f| f.until <= now);
        self.active = remaining;
        let expired: Vec<ActiveFault> = expired;
        for active in expired {
            self.revert(active.fault, cluster)?;
        }
        if now >= self.next_fault_at {
            self.next_fault_at =
                now + Duration::from_millis(self.rng.random_range(FAULT_INTERVAL_MS));
            let fault = self.draw_fault(cluster.hosts.len());
            let duration = Duration::from_millis(self.rng.random_range(FAULT_DURATION_MS));
            self.history.push((self.started.elapsed(), fault));
            self.inject(fault, cluster)?;
            self.active.push(ActiveFault {
                fault,
                until: now + duration,
            });
        }
        Ok(())
    }

    /// Reverts all faults, resumes all processes and starts those that have ended.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be started or signalled, or the store refuses a change.
    pub fn revert_all(&mut self, cluster: &mut HostCluster) -> Result<(), BenchError> {
        for active in std::mem::take(&mut self.active) {
            self.revert(active.fault, cluster)?;
        }
        self.network.heal();
        for number in 0..cluster.hosts.len() {
            for process in [HostProcess::Daemon, HostProcess::Upstream] {
                cluster.signal(number, process, Signal::CONT)?;
            }
        }
        start_ended_processes(cluster)
    }

    /// Returns how many faults were injected.
    pub fn count(&self) -> usize {
        self.history.len()
    }

    /// Returns all injected faults, each after its time in seconds since the start.
    pub fn history(&self) -> String {
        let entries = self.history.iter();
        let entries = entries.map(|(at, fault)| format!("{:.2} {fault}", at.as_secs_f64()));
        entries.collect::<Vec<_>>().join(", ")
    }

    /// Returns the number of a random host.
    pub fn random_host(&mut self, cluster: &HostCluster) -> usize {
        self.rng.random_range(0..cluster.hosts.len())
    }

    fn draw_fault(&mut self, hosts: usize) -> Fault {
        let host = self.rng.random_range(0..hosts);
        let other = (host + self.rng.random_range(1..hosts)) % hosts;
        match self.rng.random_range(0..24) {
            0..=1 => Fault::KillDaemon(host),
            2 => Fault::KillUpstream(host),
            3 => Fault::KillAllDaemons,
            4..=5 => Fault::StopDaemon(host),
            6..=7 => Fault::PauseDaemon(host),
            8 => Fault::PauseUpstream(host),
            9 => Fault::PauseHost(host),
            10 => Fault::Hangup(host),
            11 => Fault::CutOneWay(host, other),
            12 => Fault::Isolate(host),
            13 => Fault::CutFromStore(host),
            14 => Fault::DelayLink(host, other),
            15 => Fault::SilenceConnections,
            16 => Fault::CutPieces,
            17 => Fault::DropDatagrams,
            18 => Fault::StoreDown,
            19 => Fault::StoreSlow,
            20 => Fault::StoreLosesAnswers,
            21 => Fault::StoreForgets,
            22 => Fault::ChangeRouting,
            _ => Fault::Evacuate(host % 3),
        }
    }

    fn inject(&mut self, fault: Fault, cluster: &mut HostCluster) -> Result<(), BenchError> {
        match fault {
            Fault::KillDaemon(n) => cluster.kill_daemon(n),
            Fault::KillUpstream(n) => cluster.kill_upstream(n)?,
            Fault::KillAllDaemons => {
                for number in 0..cluster.hosts.len() {
                    cluster.kill_daemon(number);
                }
            }
            Fault::StopDaemon(n) => cluster.signal(n, HostProcess::Daemon, Signal::TERM)?,
            Fault::PauseDaemon(n) => cluster.signal(n, HostProcess::Daemon, Signal::STOP)?,
            Fault::PauseUpstream(n) => cluster.signal(n, HostProcess::Upstream, Signal::STOP)?,
            Fault::PauseHost(n) => {
                cluster.signal(n, HostProcess::Daemon, Signal::STOP)?;
                cluster.signal(n, HostProcess::Upstream, Signal::STOP)?;
            }
            Fault::Hangup(n) => cluster.signal(n, HostProcess::Daemon, Signal::HUP)?,
            Fault::CutOneWay(a, b) => self.network.block(cluster.ip(a), cluster.ip(b)),
            Fault::Isolate(n) => {
                let all_ips: Vec<_> = (0..cluster.hosts.len()).map(|h| cluster.ip(h)).collect();
                self.network.isolate(cluster.ip(n), &all_ips);
            }
            Fault::CutFromStore(n) => {
                self.network.isolate(cluster.ip(n), &[cluster.store_ip()]);
            }
            Fault::DelayLink(a, b) => {
                let delay = Duration::from_millis(self.rng.random_range(0..LINK_DELAY_MS_MAX));
                self.network.set_delay(cluster.ip(a), cluster.ip(b), delay);
            }
            Fault::SilenceConnections => self.network.stall_open_connections(),
            Fault::CutPieces => self.network.truncate_chunks(20),
            Fault::DropDatagrams => self.network.drop_datagrams(3),
            Fault::StoreDown => _ = cluster.control_store("down", "")?,
            Fault::StoreSlow => {
                _ = cluster.control_store("slow-ms", &STORE_DELAY_MS.to_string())?
            }
            Fault::StoreLosesAnswers => _ = cluster.control_store("lose-one-in", "3")?,
            Fault::StoreForgets => _ = cluster.control_store("forget", "")?,
            Fault::ChangeRouting => {
                let next = newest_route_number(&self.newest_route) + 1;
                cluster.control_store("put/op/config", &routing(next))?;
                self.newest_route.store(next, Ordering::SeqCst);
            }
            Fault::Evacuate(n) => {
                _ = cluster.control_store(&format!("put/op/evacuate/domain-{n}"), "{}")?;
            }
        }
        Ok(())
    }

    fn revert(&mut self, fault: Fault, cluster: &mut HostCluster) -> Result<(), BenchError> {
        match fault {
            Fault::KillDaemon(_)
            | Fault::KillUpstream(_)
            | Fault::KillAllDaemons
            | Fault::StopDaemon(_) => start_ended_processes(cluster)?,
            Fault::PauseDaemon(n) => cluster.signal(n, HostProcess::Daemon, Signal::CONT)?,
            Fault::PauseUpstream(n) => cluster.signal(n, HostProcess::Upstream, Signal::CONT)?,
            Fault::PauseHost(n) => {
                cluster.signal(n, HostProcess::Upstream, Signal::CONT)?;
                cluster.signal(n, HostProcess::Daemon, Signal::CONT)?;
            }
            Fault::CutOneWay(..) | Fault::Isolate(_) | Fault::CutFromStore(_) => {
                self.network.heal();
            }
            Fault::DelayLink(a, b) => {
                self.network
                    .set_delay(cluster.ip(a), cluster.ip(b), Duration::ZERO);
            }
            Fault::CutPieces => self.network.truncate_chunks(0),
            Fault::DropDatagrams => self.network.drop_datagrams(0),
            Fault::StoreDown => _ = cluster.control_store("up", "")?,
            Fault::StoreSlow => _ = cluster.control_store("slow-ms", "0")?,
            Fault::StoreLosesAnswers => _ = cluster.control_store("lose-one-in", "0")?,
            Fault::Evacuate(n) => {
                _ = cluster.control_store(&format!("remove/op/evacuate/domain-{n}"), "")?;
            }
            Fault::Hangup(_)
            | Fault::SilenceConnections
            | Fault::StoreForgets
            | Fault::ChangeRouting => {}
        }
        Ok(())
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// Starts the daemons and upstreams whose process has ended.
///
/// # Errors
///
/// Returns an error if a process can't be started.
pub fn start_ended_processes(cluster: &mut HostCluster) -> Result<(), BenchError> {
    for number in 0..cluster.hosts.len() {
        if !cluster.has_daemon(number) {
            cluster.start_daemon(number)?;
        }
        if !cluster.has_upstream(number) {
            cluster.start_upstream(number)?;
        }
    }
    Ok(())
}
