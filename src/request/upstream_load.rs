//! The load of an upstream, as responses report it.

use serde::{Deserialize, Serialize};

/// The load of an upstream. Responses carry it back to the daemons that select upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// The requests that the upstream is working on.
    pub in_flight: u32,
    /// The requests for the upstream that are queued in the daemon on its host.
    pub waiting: u32,
    /// The number of requests that the upstream handles concurrently.
    pub slots: u32,
    /// The mean latency of the upstream, in microseconds.
    pub mean_micros: u32,
    /// How long the request that this response belongs to was queued, in milliseconds.
    pub waited_ms: u32,
    /// How long that request took at the upstream, in milliseconds.
    pub ran_ms: u32,
}
