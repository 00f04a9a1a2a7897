//! The daemons that grant a session its lease.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::version::instance_id::InstanceId;

/// A daemon process that grants leases, and its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct WitnessAddress {
    /// The daemon process.
    pub instance: InstanceId,
    /// The address for datagrams.
    pub peer: SocketAddr,
}

/// An odd number of witnesses; a majority of them grants a lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessSet(pub Vec<WitnessAddress>);

impl WitnessSet {
    /// Returns the number of witnesses that form a majority.
    pub fn majority(&self) -> usize {
        self.0.len() / 2 + 1
    }

    /// Returns whether `instance` is one of the witnesses.
    pub fn contains(&self, instance: InstanceId) -> bool {
        self.instances().any(|i| i == instance)
    }

    /// Returns the daemon processes of the witnesses.
    pub fn instances(&self) -> impl Iterator<Item = InstanceId> {
        self.0.iter().map(|w| w.instance)
    }
}
