//! A daemon's entry in the table.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::version::domain_name::DomainName;
use crate::version::epoch::Epoch;
use crate::version::session_id::SessionId;
use crate::version::upstream::Upstream;
use crate::version::witness_set::WitnessSet;

/// The strength of hosts that are all alike, or not known.
pub const CPU_SHARE_DEFAULT: u32 = 1000;
/// The full weight of an upstream, in per mille.
pub const WEIGHT_FULL: u32 = 1000;

/// What a daemon says of itself when it joins, and whenever that changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberInfo {
    /// The session of the daemon.
    pub session: SessionId,
    /// Where it takes datagrams and connections of other daemons.
    pub peer: SocketAddr,
    /// Where it takes callers' requests.
    pub entry: SocketAddr,
    /// The failure domain of its host.
    pub domain: DomainName,
    /// The upstream beside it, when that is up.
    pub upstream: Option<Upstream>,
    /// Whether it is about to stop and wants no slices.
    pub leaving: bool,
    /// The share of full work that its upstream takes now, in per mille.
    pub weight: u32,
    /// The processor share of its host, in per mille of a core: the strongest plan.
    pub cpu_share: u32,
}

/// A daemon in the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// What the daemon says of itself.
    pub info: MemberInfo,
    /// The witness sets that all count: two while a change is under way.
    pub witnesses: Vec<WitnessSet>,
    /// The epoch of the last step of a change of the witness sets.
    pub witnesses_since: Epoch,
    /// Whether a change is in its last step: the session must show that it is live under both
    /// sets before the old one is dropped.
    pub witnesses_confirming: bool,
}
