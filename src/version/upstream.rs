//! What an upstream announces of itself.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::newtype;
use crate::version::service_name::ServiceName;

newtype::hexadecimal! {
    /// One run of an upstream's process, drawn at random when it starts.
    UpstreamBoot
}

/// What an upstream announces to the daemon beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// The service that it runs.
    pub service: ServiceName,
    /// Where it takes orders over HTTP.
    pub address: SocketAddr,
    /// The run of its process.
    pub boot: UpstreamBoot,
    /// The orders that it works on at once when warm.
    pub slots: u32,
    /// The orders that it bears at once when cold.
    pub cold_slots: u32,
    /// The connections that it takes.
    pub connections: u32,
    /// Whether it checks the fence token of each order.
    pub checks_grants: bool,
}
