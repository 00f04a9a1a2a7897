//! A host of an environment.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::process::Child;

use crate::cluster::service_spec::ServiceSpec;
use crate::fault_proxy::FaultProxy;

/// The port on which a daemon accepts callers' requests.
pub(super) const ENTRY_PORT: u16 = 8080;
/// The port on which a daemon accepts connections and datagrams of other daemons.
pub(super) const PEER_PORT: u16 = 7400;
/// The port of a daemon's administration API.
pub(super) const ADMIN_PORT: u16 = 9400;
/// The port of an upstream.
pub(super) const UPSTREAM_PORT: u16 = 9000;

/// A host with its daemon and its upstream.
pub struct Host {
    /// The failure domain.
    pub domain: &'static str,
    /// The service of the upstream.
    pub service: &'static str,
    /// The address from which the daemon opens connections and sends datagrams.
    pub ip: IpAddr,
    /// The address on which the daemon accepts callers' requests.
    pub entry: SocketAddr,
    /// The address of the daemon's administration API.
    pub admin: SocketAddr,
    /// The address of the upstream.
    pub upstream: SocketAddr,
    pub(super) spec: ServiceSpec,
    pub(super) settings: PathBuf,
    pub(super) daemon: Option<Child>,
    pub(super) upstream_process: Option<Child>,
    pub(super) _proxy: FaultProxy,
}

impl Host {
    /// Returns whether the daemon was started and not killed or stopped since.
    pub fn has_daemon(&self) -> bool {
        self.daemon.is_some()
    }

    /// Returns the daemon's own address for other daemons, which bypasses the proxy.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, PEER_PORT)
    }

    /// Returns whether the upstream was started and has not been found ended since.
    pub fn has_upstream(&self) -> bool {
        self.upstream_process.is_some()
    }
}
