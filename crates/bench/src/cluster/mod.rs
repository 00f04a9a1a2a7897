//! Test environment of real processes on loopback addresses: the platform's stand-in, and on each
//! host a daemon and an upstream. The daemons reach each other through the fault proxy.

pub mod cluster_spec;
pub mod host;
mod http;
pub mod service_spec;
pub mod usage;

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::io::Write;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Child;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use foxtaildrift::process::clock::SystemClock;
use foxtaildrift::process::http_platform::HttpPlatform;
use foxtaildrift::process::operations::{OperationError, Operations};
use foxtaildrift::process::platform::{Platform, PlatformKey};
use foxtaildrift::process::status::Status;
use foxtaildrift::version::configuration::Configuration;
use rustix::process::Signal;

use crate::address_block::AddressBlock;
use crate::args::BenchError;
use crate::child::{self, Output};
use crate::cluster::cluster_spec::ClusterSpec;
use crate::cluster::host::{ADMIN_PORT, ENTRY_PORT, Host, PEER_PORT, UPSTREAM_PORT};
use crate::cluster::service_spec::ServiceSpec;
use crate::cluster::usage::Usage;
use crate::fault_proxy::FaultProxy;
use crate::network::Network;

/// The administration token of all daemons.
const TOKEN: &str = "bench";
/// How long an environment may take to start.
const START_TIME: Duration = Duration::from_secs(20);
/// How often a condition is checked while waiting for it.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The port of the platform's stand-in.
const PLATFORM_PORT: u16 = 8500;
/// Added to the subnet of a daemon to get the subnet of its address at the proxy.
const PROXY_SUBNET_OFFSET: u8 = 100;
/// The subnet of the platform's stand-in.
const PLATFORM_SUBNET: u8 = 200;

/// The number of environments that this process has started.
static STARTED_CLUSTERS: AtomicU32 = AtomicU32::new(0);

/// A running environment; its processes are killed when it is dropped.
pub struct Cluster {
    /// The hosts.
    pub hosts: Vec<Host>,
    /// The simulated network between the daemons.
    pub network: Arc<Network>,
    /// The folder for settings, logs and journals.
    pub folder: PathBuf,
    program: PathBuf,
    platform_address: SocketAddr,
    platform: Option<Child>,
    block: AddressBlock,
}

impl Cluster {
    /// Starts an environment and waits until all daemons serve requests.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be started or is not ready in time.
    pub fn start(spec: &ClusterSpec) -> Result<Self, BenchError> {
        let program =
            std::env::current_exe().map_err(BenchError::with_context("can't find the program"))?;
        Self::start_with(&program, spec)
    }

    /// Starts an environment whose processes are subcommands of `program`, and waits until all
    /// daemons serve requests.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be started or is not ready in time.
    pub fn start_with(program: &Path, spec: &ClusterSpec) -> Result<Self, BenchError> {
        let mut cluster = Self::start_platform_and_daemons(program, spec)?;
        for number in 0..cluster.hosts.len() {
            cluster.start_upstream(number)?;
        }
        cluster.wait_until("all daemons serve", START_TIME, Self::is_serving)?;
        Ok(cluster)
    }

    /// Starts an environment of daemons without upstreams, and waits until all are members.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be started or is not ready in time.
    pub fn start_daemons_only(spec: &ClusterSpec) -> Result<Self, BenchError> {
        let program =
            std::env::current_exe().map_err(BenchError::with_context("can't find the program"))?;
        let cluster = Self::start_platform_and_daemons(&program, spec)?;
        let count = cluster.hosts.len();
        cluster.wait_until("all daemons are members", START_TIME * 2, |c| {
            let status = c.status(count - 1);
            status.is_ok_and(|s| s.members.len() == count && s.members.iter().all(|m| m.watched))
        })?;
        Ok(cluster)
    }

    fn start_platform_and_daemons(program: &Path, spec: &ClusterSpec) -> Result<Self, BenchError> {
        let mut cluster = Self::prepare(program, spec)?;
        cluster.start_platform()?;
        cluster
            .apply_document(&spec.document)
            .map_err(BenchError::with_context("can't apply the document"))?;
        for number in 0..cluster.hosts.len() {
            cluster.start_daemon(number)?;
        }
        Ok(cluster)
    }

    /// Creates the folder and the hosts with their addresses, and sets the network delays.
    fn prepare(program: &Path, spec: &ClusterSpec) -> Result<Self, BenchError> {
        let network = Arc::new(Network::default());
        let process_id = std::process::id();
        let number = STARTED_CLUSTERS.fetch_add(1, Ordering::SeqCst);
        let block = AddressBlock::claim()?;
        let folder = std::env::temp_dir().join(format!("foxtaildrift-{process_id}-{number}"));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).map_err(BenchError::with_context("can't create the folder"))?;
        let platform_address = block.address(PLATFORM_SUBNET, 1, PLATFORM_PORT);
        let mut cluster = Self {
            hosts: Vec::new(),
            network,
            folder,
            program: program.to_owned(),
            platform_address,
            platform: None,
            block,
        };
        let mut hosts_in_domain = vec![0u8; spec.domains.len()];
        let upstreams = spec
            .services
            .iter()
            .flat_map(|s| std::iter::repeat_n(s, s.upstreams))
            .enumerate();
        for (number, service) in upstreams {
            let domain = number % spec.domains.len();
            hosts_in_domain[domain] += 1;
            let subnet = u8::try_from(domain).unwrap_or(0);
            let octet = hosts_in_domain[domain];
            let domain = spec.domains[domain];
            let host = cluster.create_host(spec, domain, service, (subnet, octet), number)?;
            cluster.hosts.push(host);
        }
        cluster.set_delays(spec.delay);
        Ok(cluster)
    }

    /// Writes the settings of a host's daemon and starts its proxy, but no process.
    fn create_host(
        &self,
        spec: &ClusterSpec,
        domain: &'static str,
        service: &ServiceSpec,
        (subnet, octet): (u8, u8),
        number: usize,
    ) -> Result<Host, BenchError> {
        let at = |port| self.block.address(subnet, octet, port);
        let proxy_subnet = subnet + PROXY_SUBNET_OFFSET;
        let advertise = self.block.address(proxy_subnet, octet, PEER_PORT);
        let proxy = FaultProxy::start(&self.network, advertise, at(PEER_PORT))
            .map_err(BenchError::with_context("can't start the proxy"))?;
        let settings = self.folder.join(format!("{number}.yaml"));
        let text = format!(
            "environment: production\ndomain: {domain}\nentry: {}\npeer: {}\nadvertise: {advertise}\n\
             admin: {}\nplatform: http://{}\ntoken: {TOKEN}\nlog_level: {}\nworkers: {}\n",
            at(ENTRY_PORT),
            at(PEER_PORT),
            at(ADMIN_PORT),
            self.platform_address,
            spec.log_level,
            spec.workers,
        );
        fs::write(&settings, text).map_err(BenchError::with_context("can't write the settings"))?;
        Ok(Host {
            domain,
            service: service.name,
            ip: at(PEER_PORT).ip(),
            entry: at(ENTRY_PORT),
            admin: at(ADMIN_PORT),
            upstream: at(UPSTREAM_PORT),
            spec: service.clone(),
            settings,
            daemon: None,
            upstream_process: None,
            _proxy: proxy,
        })
    }

    /// Sets the network delay between hosts of different failure domains.
    fn set_delays(&self, delay: Duration) {
        for a in &self.hosts {
            for b in self.hosts.iter().filter(|b| b.domain != a.domain) {
                self.network.set_delay(a.ip, b.ip, delay);
            }
        }
    }

    /// Starts the platform's stand-in and waits until it responds.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be started or does not respond in time.
    pub fn start_platform(&mut self) -> Result<(), BenchError> {
        let address = self.platform_address.to_string();
        let args = ["platform", "--listen", &address];
        self.platform = Some(self.spawn("platform", &args)?);
        self.wait_until("the platform responds", START_TIME, |c| {
            c.control_platform("calls", "").is_ok()
        })
    }

    /// Starts the daemon of a host.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be started.
    pub fn start_daemon(&mut self, number: usize) -> Result<(), BenchError> {
        let settings = self.hosts[number].settings.display().to_string();
        let child = self.spawn(
            &format!("daemon-{number}"),
            &["daemon", "--settings", &settings],
        )?;
        self.hosts[number].daemon = Some(child);
        Ok(())
    }

    /// Starts the upstream of a host.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be started.
    pub fn start_upstream(&mut self, number: usize) -> Result<(), BenchError> {
        let host = &self.hosts[number];
        let journal = self.folder.join(format!("{number}.journal"));
        let mut args = vec![
            "upstream".to_owned(),
            format!("--listen={}", host.upstream),
            format!("--service={}", host.service),
            format!("--slots={}", host.spec.slots),
            format!("--cold-slots={}", host.spec.cold_slots),
            format!("--service-us={}", host.spec.service_time_us),
            format!("--warm-after={}", host.spec.warmup_requests),
            format!("--announce={}", host.admin),
            format!("--token={TOKEN}"),
            format!("--journal={}", journal.display()),
        ];
        if host.spec.checks_grants {
            args.push("--checks-grants".to_owned());
        }
        let args: Vec<&str> = args.iter().map(String::as_str).collect();
        let child = self.spawn(&format!("upstream-{number}"), &args)?;
        self.hosts[number].upstream_process = Some(child);
        Ok(())
    }

    fn spawn(&self, name: &str, args: &[&str]) -> Result<Child, BenchError> {
        let log = self.folder.join(format!("{name}.log"));
        child::spawn(&self.program, args, Output::Errors, &log)
            .map_err(BenchError::with_context(name))
    }

    /// Returns the operators' operations on the platform.
    pub fn operations(&self) -> Operations {
        let base = format!("http://{}", self.platform_address);
        Operations::new(Arc::new(HttpPlatform::new(&base)), Arc::new(SystemClock))
    }

    /// Returns the size of the assignment table that the platform stores, in bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the table can't be read.
    pub fn table_bytes(&self) -> Result<usize, BenchError> {
        let platform = HttpPlatform::new(&format!("http://{}", self.platform_address));
        let stored = platform.read(&PlatformKey::table("production", 0));
        let stored = stored.map_err(BenchError::with_context("can't read the table"))?;
        Ok(stored.map_or(0, |s| s.bytes.len()))
    }

    /// Validates a configuration document as a trial, and promotes it.
    ///
    /// # Errors
    ///
    /// Returns an error if the document is refused or the platform can't be reached.
    pub fn apply_document(&self, document: &str) -> Result<Configuration, OperationError> {
        let operations = self.operations();
        let trial = operations.trial(document)?;
        operations.promote(&trial.digest)
    }

    /// Sets a fault of the platform's stand-in, or reads its counters.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-in does not respond.
    pub fn control_platform(&self, setting: &str, value: &str) -> Result<String, BenchError> {
        http::put(
            &format!("http://{}/stand-in/{setting}", self.platform_address),
            value,
        )
    }

    /// Sets a fault of an upstream's stand-in, or reads its counters.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-in does not respond.
    pub fn control_upstream(
        &self,
        number: usize,
        setting: &str,
        value: &str,
    ) -> Result<String, BenchError> {
        http::put(
            &format!("http://{}/stand-in/{setting}", self.hosts[number].upstream),
            value,
        )
    }

    /// Returns the status of a daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon does not respond.
    pub fn status(&self, number: usize) -> Result<Status, BenchError> {
        let url = format!("http://{}/v1/status", self.hosts[number].admin);
        let text = http::get(&url)?;
        serde_json::from_str(&text).map_err(BenchError::with_context("can't parse the status"))
    }

    /// Returns whether all running daemons have a live lease, the same table epoch, all running
    /// hosts as confirmed members, and an owner for each slice.
    pub fn is_serving(&self) -> bool {
        let running = self.hosts.iter().filter(|h| h.daemon.is_some()).count();
        let numbers = (0..self.hosts.len()).filter(|&n| self.hosts[n].daemon.is_some());
        let mut epochs = Vec::new();
        for number in numbers {
            let Ok(status) = self.status(number) else {
                return false;
            };
            let names: BTreeSet<&str> = self.hosts.iter().map(|h| h.service).collect();
            let owned = names.iter().all(|name| {
                let owners = status.owners.iter().find(|(n, _)| n.as_str() == *name);
                owners.is_some_and(|(_, o)| !o.contains_key("nobody"))
            });
            if status.lease_ms.is_none() || !owned {
                return false;
            }
            let with_upstream = status
                .members
                .iter()
                .filter(|m| m.upstream.is_some())
                .count();
            if with_upstream != running || status.members.len() != running {
                return false;
            }
            if !status.members.iter().all(|m| m.watched) {
                return false;
            }
            epochs.push(status.epoch);
        }
        epochs.windows(2).all(|w| w[0] == w[1])
    }

    /// Waits until `condition` is true; `what` describes it in the error.
    ///
    /// # Errors
    ///
    /// Returns an error if it is not true within `limit`.
    pub fn wait_until(
        &self,
        what: &str,
        limit: Duration,
        condition: impl Fn(&Self) -> bool,
    ) -> Result<(), BenchError> {
        let deadline = Instant::now() + limit;
        while !condition(self) {
            if Instant::now() > deadline {
                return Err(BenchError(format!("not within {limit:?}: {what}")));
            }
            thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Returns the numbers of the hosts with an upstream of `service`.
    pub fn hosts_of_service(&self, service: &str) -> Vec<usize> {
        (0..self.hosts.len())
            .filter(|&n| self.hosts[n].service == service)
            .collect()
    }

    /// Returns the numbers of the hosts in a failure domain.
    pub fn hosts_in_domain(&self, domain: &str) -> Vec<usize> {
        (0..self.hosts.len())
            .filter(|&n| self.hosts[n].domain == domain)
            .collect()
    }

    /// Returns the addresses from which the hosts send.
    pub fn ips(&self) -> Vec<IpAddr> {
        self.hosts.iter().map(|h| h.ip).collect()
    }

    /// Returns the addresses on which the daemons accept callers' requests.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.hosts.iter().map(|h| h.entry).collect()
    }

    /// Kills the daemon and the upstream of a host.
    pub fn kill_host(&mut self, number: usize) {
        self.kill_daemon(number);
        self.kill_upstream(number);
    }

    /// Kills the daemon of a host.
    pub fn kill_daemon(&mut self, number: usize) {
        child::kill_and_wait(&mut self.hosts[number].daemon);
    }

    /// Kills the upstream of a host.
    pub fn kill_upstream(&mut self, number: usize) {
        child::kill_and_wait(&mut self.hosts[number].upstream_process);
    }

    /// Returns whether the upstream of a host has ended by itself, and if so clears its process.
    pub fn upstream_has_ended(&mut self, number: usize) -> bool {
        let process = &mut self.hosts[number].upstream_process;
        process.is_some() && !child::is_running(process)
    }

    /// Sends a signal to the daemon of a host, and also to its upstream if `both` is set.
    pub fn signal(&self, number: usize, signal: Signal, both: bool) {
        let host = &self.hosts[number];
        let upstream = host.upstream_process.as_ref().filter(|_| both);
        for process in host.daemon.as_ref().into_iter().chain(upstream) {
            // It fails if the process has ended by itself.
            let _ = child::signal(process, signal);
        }
    }

    /// Stops the daemon of a host with SIGTERM, and returns whether it exited successfully within
    /// `limit`; otherwise it is killed.
    pub fn stop_daemon(&mut self, number: usize, limit: Duration) -> bool {
        self.signal(number, Signal::TERM, false);
        let deadline = Instant::now() + limit;
        let mut daemon = self.hosts[number].daemon.take();
        let Some(running) = &mut daemon else {
            return false;
        };
        while Instant::now() < deadline {
            if let Ok(Some(status)) = running.try_wait() {
                return status.success();
            }
            thread::sleep(POLL_INTERVAL);
        }
        child::kill_and_wait(&mut daemon);
        false
    }

    /// Returns the processor time and resident memory of a host's daemon; zeros if it is not
    /// running.
    pub fn usage(&self, number: usize) -> Usage {
        let daemon = self.hosts[number].daemon.as_ref();
        daemon
            .map(|c| Usage::of_process(c.id()))
            .unwrap_or_default()
    }

    /// Returns the sum of the samples of a daemon's metrics whose names start with `name` and whose
    /// lines contain `label`.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon does not respond.
    pub fn metric(&self, number: usize, name: &str, label: &str) -> Result<f64, BenchError> {
        let text = http::get(&format!("http://{}/metrics", self.hosts[number].admin))?;
        let lines = text
            .lines()
            .filter(|l| l.starts_with(name) && l.contains(label));
        let values = lines.filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok());
        Ok(values.sum())
    }

    /// Returns the number of slices by service and owning host, as daemon `observer` reports them.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon does not respond.
    pub fn owned_slices(
        &self,
        observer: usize,
    ) -> Result<BTreeMap<(String, usize), u32>, BenchError> {
        let status = self.status(observer)?;
        let mut owned = BTreeMap::new();
        for (service, owners) in &status.owners {
            for (session, slices) in owners {
                let member = status
                    .members
                    .iter()
                    .find(|m| m.session.to_string() == *session);
                let host = member.and_then(|m| self.hosts.iter().position(|h| h.entry == m.entry));
                if let Some(host) = host {
                    *owned.entry((service.to_string(), host)).or_default() += slices;
                }
            }
        }
        Ok(owned)
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.network.close();
        for host in &mut self.hosts {
            child::kill_and_wait(&mut host.daemon);
            child::kill_and_wait(&mut host.upstream_process);
        }
        child::kill_and_wait(&mut self.platform);
        if std::env::var_os("FOXTAILDRIFT_KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            let _ = writeln!(std::io::stderr(), "kept: {}", self.folder.display());
        }
    }
}
