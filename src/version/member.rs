//! A daemon's entry in the assignment table.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::version::domain_name::DomainName;
use crate::version::epoch::Epoch;
use crate::version::session_id::SessionId;
use crate::version::upstream::Upstream;
use crate::version::witness_set::WitnessSet;

/// The CPU share of hosts that are all alike or whose share is unknown, in per mille of a core.
pub const CPU_SHARE_DEFAULT: u32 = 1000;
/// The weight of an upstream at full capacity, in per mille.
pub const WEIGHT_FULL: u32 = 1000;

/// What a daemon publishes about itself when it joins, and again whenever that changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberInfo {
    /// The session of the daemon.
    pub session: SessionId,
    /// The address for datagrams and connections from other daemons.
    pub peer: SocketAddr,
    /// The address for callers' requests.
    pub entry: SocketAddr,
    /// The failure domain of the host.
    pub domain: DomainName,
    /// The upstream on the same host, if it is up.
    pub upstream: Option<Upstream>,
    /// Whether the daemon is about to stop and must get no slices.
    pub leaving: bool,
    /// The present capacity of the upstream, in per mille of its full capacity.
    pub weight: u32,
    /// The CPU share of the host, in per mille of a core; daemons on the hosts with the highest
    /// share run the planner.
    pub cpu_share: u32,
}

/// A daemon in the assignment table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// What the daemon publishes about itself.
    pub info: MemberInfo,
    /// The witness sets, each of which must grant the lease; two during a change of the set.
    pub witnesses: Vec<WitnessSet>,
    /// The epoch of the last step of a change of the witness sets.
    pub witnesses_since: Epoch,
    /// Whether a change of the witness sets is in its last step: the session must confirm that it
    /// is live under both sets before the old one is dropped.
    pub witnesses_confirming: bool,
}
