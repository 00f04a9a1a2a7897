//! The calls between daemons that go over TCP.

use serde::{Deserialize, Serialize};

use crate::process::wall_time::WallTime;
use crate::request::answer::Answer;
use crate::request::envelope::Envelope;
use crate::request::records::SliceRecords;
use crate::version::configuration::Configuration;
use crate::version::epoch::Epoch;
use crate::version::instance_id::InstanceId;
use crate::version::service_name::ServiceName;
use crate::version::slice_id::SliceId;
use crate::version::table::Table;

/// What one daemon asks of another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Serve a request as the owner of its key.
    Forward(Envelope),
    /// Run a request of a shared service on the upstream beside the daemon.
    Run {
        /// The process that is meant: a later one on its address must not run a repeated call.
        instance: InstanceId,
        /// After this time, by the receiver's clock and the clocks' allowed difference, the order
        /// must not be given any more: a network may hold a call up for any time.
        until: WallTime,
        /// The request.
        envelope: Envelope,
    },
    /// Give the assignment table.
    Table,
    /// Give the configuration.
    Configuration,
    /// Take the records of slices.
    Handover(Vec<Handover>),
}

/// The records of a slice on their way to its next owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// The service.
    pub service: ServiceName,
    /// The slice.
    pub slice: SliceId,
    /// The epoch that gave the slice to its next owner.
    pub since: Epoch,
    /// The records.
    pub records: SliceRecords,
}

/// What the other daemon says to that.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerReply {
    /// The call has arrived and is being worked on; another reply follows.
    Received,
    /// The answer to a request.
    Answer(Answer),
    /// The daemon does not serve the key now, and ran nothing.
    NotServing(String),
    /// The table, if there is one.
    Table(Option<Box<Table>>),
    /// The configuration, if there is one.
    Configuration(Option<Box<Configuration>>),
    /// The records were taken.
    Taken,
}
