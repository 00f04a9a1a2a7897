//! The requests and replies that daemons exchange over TCP.

use std::net::SocketAddr;
use std::sync::Arc;
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
use crate::version::departed_process::DepartedProcess;
use crate::version::epoch::Epoch;
use crate::version::instance_id::InstanceId;
use crate::version::routing_config::RoutingConfig;
use crate::version::service_name::ServiceName;
use crate::version::slice_id::SliceId;
use crate::version::table::Table;
use crate::version::table_delta::TableDelta;

/// The size from which a body is large, in bytes.
pub const LARGE_BODY_BYTES: usize = 16 * 1024;

/// A request from one daemon to another.
///
/// Postcard encodes the variants by their position, so their order is part of the wire format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Asks the receiver to serve a caller's request as the owner of its key.
    Forward(Envelope),
    /// Asks the receiver to send a request of a shared service to its local upstream.
    DispatchShared {
        /// The daemon process that is addressed: a later process on the same address must not run a
        /// request that was sent again.
        instance: InstanceId,
        /// The time after which the receiver must not send the request to the upstream any more, as
        /// the network may delay a message for any time. The receiver compares it with its own
        /// clock and allows for the permitted clock skew.
        until: WallTime,
        /// The caller's request.
        envelope: Envelope,
    },
    /// Fetches the assignment table.
    FetchTable {
        /// The epoch of the sender's table, so that only what changed since need be sent; zero to
        /// fetch the whole table.
        known: Epoch,
    },
    /// Fetches the configuration.
    FetchConfiguration,
    /// Transfers the request records of slices to their next owner.
    TransferRecords(Vec<SliceHandover>),
    /// Asks the receiver, a daemon on the platform ([`crate::process::host`]), to send a request to
    /// its local upstream.
    Dispatch {
        /// The daemon process that is addressed: a later process on the same address must not run a
        /// request that was sent again.
        instance: InstanceId,
        /// The request for the upstream.
        request: Box<UpstreamRequest>,
    },
    /// Fetches the outcome of an earlier [`PeerRequest::Dispatch`] whose reply is late.
    FetchOutcome {
        /// The daemon process that is addressed.
        instance: InstanceId,
        /// The id of the upstream request.
        id: String,
        /// The attempt number of the upstream request.
        attempt: u32,
        /// How long the sender waits for the outcome.
        remaining: Duration,
    },
    /// Fetches the routing configuration.
    FetchRoutingConfig,
    /// Transfers what upstreams handed over with ranges of keys.
    TransferKeys(Vec<KeyHandover>),
    /// Asks whether the receiver has room for the large body of a [`PeerRequest::Dispatch`].
    ReserveBody {
        /// The daemon process that is addressed.
        instance: InstanceId,
        /// The id of the upstream request.
        id: String,
        /// The attempt number of the upstream request.
        attempt: u32,
        /// The size of the body, in bytes.
        bytes: usize,
    },
    /// Asks the receiver to hold copies of the departures on a host, for its next daemon process.
    HoldDepartures {
        /// The peer address of the host's daemon.
        host: SocketAddr,
        /// The processes of the upstream that have announced that they will stop.
        processes: Vec<DepartedProcess>,
    },
    /// Fetches the departures that are held for a host.
    FetchDepartures {
        /// The peer address of the host's daemon.
        host: SocketAddr,
    },
}

impl PeerRequest {
    /// Returns the kind of the request, for counts.
    pub fn kind(&self) -> &'static str {
        match self {
            PeerRequest::Forward(_) => "forward",
            PeerRequest::DispatchShared { .. } => "dispatch-shared",
            PeerRequest::FetchTable { .. } => "fetch-table",
            PeerRequest::FetchConfiguration => "fetch-configuration",
            PeerRequest::TransferRecords(_) => "transfer-records",
            PeerRequest::Dispatch { .. } => "dispatch",
            PeerRequest::FetchOutcome { .. } => "fetch-outcome",
            PeerRequest::FetchRoutingConfig => "fetch-routing",
            PeerRequest::TransferKeys(_) => "transfer-keys",
            PeerRequest::ReserveBody { .. } => "reserve-body",
            PeerRequest::HoldDepartures { .. } => "hold-departures",
            PeerRequest::FetchDepartures { .. } => "fetch-departures",
        }
    }

    /// Returns whether the reply usually takes as long as the work of an upstream.
    pub fn waits_for_upstream(&self) -> bool {
        matches!(
            self,
            PeerRequest::Dispatch { .. } | PeerRequest::FetchOutcome { .. }
        )
    }

    /// Returns whether the request concerns ownership, versions or room. Such requests are answered
    /// at once by threads of their own, so that load does not delay them.
    pub fn is_control(&self) -> bool {
        matches!(
            self,
            PeerRequest::FetchTable { .. }
                | PeerRequest::FetchConfiguration
                | PeerRequest::FetchRoutingConfig
                | PeerRequest::TransferRecords(_)
                | PeerRequest::TransferKeys(_)
                | PeerRequest::ReserveBody { .. }
                | PeerRequest::HoldDepartures { .. }
                | PeerRequest::FetchDepartures { .. }
        )
    }

    /// Returns whether the request carries a body so large that it would delay other requests.
    pub fn has_large_body(&self) -> bool {
        self.body_bytes() >= LARGE_BODY_BYTES
    }

    /// Returns the size of the caller's body that the request carries, in bytes.
    fn body_bytes(&self) -> usize {
        match self {
            PeerRequest::Forward(envelope) | PeerRequest::DispatchShared { envelope, .. } => {
                envelope.body.0.len()
            }
            PeerRequest::Dispatch { request, .. } => request.body.0.len(),
            _ => 0,
        }
    }

    /// Returns the request with the times that are left after it has waited for `waited`.
    #[must_use]
    pub fn after_waiting(mut self, waited: Duration) -> Self {
        match &mut self {
            PeerRequest::Forward(envelope) | PeerRequest::DispatchShared { envelope, .. } => {
                envelope.remaining = envelope.remaining.saturating_sub(waited);
            }
            PeerRequest::Dispatch { request, .. } => {
                request.remaining = request.remaining.saturating_sub(waited);
                request.objective = request.objective.saturating_sub(waited);
            }
            PeerRequest::FetchOutcome { remaining, .. } => {
                *remaining = remaining.saturating_sub(waited);
            }
            _ => {}
        }
        self
    }

    /// Returns the request that fetches the outcome of this one, or `None` if this kind has
    /// none.
    ///
    /// It carries no body, so it adds little load to a connection that is slow already.
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

/// What an upstream handed over when keys were revoked from it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyHandover {
    /// The service of the upstream.
    pub service: ServiceName,
    /// The revoked keys.
    pub keys: KeyRange,
    /// The upstream's token for the state that it handed over, if there is one.
    pub handover: Option<String>,
    /// The request rates of the keys.
    pub rates: Vec<KeyRate>,
}

/// The request rate of a key.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyRate {
    /// The key.
    pub key: ShardKey,
    /// Its requests per second.
    pub rate: f32,
}

/// The request records of a slice, for its next owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SliceHandover {
    /// The service of the slice.
    pub service: ServiceName,
    /// The slice whose owner changed.
    pub slice: SliceId,
    /// The epoch in which the slice was assigned to its next owner.
    pub since: Epoch,
    /// The records of requests that must not run twice.
    pub records: SliceRecords,
}

/// The reply of a daemon to a [`PeerRequest`].
///
/// Postcard encodes the variants by their position, so their order is part of the wire format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    /// The response to a caller's request.
    Response(ServiceResponse),
    /// The daemon does not serve the request now, and did not run it; gives the reason.
    NotServing(String),
    /// The assignment table, if there is one.
    Table(Option<Arc<Table>>),
    /// What changed since the sender's table.
    TableDelta(Arc<TableDelta>),
    /// The configuration, if there is one.
    Configuration(Option<Box<Configuration>>),
    /// The transferred records, keys or departures were accepted.
    Accepted,
    /// The outcome of an upstream request, and the load at the upstream.
    Completed {
        /// The outcome of the request.
        outcome: Box<UpstreamOutcome>,
        /// The load at the upstream after the request.
        load: UpstreamLoad,
    },
    /// The routing configuration, if there is one.
    RoutingConfig(Option<Box<RoutingConfig>>),
    /// The request whose outcome is fetched was never received.
    UnknownRequest,
    /// The departures that the daemon holds for a host.
    Departures(Vec<DepartedProcess>),
}

impl PeerReply {
    /// Returns the kind of the reply, for counts.
    pub fn kind(&self) -> &'static str {
        match self {
            PeerReply::Response(_) => "response",
            PeerReply::NotServing(_) => "not-serving",
            PeerReply::Table(_) => "table",
            PeerReply::TableDelta(_) => "table-delta",
            PeerReply::Configuration(_) => "configuration",
            PeerReply::Accepted => "accepted",
            PeerReply::Completed { .. } => "completed",
            PeerReply::RoutingConfig(_) => "routing",
            PeerReply::UnknownRequest => "unknown-request",
            PeerReply::Departures(_) => "departures",
        }
    }
}
