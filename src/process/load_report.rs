//! What a daemon tells the planner of its load.

use serde::{Deserialize, Serialize};

use crate::version::epoch::Epoch;
use crate::version::session_id::SessionId;
use crate::version::slice_id::SliceId;

/// The load of one upstream, as the daemon beside it measured it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The session of the daemon.
    pub session: Option<SessionId>,
    /// The epoch of the table under which all of this was measured.
    pub epoch: Epoch,
    /// Requests a second by slice, the busiest first.
    pub slices: Vec<SliceLoad>,
    /// The load of the ranges of keys, where the slices are such.
    pub ranges: Vec<RangeLoad>,
    /// Requests a second over all slices.
    pub rate: u32,
    /// How much of what the upstream can do at its usual speed is in use, in per mille.
    pub utilization: u32,
    /// The capacity that the upstream has now, in per mille of its normal one.
    pub capacity: u32,
}

/// The load of one range of keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeLoad {
    /// The range.
    pub slice: SliceId,
    /// How much of the upstream's slots it keeps busy, in per mille.
    pub utilization: u32,
    /// Keys at which the range falls into parts of about the same load.
    pub split_keys: Vec<u16>,
}

/// The load of one slice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SliceLoad {
    /// The slice.
    pub slice: SliceId,
    /// Requests a second.
    pub rate: u32,
}
