//! How callers, upstreams and operators of a platform name what the system goes by.
//!
//! These traits are the border to the platform: they read and write names, and decide nothing.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::connection::http_listener::{HttpRequest, HttpResponse};
use crate::connection::http1::{RequestHead, ResponseHead};
use crate::process::store::KeyValue;
use crate::request::headers::Headers;
use crate::request::shard_key::ShardKey;
use crate::request::upstream_request::UpstreamRequest;
use crate::version::desired::Desired;
use crate::version::domain_name::DomainName;
use crate::version::service_name::ServiceName;

/// What the head of a caller's request says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallMetadata {
    /// The caller's name for this attempt.
    pub id: Option<String>,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// The key of the request.
    pub key: Option<ShardKey>,
}

/// What callers speak.
pub trait CallerProtocol: Send + Sync {
    /// Reads the head of a request.
    fn parse_head(&self, head: &RequestHead) -> CallMetadata;

    /// Returns the header that tells a caller when to come back.
    fn retry_after_header(&self, wait: Duration) -> (&'static str, String);

    /// Returns the header by which an answer names its request.
    fn request_id_header(&self, id: &str) -> (&'static str, String);
}

/// What the head of an upstream's answer says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// The request that it answers.
    pub request_id: Option<String>,
    /// Whether it bears the upstream's signature.
    pub signed: bool,
    /// Whether the upstream says that it did not run the request.
    pub not_run: bool,
    /// The run of the upstream that answers.
    pub instance: Option<String>,
    /// How long the upstream stays cold.
    pub warmup_remaining: Option<Duration>,
    /// The handover that goes with released keys.
    pub handover: Option<String>,
}

/// A range of keys, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRange {
    /// The first key.
    pub first: ShardKey,
    /// The last key.
    pub last: ShardKey,
}

/// A grant of keys to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The keys.
    pub keys: KeyRange,
    /// The fence token.
    pub fencing_token: u64,
    /// How long the upstream may hold them, unless the grant is renewed.
    pub lease: Duration,
    /// The handover of the last holder.
    pub handover: Option<String>,
}

/// A request of the system's own to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingRequest {
    /// The method.
    pub method: &'static str,
    /// The path.
    pub target: String,
    /// The headers.
    pub headers: Headers,
    /// The body.
    pub body: Vec<u8>,
}

/// What upstreams speak.
pub trait UpstreamProtocol: Send + Sync {
    /// Returns the headers of an order for the run `instance` of the upstream, which is awaited
    /// for `left`.
    fn request_headers(&self, order: &UpstreamRequest, instance: &str, left: Duration) -> Headers;

    /// Reads the head of an answer.
    fn parse_head(&self, head: &ResponseHead) -> ResponseMetadata;

    /// Returns the call that grants keys.
    fn grant_request(&self, grant: &Grant) -> OutgoingRequest;

    /// Returns the call that takes keys back.
    fn release_request(&self, keys: KeyRange, fence: u64) -> OutgoingRequest;
}

/// What an upstream reports of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusReport {
    /// The run of the upstream.
    pub instance: String,
    /// When it started, in milliseconds since 1970, by its own clock.
    pub started_ms: u64,
    /// The number of the report; a later one of the same start has a higher number.
    pub sequence: u64,
    /// The service.
    pub service: ServiceName,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// The orders that it works on at once.
    pub slots: u32,
    /// Whether it is about to stop.
    pub draining: bool,
    /// How long it stays slow after its start.
    pub warmup_remaining: Duration,
}

/// What upstreams tell the daemon beside them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpstreamReport {
    /// Its state.
    Status(StatusReport),
    /// It leaves.
    Leaving {
        /// The run of the upstream.
        instance: String,
        /// When it started, where it says so.
        started_ms: Option<u64>,
    },
}

/// A report that names no upstream to use.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{field}: {reason}")]
pub struct ReportError {
    /// The field.
    pub field: &'static str,
    /// What is wrong with it.
    pub reason: String,
}

/// How upstreams make themselves known.
pub trait Discovery: Send + Sync {
    /// Reads a report.
    ///
    /// # Errors
    ///
    /// Returns the first field that can't be used.
    fn parse_report(&self, request: &HttpRequest) -> Result<UpstreamReport, ReportError>;

    /// Returns the answer that acknowledges a report.
    fn acknowledgement(&self) -> HttpResponse;
}

/// A state of the operators' values that can't be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{key}: {field}: {reason}")]
pub struct RoutingConfigError {
    /// The key of the store.
    pub key: String,
    /// The field.
    pub field: String,
    /// What is wrong with it.
    pub reason: String,
}

/// How operators write the routing that they want.
pub trait OperatorProtocol: Send + Sync {
    /// Returns the beginning of the operators' keys.
    fn key_prefix(&self) -> &str;

    /// Reads the operators' values; the version is set by the caller.
    ///
    /// # Errors
    ///
    /// Returns the first field that can't be used.
    fn parse(&self, items: &[KeyValue]) -> Result<Desired, RoutingConfigError>;
}
