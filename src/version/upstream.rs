//! The announcement of an upstream.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::newtype;
use crate::version::service_name::ServiceName;

newtype::hexadecimal! {
    /// Identifies one lifetime of an upstream's process; chosen at random when the process starts.
    UpstreamBoot
}

/// What an upstream announces to the daemon on its host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// The service that the upstream serves.
    pub service: ServiceName,
    /// The address for HTTP requests.
    pub address: SocketAddr,
    /// The id of the upstream process.
    pub boot: UpstreamBoot,
    /// The number of concurrent requests that the upstream handles when warm.
    pub slots: u32,
    /// The number of concurrent requests that the upstream can handle when cold.
    pub cold_slots: u32,
    /// The maximum number of connections that the upstream accepts.
    pub connections: u32,
    /// Whether the upstream checks the fencing token of each request.
    pub checks_grants: bool,
}
