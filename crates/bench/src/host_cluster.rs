//! Test environment of the host daemon of the users' platform: real processes on loopback
//! addresses, with stand-ins for the store and the upstreams.

use std::fs;
use std::io::Write;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Child;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use foxtaildrift::connection::http_client::HttpClient;
use foxtaildrift::connection::protocol::OutgoingRequest;
use foxtaildrift::request::headers::Headers;
use rustix::process::Signal;

use crate::address_block::AddressBlock;
use crate::args::BenchError;
use crate::child::{self, Output};
use crate::fault_proxy::FaultProxy;
use crate::journal;
use crate::network::Network;
use crate::ownership_event::OwnershipEvent;
use crate::ranged_upstream;
use crate::upstream_options::UpstreamOptions;

/// The timeout of an HTTP request to a daemon or the store.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// How often a condition is checked while waiting for it.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The port on which a daemon accepts callers' requests.
const CALLER_PORT: u16 = 8080;
/// The port on which a daemon accepts connections and datagrams of other daemons.
const PEER_PORT: u16 = 7400;
/// The port on which a daemon reports whether it is ready.
const READY_PORT: u16 = 9400;
/// The port on which a daemon accepts the reports of its upstream.
const REPORT_PORT: u16 = 9401;
/// The port of an upstream.
const UPSTREAM_PORT: u16 = 9000;
/// The port of the store.
const STORE_PORT: u16 = 8500;
/// The subnet of the hosts.
const HOST_SUBNET: u8 = 1;
/// The subnet of the daemons' addresses at the proxy.
const PEER_PROXY_SUBNET: u8 = 2;
/// The subnet of the store's addresses at the proxy, one for each host.
const STORE_PROXY_SUBNET: u8 = 3;
/// The subnet of the store.
const STORE_SUBNET: u8 = 250;

/// The number of environments that this process has started.
static STARTED_CLUSTERS: AtomicU32 = AtomicU32::new(0);

/// Selects one of the two processes of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostProcess {
    /// The daemon.
    Daemon,
    /// The upstream.
    Upstream,
}

/// A host with its daemon and its upstream.
pub struct Host {
    /// The address on which the daemon accepts callers' requests.
    pub caller_address: SocketAddr,
    /// The service of the upstream.
    pub service: &'static str,
    ready_address: SocketAddr,
    settings: PathBuf,
    daemon: Option<Child>,
    upstream: Option<Child>,
    _proxies: Vec<FaultProxy>,
}

/// The response that a caller received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerResponse {
    /// The HTTP status.
    pub status: u16,
    /// The response headers.
    pub headers: Headers,
    /// The body, with bytes replaced that are not UTF-8.
    pub body: String,
}

/// A running environment; its processes are killed when it is dropped.
pub struct HostCluster {
    /// The hosts.
    pub hosts: Vec<Host>,
    /// The folder for settings, logs and journals.
    pub folder: PathBuf,
    /// Whether the folder is kept when the environment is dropped.
    pub keep_folder: bool,
    program: PathBuf,
    store_address: SocketAddr,
    store_process: Option<Child>,
    network: Option<Arc<Network>>,
    sharded_services: Vec<String>,
    upstream_options: UpstreamOptions,
    /// Settings of each daemon, in YAML.
    more_settings: String,
    next_id: AtomicU32,
    block: AddressBlock,
}

impl HostCluster {
    /// Starts an environment whose processes are subcommands of `program`: a host for each element
    /// of `services`. Upstreams of the services in `sharded` run only requests whose keys were
    /// granted.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be started or a file can't be written.
    pub fn start(
        program: &Path,
        services: &[&'static str],
        sharded: &[&str],
    ) -> Result<Self, BenchError> {
        Self::start_with_network(None, program, services, sharded)
    }

    /// Like [`Self::start`], with upstreams that treat grants as `upstream_options` says.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be started or a file can't be written.
    pub fn start_with_options(
        upstream_options: UpstreamOptions,
        program: &Path,
        services: &[&'static str],
        sharded: &[&str],
    ) -> Result<Self, BenchError> {
        Self::start_cluster(None, "", upstream_options, program, services, sharded)
    }

    /// Like [`Self::start`], with all connections between daemons and to the store through the
    /// fault proxy.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be started, a file can't be written, or an address is in
    /// use.
    pub fn start_with_network(
        network: Option<Arc<Network>>,
        program: &Path,
        services: &[&'static str],
        sharded: &[&str],
    ) -> Result<Self, BenchError> {
        Self::start_with_settings(network, "", program, services, sharded)
    }

    /// Like [`Self::start_with_network`], with `settings` appended to those of each daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be started, a file can't be written, or an address is in
    /// use.
    pub fn start_with_settings(
        network: Option<Arc<Network>>,
        settings: &str,
        program: &Path,
        services: &[&'static str],
        sharded: &[&str],
    ) -> Result<Self, BenchError> {
        let upstream_options = UpstreamOptions::default();
        Self::start_cluster(
            network,
            settings,
            upstream_options,
            program,
            services,
            sharded,
        )
    }

    fn start_cluster(
        network: Option<Arc<Network>>,
        more_settings: &str,
        upstream_options: UpstreamOptions,
        program: &Path,
        services: &[&'static str],
        sharded: &[&str],
    ) -> Result<Self, BenchError> {
        let process_id = std::process::id();
        let number = STARTED_CLUSTERS.fetch_add(1, Ordering::SeqCst);
        let block = AddressBlock::claim()?;
        let folder = std::env::temp_dir().join(format!("foxtaildrift-host-{process_id}-{number}"));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).map_err(BenchError::with_context("folder"))?;
        let store_address = block.address(STORE_SUBNET, 1, STORE_PORT);
        let mut cluster = Self {
            hosts: Vec::new(),
            folder,
            keep_folder: false,
            program: program.to_owned(),
            store_address,
            store_process: None,
            network,
            sharded_services: sharded.iter().map(|&s| s.to_owned()).collect(),
            upstream_options,
            more_settings: more_settings.to_owned(),
            next_id: AtomicU32::new(0),
            block,
        };
        let listen = store_address.to_string();
        cluster.store_process = Some(cluster.spawn("store", &["store", "--listen", &listen])?);
        for (number, service) in services.iter().enumerate() {
            let host = cluster.create_host(number, service)?;
            cluster.hosts.push(host);
            cluster.start_daemon(number)?;
            cluster.start_upstream(number)?;
        }
        Ok(cluster)
    }

    /// Writes the settings of a host's daemon and starts its proxies, but no process.
    fn create_host(&self, number: usize, service: &'static str) -> Result<Host, BenchError> {
        let domain = number % 3;
        let octet = u8::try_from(number + 1).unwrap_or(1);
        let at = |port| self.block.address(HOST_SUBNET, octet, port);
        let (mut peers, mut store) = (at(PEER_PORT), self.store_address);
        let mut proxies = Vec::new();
        if let Some(network) = &self.network {
            peers = self.block.address(PEER_PROXY_SUBNET, octet, PEER_PORT);
            store = self.block.address(STORE_PROXY_SUBNET, octet, STORE_PORT);
            let with_context = BenchError::with_context("proxy");
            let peer_proxy = FaultProxy::start(network, peers, at(PEER_PORT));
            let store_proxy = FaultProxy::start(network, store, self.store_address);
            proxies.push(peer_proxy.map_err(&with_context)?);
            proxies.push(store_proxy.map_err(&with_context)?);
        }
        let settings = self.folder.join(format!("{number}.yaml"));
        let text = format!(
            "node: host-{number}\ndomain: domain-{domain}\ncallers: {}\npeers: {peers}\npeers_bind: {}\n\
             ready: {}\nreports: {}\nupstream: {}\nservice: {service}\nstore: {store}\n{}",
            at(CALLER_PORT),
            at(PEER_PORT),
            at(READY_PORT),
            at(REPORT_PORT),
            at(UPSTREAM_PORT),
            self.more_settings,
        );
        fs::write(&settings, text).map_err(BenchError::with_context("settings"))?;
        Ok(Host {
            caller_address: at(CALLER_PORT),
            service,
            ready_address: at(READY_PORT),
            settings,
            daemon: None,
            upstream: None,
            _proxies: proxies,
        })
    }

    /// Starts the daemon of a host.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be started.
    pub fn start_daemon(&mut self, number: usize) -> Result<(), BenchError> {
        let settings = self.hosts[number].settings.display().to_string();
        let name = format!("daemon-{number}");
        let child = self.spawn(&name, &["host", "--settings", &settings])?;
        self.hosts[number].daemon = Some(child);
        Ok(())
    }

    /// Starts the upstream of a host.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be started.
    pub fn start_upstream(&mut self, number: usize) -> Result<(), BenchError> {
        self.start_upstream_with_options(number, &self.upstream_options.clone())
    }

    /// Kills the upstream of a host and starts it again at once; it reports its state only after
    /// `first_report_ms` milliseconds.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be started, or its journal can't be read or written.
    pub fn restart_upstream(
        &mut self,
        number: usize,
        first_report_ms: u64,
    ) -> Result<(), BenchError> {
        self.kill_upstream(number)?;
        let options = UpstreamOptions {
            first_report_ms,
            ..self.upstream_options.clone()
        };
        self.start_upstream_with_options(number, &options)
    }

    fn start_upstream_with_options(
        &mut self,
        number: usize,
        options: &UpstreamOptions,
    ) -> Result<(), BenchError> {
        let host = &self.hosts[number];
        let sharded = self.sharded_services.iter().any(|s| s == host.service);
        let at = |port| SocketAddr::new(host.caller_address.ip(), port).to_string();
        let journal = self.journal(number).display().to_string();
        let domain = format!("domain-{}", number % 3);
        let (listen, reports) = (at(UPSTREAM_PORT), at(REPORT_PORT));
        let mut args = vec![
            "ranged-upstream",
            "--listen",
            &listen,
            "--reports",
            &reports,
            "--service",
            host.service,
            "--domain",
            &domain,
            "--journal",
            &journal,
        ];
        if sharded {
            args.push("--divided");
        }
        let options = options.to_args(number);
        args.extend(options.iter().map(String::as_str));
        let child = self.spawn(&format!("upstream-{number}"), &args)?;
        self.hosts[number].upstream = Some(child);
        Ok(())
    }

    /// Returns the path of the journal that the upstream of a host writes.
    pub fn journal(&self, number: usize) -> PathBuf {
        self.folder.join(format!("{number}.journal"))
    }

    /// Returns the log of the daemon of a host; empty if there is none.
    pub fn log(&self, number: usize) -> String {
        let path = self.folder.join(format!("daemon-{number}.log"));
        fs::read_to_string(path).unwrap_or_default()
    }

    fn spawn(&self, name: &str, args: &[&str]) -> Result<Child, BenchError> {
        let log = self.folder.join(format!("{name}.log"));
        child::spawn(&self.program, args, Output::All, &log).map_err(BenchError::with_context(name))
    }

    /// Kills the daemon of a host.
    pub fn kill_daemon(&mut self, number: usize) {
        child::kill_and_wait(&mut self.hosts[number].daemon);
    }

    /// Kills the upstream of a host, and records in its journal that it holds no keys any more.
    ///
    /// # Errors
    ///
    /// Returns an error if the journal can't be read or written.
    pub fn kill_upstream(&mut self, number: usize) -> Result<(), BenchError> {
        child::kill_and_wait(&mut self.hosts[number].upstream);
        // Taken after the wait: the keys count as held until the process has surely ended.
        let ended_at_micros = journal::micros_now();
        let path = self.journal(number);
        let with_context = BenchError::with_context("journal");
        let events = OwnershipEvent::read_all(&path).map_err(&with_context)?;
        let Some(newest) = events.last() else {
            return Ok(());
        };
        let end = OwnershipEvent::end_of(newest.upstream.as_str(), ended_at_micros);
        let file = fs::OpenOptions::new().append(true).open(&path);
        let written = file.and_then(|mut f| writeln!(f, "{end}"));
        written.map_err(&with_context)
    }

    /// Returns whether the daemon of a host is running, and clears it if it has ended.
    pub fn has_daemon(&mut self, number: usize) -> bool {
        child::is_running(&mut self.hosts[number].daemon)
    }

    /// Returns whether the upstream of a host is running, and clears it if it has ended.
    pub fn has_upstream(&mut self, number: usize) -> bool {
        child::is_running(&mut self.hosts[number].upstream)
    }

    /// Sends a signal to the daemon or the upstream of a host, if it is running.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal can't be sent.
    pub fn signal(
        &mut self,
        number: usize,
        to: HostProcess,
        signal: Signal,
    ) -> Result<(), BenchError> {
        let host = &mut self.hosts[number];
        let process = match to {
            HostProcess::Daemon => &mut host.daemon,
            HostProcess::Upstream => &mut host.upstream,
        };
        child::is_running(process);
        match process {
            Some(process) => {
                child::signal(process, signal).map_err(BenchError::with_context("signal"))
            }
            None => Ok(()),
        }
    }

    /// Changes the fraction of the grants that get no answer and are carried out later, for all
    /// upstreams that run and for those started after this call.
    ///
    /// # Errors
    ///
    /// Returns an error if an upstream that runs does not accept the change within
    /// [`CALL_TIMEOUT`].
    pub fn set_late_grants(&mut self, share: f64) -> Result<(), BenchError> {
        self.upstream_options.late_grants = share;
        for number in 0..self.hosts.len() {
            if !self.has_upstream(number) {
                continue;
            }
            self.wait_until("the upstream accepts calls", CALL_TIMEOUT, |c| {
                let to = c.upstream_address(number);
                let target = ranged_upstream::LATE_GRANTS_PATH;
                let body = share.to_string();
                let response = call(to, "POST", target, Headers::default(), body.as_bytes());
                response.is_ok_and(|r| r.status == 200)
            })?;
        }
        Ok(())
    }

    /// Returns the address from which a host's daemon connects to other daemons and the store.
    pub fn ip(&self, number: usize) -> IpAddr {
        self.hosts[number].caller_address.ip()
    }

    /// Returns the address at which the daemon of a host reaches its upstream.
    pub fn upstream_address(&self, number: usize) -> SocketAddr {
        SocketAddr::new(self.ip(number), UPSTREAM_PORT)
    }

    /// Returns the process id of the daemon of a host, or `None` if it does not run.
    pub fn daemon_id(&self, number: usize) -> Option<u32> {
        Some(self.hosts[number].daemon.as_ref()?.id())
    }

    /// Returns the highest resident memory of the daemon of a host so far, in bytes, or `None` if it
    /// does not run.
    pub fn peak_memory(&self, number: usize) -> Option<u64> {
        let daemon = self.hosts[number].daemon.as_ref()?;
        let status = fs::read_to_string(format!("/proc/{}/status", daemon.id())).ok()?;
        let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"))?;
        let kilobytes = line.split_whitespace().next()?.parse::<u64>().ok()?;
        Some(kilobytes * 1024)
    }

    /// Returns the address of the store.
    pub fn store_ip(&self) -> IpAddr {
        self.store_address.ip()
    }

    /// Stops the daemon of a host with SIGTERM, and returns how long it took to exit.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not exit within `limit`; it is then killed.
    pub fn stop_daemon(&mut self, number: usize, limit: Duration) -> Result<Duration, BenchError> {
        let mut daemon = self.hosts[number].daemon.take();
        let Some(running) = &mut daemon else {
            return Err(BenchError(format!("host {number} has no daemon")));
        };
        let started = Instant::now();
        child::signal(running, Signal::TERM).map_err(BenchError::with_context("signal"))?;
        while started.elapsed() < limit {
            if running
                .try_wait()
                .map_err(BenchError::with_context("wait"))?
                .is_some()
            {
                return Ok(started.elapsed());
            }
            thread::sleep(POLL_INTERVAL);
        }
        child::kill_and_wait(&mut daemon);
        Err(BenchError(format!(
            "daemon {number} did not stop in {limit:?}"
        )))
    }

    /// Calls the control API of the store's stand-in, which sets faults and writes values in place
    /// of operators: requests `/control/` with `action` appended.
    ///
    /// # Errors
    ///
    /// Returns an error if the store's stand-in does not respond.
    pub fn control_store(&self, action: &str, body: &str) -> Result<String, BenchError> {
        let target = format!("/control/{action}");
        let response = call(
            self.store_address,
            "POST",
            &target,
            Headers::default(),
            body.as_bytes(),
        )?;
        Ok(response.body)
    }

    /// Returns the address at which the daemon of a host serves readiness, metrics and explanations.
    pub fn ready_address(&self, number: usize) -> SocketAddr {
        self.hosts[number].ready_address
    }

    /// Returns whether the daemon of a host reports that it is ready.
    pub fn is_ready(&self, number: usize) -> bool {
        let address = self.hosts[number].ready_address;
        call(address, "GET", "/ready", Headers::default(), b"").is_ok_and(|s| s.status == 200)
    }

    /// Sends a request with a new id to the daemon of a host.
    ///
    /// # Errors
    ///
    /// Returns an error if there was no response.
    pub fn request(
        &self,
        number: usize,
        method: &'static str,
        target: &str,
        key: Option<u16>,
    ) -> Result<CallerResponse, BenchError> {
        let key = key.map(|k| k.to_string());
        let header = key.as_ref().map(|k| ("Shard-Key", k.as_str()));
        self.request_with_headers(number, method, target, header.as_slice())
    }

    /// Sends a request with a new id and `more_headers` to the daemon of a host.
    ///
    /// # Errors
    ///
    /// Returns an error if there was no response.
    pub fn request_with_headers(
        &self,
        number: usize,
        method: &'static str,
        target: &str,
        more_headers: &[(&str, &str)],
    ) -> Result<CallerResponse, BenchError> {
        let id = self.next_id.fetch_add(1, Ordering::SeqCst);
        let mut headers = Headers::default();
        headers.push("Host", "a.example");
        headers.push("Request-Id", format!("request-{id}"));
        headers.push("Deadline-Ms", "2000");
        for (name, value) in more_headers {
            headers.push(*name, *value);
        }
        call(
            self.hosts[number].caller_address,
            method,
            target,
            headers,
            b"",
        )
    }

    /// Sends a report in the name of the upstream of a host to its daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if there was no response.
    pub fn report(
        &self,
        number: usize,
        target: &str,
        body: &str,
    ) -> Result<CallerResponse, BenchError> {
        let to = SocketAddr::new(self.ip(number), REPORT_PORT);
        let mut headers = Headers::default();
        headers.push("Host", "reports");
        call(to, "POST", target, headers, body.as_bytes())
    }

    /// Waits until `condition` is true, and returns how long it took; `what` describes the
    /// condition in the error.
    ///
    /// # Errors
    ///
    /// Returns an error if it is not true within `limit`.
    pub fn wait_until(
        &self,
        what: &str,
        limit: Duration,
        condition: impl Fn(&Self) -> bool,
    ) -> Result<Duration, BenchError> {
        let started = Instant::now();
        while started.elapsed() < limit {
            if condition(self) {
                return Ok(started.elapsed());
            }
            thread::sleep(POLL_INTERVAL);
        }
        Err(BenchError(format!("not within {limit:?}: {what}")))
    }
}

impl Drop for HostCluster {
    fn drop(&mut self) {
        for host in &mut self.hosts {
            child::kill_and_wait(&mut host.daemon);
            child::kill_and_wait(&mut host.upstream);
        }
        child::kill_and_wait(&mut self.store_process);
        if let Some(network) = &self.network {
            network.close();
        }
        if !thread::panicking() && !self.keep_folder {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn call(
    to: SocketAddr,
    method: &'static str,
    target: &str,
    headers: Headers,
    body: &[u8],
) -> Result<CallerResponse, BenchError> {
    let client = HttpClient::new(to, None);
    let request = OutgoingRequest {
        method,
        target: target.to_owned(),
        headers,
        body: body.to_vec(),
    };
    let response = client.call(&request, CALL_TIMEOUT);
    let (head, body) = response.map_err(BenchError::with_context("call"))?;
    Ok(CallerResponse {
        status: head.status,
        headers: head.headers,
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}
