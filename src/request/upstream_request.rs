//! A caller's request on its way to an upstream.
//!
//! The daemon that receives the request from the caller builds it once; each hop forwards it with
//! the remaining time.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::request::body::Body;
use crate::request::headers::Headers;
use crate::request::request_kind::RequestKind;
use crate::request::shard_key::ShardKey;
use crate::version::service_name::ServiceName;
use crate::version::team_name::TeamName;

/// A request with all that other daemons and the upstream need to serve it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamRequest {
    /// The id that the caller gave this attempt; callers never reuse an id.
    pub id: String,
    /// The target service.
    pub service: ServiceName,
    /// The service whose host the request comes from.
    pub origin: ServiceName,
    /// The HTTP method.
    pub method: String,
    /// The path and query, as the caller sent them.
    pub target: String,
    /// The end-to-end headers.
    pub headers: Headers,
    /// The attempt number, counted by the daemon that received the request from the caller. A
    /// duplicate shares the result of a running request only if it has the same number.
    pub attempt: u32,
    /// The complete body.
    pub body: Body,
    /// The team of the caller, if it is known.
    pub team: Option<TeamName>,
    /// The key, if the service is sharded.
    pub key: Option<ShardKey>,
    /// Whether the request is idempotent, so that it may run more than once.
    pub repeatable: bool,
    /// The kind, by which run times are estimated.
    pub kind: RequestKind,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// How much longer the caller waits for the response.
    pub remaining: Duration,
    /// The time left in which a response meets the route's latency objective.
    pub objective: Duration,
}
