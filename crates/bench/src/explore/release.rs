//! A release of slices in a simulation.

use foxtaildrift::version::epoch::Epoch;
use foxtaildrift::version::instance_id::InstanceId;

/// The release of the slices that a process has lost when it begins.
#[derive(Clone, Copy, Debug)]
pub struct Release {
    /// The host of the process.
    pub node: usize,
    /// The process.
    pub instance: InstanceId,
    /// The epoch of the table whose adoption started the release.
    pub epoch: Epoch,
}
