//! A small deployment: the store, and hosts with a daemon and a backend each.

use std::fs::{self, File};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::Backend;
use crate::http;
use crate::record::Record;
use crate::store::Store;

/// A host: its daemon and its backend.
pub struct Host {
    pub name: String,
    pub callers: SocketAddr,
    pub reports: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    daemon: Option<Child>,
    service: &'static str,
    zone: &'static str,
    sharded: bool,
    pub backend: Arc<Backend>,
}

pub struct Deployment {
    pub store: Arc<Store>,
    pub hosts: Vec<Host>,
    folder: PathBuf,
    /// Memory of a machine, in MiB.
    memory_mb: u32,
}

/// A host to start.
pub struct HostSpec {
    pub name: &'static str,
    pub service: &'static str,
    pub zone: &'static str,
    pub sharded: bool,
}

impl Deployment {
    /// Starts the store with the operator's `config`, and the hosts.
    pub fn start(
        config: &str,
        specs: &[HostSpec],
        settings: &str,
        memory_mb: u32,
        record: &Arc<Record>,
    ) -> io::Result<Self> {
        let folder =
            std::env::temp_dir().join(format!("foxtaildrift-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let block = (std::process::id() % 200) as u8 + 20;
        let (store, store_address) = Store::start(IpAddr::V4(Ipv4Addr::new(127, 77, block, 1)));
        store.put("op/config", config.as_bytes());
        let mut hosts = Vec::new();
        for (index, spec) in specs.iter().enumerate() {
            let ip = IpAddr::V4(Ipv4Addr::new(127, 77, block, 10 + index as u8));
            let [callers, peers, ready, reports, upstream] = http::free_addresses(ip)?;
            let path = folder.join(format!("{}.yaml", spec.name));
            // The fields of deploy/host.yaml.
            let text = format!(
                "node: \"{}\"\ndomain: \"{}\"\ncallers: \"{callers}\"\npeers: \"{peers}\"\nready: \"{ready}\"\n\
                 reports: \"{reports}\"\nupstream: \"{upstream}\"\nservice: \"{}\"\nstore: \"{store_address}\"\n{settings}",
                spec.name, spec.zone, spec.service
            );
            fs::write(&path, text)?;
            let backend = Backend::start(
                spec.name,
                spec.service,
                spec.zone,
                spec.sharded,
                upstream,
                reports,
                record,
            );
            hosts.push(Host {
                name: spec.name.to_owned(),
                callers,
                reports,
                ready,
                settings: path,
                log: folder.join(format!("{}.log", spec.name)),
                daemon: None,
                service: spec.service,
                zone: spec.zone,
                sharded: spec.sharded,
                backend,
            });
        }
        let mut deployment = Self {
            store,
            hosts,
            folder,
            memory_mb,
        };
        for index in 0..deployment.hosts.len() {
            deployment.start_daemon(index)?;
        }
        Ok(deployment)
    }

    /// Starts a new backend in the place of one that has crashed.
    pub fn restart_backend(&mut self, index: usize, record: &Arc<Record>) {
        let host = &mut self.hosts[index];
        let address = host.backend.address;
        host.backend = Backend::start(
            &host.name,
            host.service,
            host.zone,
            host.sharded,
            address,
            host.reports,
            record,
        );
    }

    /// Starts the daemon of a host with the command of the deploy file.
    pub fn start_daemon(&mut self, index: usize) -> io::Result<()> {
        let host = &mut self.hosts[index];
        let log = File::options().create(true).append(true).open(&host.log)?;
        let child = Command::new("target/release/foxtaildrift-host")
            .arg(format!("--memory-mb={}", self.memory_mb))
            .env("FOXTAILDRIFT_NODE_FILE", &host.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        host.daemon = Some(child);
        Ok(())
    }

    /// Kills the daemon of a host.
    pub fn kill_daemon(&mut self, index: usize) {
        if let Some(mut daemon) = self.hosts[index].daemon.take() {
            let _ = daemon.kill();
            let _ = daemon.wait();
        }
    }

    /// Hands over the process of a daemon, to wait for its end.
    pub fn take_daemon(&mut self, index: usize) -> Option<Child> {
        self.hosts[index].daemon.take()
    }

    /// Waits until a daemon has ended; kills it when `timeout` has passed.
    pub fn await_end(daemon: Option<Child>, timeout: Duration) {
        let until = Instant::now() + timeout;
        let Some(mut daemon) = daemon else {
            return;
        };
        while Instant::now() < until && !matches!(daemon.try_wait(), Ok(Some(_))) {
            thread::sleep(Duration::from_millis(20));
        }
        // Fails if it has ended.
        let _ = daemon.kill();
        let _ = daemon.wait();
    }

    pub fn signal_daemon(&self, index: usize, signal: i32) {
        if let Some(daemon) = &self.hosts[index].daemon {
            crate::sys::signal(daemon.id(), signal);
        }
    }

    /// Waits until all daemons report that they are ready.
    pub fn await_ready(&self, timeout: Duration, record: &Record) -> bool {
        let until = Instant::now() + timeout;
        let is_ready = |h: &Host| {
            let headers = [("Host", "node".to_owned())];
            let answer = http::call(
                h.ready,
                "GET",
                "/ready",
                &headers,
                b"",
                Duration::from_millis(500),
            );
            answer.is_ok_and(|a| a.status() == 200)
        };
        while Instant::now() < until {
            if self.hosts.iter().all(is_ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        for host in self.hosts.iter().filter(|h| !is_ready(h)) {
            let log = fs::read_to_string(&host.log).unwrap_or_default();
            let last = log.lines().last().unwrap_or_default();
            record.say(&format!("{} is not ready: {last}", host.name));
        }
        false
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for index in 0..self.hosts.len() {
            self.kill_daemon(index);
        }
        match std::env::var_os("KEEP_LOGS") {
            Some(_) => println!("logs: {}", self.folder.display()),
            None => _ = fs::remove_dir_all(&self.folder),
        }
    }
}
