//! A caller's request on its way to an upstream.
//!
//! An entry builds it once; each hop passes it on with the time that is left.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::request::body::Body;
use crate::request::headers::Headers;
use crate::request::shard_key::ShardKey;
use crate::version::service_name::ServiceName;

/// A request with all that other daemons and the upstream need of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamRequest {
    /// The caller's name for this attempt; callers never use one twice.
    pub id: String,
    /// The service that it goes to.
    pub service: ServiceName,
    /// The service beside which it began.
    pub origin: ServiceName,
    /// Its HTTP method.
    pub method: String,
    /// Its path and query, as the caller sent them.
    pub target: String,
    /// Its end-to-end headers.
    pub headers: Headers,
    /// The number of the entry's try; only a copy of the same try joins it.
    pub attempt: u32,
    /// Its whole body.
    pub body: Body,
    /// Its key, on divided services.
    pub key: Option<ShardKey>,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// How urgent it is; 0 is the most urgent.
    pub priority: u8,
    /// How long its answer is awaited.
    pub remaining: Duration,
    /// How long its answer still meets the route's latency objective.
    pub objective: Duration,
}
