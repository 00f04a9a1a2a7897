//! Copies of other daemons' departures, which this daemon holds until their hosts' next processes ask for
//! them. Performs no I/O: callers pass in the time.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::process::host::departures::DEPARTURES_MAX;
use crate::process::moment::Moment;
use crate::version::departed_process::DepartedProcess;

/// How long copies are held. Covers the time for which an upstream runs on after its announcement, and an
/// outage of the store.
const HOLD_TIME: Duration = Duration::from_secs(600);
/// The largest number of hosts whose departures are held; a new one takes the place of the host that sent
/// nothing for longest.
const HOSTS_MAX: usize = 1024;

/// Copies of the departures on one host.
#[derive(Debug)]
struct HostCopies {
    received_at: Moment,
    processes: Vec<DepartedProcess>,
}

/// Copies of the departures on other hosts, by the peer addresses of their daemons.
#[derive(Debug, Default)]
pub struct HeldDepartures {
    hosts: HashMap<SocketAddr, HostCopies>,
}

impl HeldDepartures {
    /// Adds the departures that the daemon at `host` has sent to those held for it, without those whose
    /// start time is not known.
    pub fn record(&mut self, now: Moment, host: SocketAddr, processes: Vec<DepartedProcess>) {
        self.hosts
            .retain(|_, copies| now.since(copies.received_at) < HOLD_TIME);
        if !self.hosts.contains_key(&host) && self.hosts.len() >= HOSTS_MAX {
            let oldest = self.hosts.iter().min_by_key(|(_, c)| c.received_at);
            if let Some((&oldest, _)) = oldest {
                self.hosts.remove(&oldest);
            }
        }
        let copies = self.hosts.entry(host).or_insert_with(|| HostCopies {
            received_at: now,
            processes: Vec::new(),
        });
        copies.received_at = now;
        // One without a start time would stand for any later process of its name.
        for process in processes.into_iter().filter(|p| p.started_ms.is_some()) {
            copies.add(process);
        }
    }

    /// Returns the departures held for the daemon at `host`.
    pub fn of_host(&self, now: Moment, host: SocketAddr) -> Vec<DepartedProcess> {
        let copies = self.hosts.get(&host);
        let copies = copies.filter(|c| now.since(c.received_at) < HOLD_TIME);
        copies.map(|c| c.processes.clone()).unwrap_or_default()
    }
}

impl HostCopies {
    /// Adds a departure, unless it is held already.
    fn add(&mut self, process: DepartedProcess) {
        if self.processes.contains(&process) {
            return;
        }
        if self.processes.len() == DEPARTURES_MAX {
            self.processes.remove(0);
        }
        self.processes.push(process);
    }
}
