//! The calls between daemons that go over TCP.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::connection::protocol::KeyRange;
use crate::process::wall_time::WallTime;
use crate::request::envelope::Envelope;
use crate::request::records::SliceRecords;
use crate::request::service_response::ServiceResponse;
use crate::request::shard_key::ShardKey;
use crate::request::upstream_load::UpstreamLoad;
use crate::request::upstream_outcome::UpstreamOutcome;
use crate::request::upstream_request::UpstreamRequest;
use crate::version::configuration::Configuration;
use crate::version::desired::Desired;
use crate::version::epoch::Epoch;
use crate::version::instance_id::InstanceId;
use crate::version::service_name::ServiceName;
use crate::version::slice_id::SliceId;
use crate::version::table::Table;

/// What one daemon asks of another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
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
    FetchTable,
    /// Give the configuration.
    FetchConfiguration,
    /// Take the records of slices.
    TransferRecords(Vec<SliceHandover>),
    /// Bring an order to the upstream beside the daemon.
    Dispatch {
        /// The process that is meant: a later one on its address must not run a repeated call.
        instance: InstanceId,
        /// The order.
        request: Box<UpstreamRequest>,
    },
    /// Tell what became of an order that was sent before and whose reply is late.
    FetchOutcome {
        /// The process that is meant.
        instance: InstanceId,
        /// The id of the order.
        id: String,
        /// The number of the try.
        attempt: u32,
        /// How long the outcome is waited for.
        remaining: Duration,
    },
    /// Give the routing that operators want.
    FetchRoutingConfig,
    /// Take what upstreams handed over with ranges of keys.
    TransferKeys(Vec<KeyHandover>),
}

impl PeerRequest {
    /// Returns whether the receiver confirms the call before it works on it.
    ///
    /// An order is not: its reply mostly comes soon, and a copy joins it where that is late.
    pub fn is_acknowledged(&self) -> bool {
        !matches!(
            self,
            PeerRequest::Dispatch { .. } | PeerRequest::FetchOutcome { .. }
        )
    }

    /// Returns the call that asks for the outcome of this one without its body, where there is
    /// one; what was slow is not made slower by another copy.
    pub fn outcome_request(&self, remaining: Duration) -> Option<Self> {
        let (instance, request) = match self {
            PeerRequest::Dispatch { instance, request } => (*instance, request),
            _ => return None,
        };
        Some(PeerRequest::FetchOutcome {
            instance,
            id: request.id.clone(),
            attempt: request.attempt,
            remaining,
        })
    }
}

/// What an upstream handed over when keys were taken from it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyHandover {
    /// The service.
    pub service: ServiceName,
    /// The keys.
    pub keys: KeyRange,
    /// The upstream's token for what it handed over, where there is one.
    pub handover: Option<String>,
    /// How often the keys are asked for.
    pub rates: Vec<KeyRate>,
}

/// How often a key is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyRate {
    /// The key.
    pub key: ShardKey,
    /// Its orders a second.
    pub rate: f32,
}

/// The records of a slice on their way to its next owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SliceHandover {
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
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    /// The call has arrived and is being worked on; another reply follows.
    Acknowledged,
    /// The answer to a request.
    Response(ServiceResponse),
    /// The daemon does not serve the key now, and ran nothing.
    NotServing(String),
    /// The table, if there is one.
    Table(Option<Box<Table>>),
    /// The configuration, if there is one.
    Configuration(Option<Box<Configuration>>),
    /// The records were taken.
    Accepted,
    /// What became of an order, and the load at the upstream.
    Completed {
        /// What became of it.
        outcome: Box<UpstreamOutcome>,
        /// The load after it.
        load: UpstreamLoad,
    },
    /// The routing that operators want, if there is one.
    RoutingConfig(Option<Box<Desired>>),
    /// The order whose outcome is asked for has not come.
    UnknownRequest,
}
