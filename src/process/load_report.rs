//! The load that a daemon reports to the planner.

use serde::{Deserialize, Serialize};

use crate::version::epoch::Epoch;
use crate::version::session_id::SessionId;
use crate::version::slice_id::SliceId;

/// The load of one upstream, measured by the daemon on its host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The session of the reporting daemon.
    pub session: Option<SessionId>,
    /// The epoch of the table under which the load was measured.
    pub epoch: Epoch,
    /// The request rate of each slice, the highest first.
    pub slices: Vec<SliceLoad>,
    /// The load of each key range; empty unless the service is sharded by range.
    pub ranges: Vec<RangeLoad>,
    /// The request rate of all slices together, in requests per second.
    pub rate: u32,
    /// The utilization of the upstream, in per mille of its capacity at normal speed.
    pub utilization: u32,
    /// The present capacity of the upstream, in per mille of its normal capacity.
    pub capacity: u32,
}

/// The load of one key range.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeLoad {
    /// The id of the range.
    pub slice: SliceId,
    /// The share of the upstream's slots that the range keeps busy, in per mille.
    pub utilization: u32,
    /// The first keys of the parts, except the first part, into which the range can be split with
    /// about equal load.
    pub split_keys: Vec<u16>,
}

/// The load of one slice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SliceLoad {
    /// The slice.
    pub slice: SliceId,
    /// Requests per second.
    pub rate: u32,
}
