//! The daemons that grant a session its lease.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::version::instance_id::InstanceId;

/// An instance that grants leases, and where it is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct WitnessAddress {
    /// The process that keeps the promise.
    pub instance: InstanceId,
    /// Where it takes datagrams.
    pub peer: SocketAddr,
}

/// An odd number of witnesses, of which a majority decides.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessSet(pub Vec<WitnessAddress>);

impl WitnessSet {
    /// Returns how many witnesses make a majority.
    pub fn majority(&self) -> usize {
        self.0.len() / 2 + 1
    }

    /// Returns whether `instance` is one of the witnesses.
    pub fn contains(&self, instance: InstanceId) -> bool {
        self.instances().any(|i| i == instance)
    }

    /// Returns the instances of the set.
    pub fn instances(&self) -> impl Iterator<Item = InstanceId> {
        self.0.iter().map(|w| w.instance)
    }
}
