//! The protocols of a platform: how its callers, upstreams and operators encode what the daemon
//! needs.
//!
//! The traits are the interface to the platform. They parse and encode messages and contain no
//! decisions of the daemon.

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
use crate::version::api_key::ApiKeyDigest;
use crate::version::domain_name::DomainName;
use crate::version::routing_config::RoutingConfig;
use crate::version::service_name::ServiceName;

/// The metadata in the headers of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallMetadata {
    /// The caller's id of this attempt.
    pub id: Option<String>,
    /// How long the caller waits for the response.
    pub timeout: Option<Duration>,
    /// The key that the request is routed by.
    pub key: Option<ShardKey>,
    /// The digest of the caller's API key.
    pub api_key: Option<ApiKeyDigest>,
}

/// The protocol of the callers.
pub trait CallerProtocol: Send + Sync {
    /// Returns the metadata in the head of a request.
    fn parse_head(&self, head: &RequestHead) -> CallMetadata;

    /// Returns the names of the headers that state a caller's identity. Where teams are configured,
    /// only the daemon sets them.
    fn identity_headers(&self) -> &'static [&'static str];

    /// Returns the header that tells a caller how to send its API key.
    fn challenge_header(&self) -> (&'static str, &'static str);

    /// Returns the header that asks a caller to retry after `wait`.
    fn retry_after_header(&self, wait: Duration) -> (&'static str, String);

    /// Returns the header with the id of the request to which a response belongs.
    fn request_id_header(&self, id: &str) -> (&'static str, String);
}

/// The metadata in the headers of an upstream's response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// The id of the request to which it responds.
    pub request_id: Option<String>,
    /// Whether the response carries the upstream's signature.
    pub signed: bool,
    /// Whether the upstream states that it did not run the request.
    pub not_run: bool,
    /// The upstream process that responds.
    pub instance: Option<String>,
    /// The remaining time in which the upstream warms up and is slow.
    pub warmup_remaining: Option<Duration>,
    /// The upstream's token for the state of released keys, for the next owner's grant.
    pub handover: Option<String>,
}

/// An inclusive range of keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRange {
    /// The first key of the range.
    pub first: ShardKey,
    /// The last key of the range.
    pub last: ShardKey,
}

/// A grant of keys to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The upstream process that it is for; any other one must refuse it.
    pub instance: String,
    /// The granted keys.
    pub keys: KeyRange,
    /// The fencing token of the grant.
    pub fencing_token: u64,
    /// How long the grant is valid, unless it is renewed.
    pub duration: Duration,
    /// The token for the state that the last owner's upstream handed over.
    pub handover: Option<String>,
}

/// An HTTP request of the daemon itself to an upstream or the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingRequest {
    /// The HTTP method.
    pub method: &'static str,
    /// The request target: path and query.
    pub target: String,
    /// The headers, without those that frame the body.
    pub headers: Headers,
    /// The whole body.
    pub body: Vec<u8>,
}

/// The protocol of the upstreams.
pub trait UpstreamProtocol: Send + Sync {
    /// Returns the headers of a request for the upstream process `instance`; `timeout` is how long
    /// the daemon waits for the response.
    fn request_headers(
        &self,
        request: &UpstreamRequest,
        instance: &str,
        timeout: Duration,
    ) -> Headers;

    /// Returns the metadata in the head of a response.
    fn parse_head(&self, head: &ResponseHead) -> ResponseMetadata;

    /// Returns a request with the id `id` for a process that does not exist: any upstream refuses it
    /// with status 421, and does not run it.
    fn ping_request(&self, id: &str) -> OutgoingRequest;

    /// Returns the request that grants keys.
    fn grant_request(&self, grant: &Grant) -> OutgoingRequest;

    /// Returns the request that revokes the grant of keys with the fencing token `fencing_token`.
    fn release_request(&self, keys: KeyRange, fencing_token: u64) -> OutgoingRequest;
}

/// The state that an upstream reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusReport {
    /// The name by which the upstream process identifies itself.
    pub instance: String,
    /// When the process started, in milliseconds since 1970 by its own clock; 0 if the report does
    /// not state it.
    pub started_ms: u64,
    /// The sequence number of the report, which increases from report to report of one process.
    pub sequence: u64,
    /// The service that the upstream provides.
    pub service: ServiceName,
    /// The address where it accepts requests.
    pub address: SocketAddr,
    /// The failure domain in which it runs.
    pub domain: DomainName,
    /// The number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it is draining: it stops soon and must receive no more requests.
    pub draining: bool,
    /// The remaining time in which it warms up and is slow.
    pub warmup_remaining: Duration,
}

/// A report of an upstream to the daemon on its host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpstreamReport {
    /// The upstream's state.
    Status(StatusReport),
    /// The upstream process is stopping.
    Deregistration {
        /// The upstream process.
        instance: String,
        /// When the process started, in milliseconds since 1970, if the report states it.
        started_ms: Option<u64>,
    },
}

/// An invalid report.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{field}: {reason}")]
pub struct ReportError {
    /// The first invalid field.
    pub field: &'static str,
    /// Why the value is invalid.
    pub reason: String,
}

/// The protocol by which upstreams report to the daemon on their host.
pub trait Discovery: Send + Sync {
    /// Parses a report.
    ///
    /// # Errors
    ///
    /// Returns the first invalid field.
    fn parse_report(&self, request: &HttpRequest) -> Result<UpstreamReport, ReportError>;

    /// Returns the response that acknowledges a report.
    fn acknowledgement(&self) -> HttpResponse;
}

/// An invalid routing configuration.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{key}: {field}: {reason}")]
pub struct RoutingConfigError {
    /// The key of the value in the store.
    pub key: String,
    /// The first invalid field.
    pub field: String,
    /// Why the value is invalid.
    pub reason: String,
}

/// The format in which operators write the routing configuration to the store.
pub trait OperatorProtocol: Send + Sync {
    /// Returns the prefix of the operators' keys in the store.
    fn key_prefix(&self) -> &str;

    /// Returns the key of the value that contains the teams.
    fn teams_key(&self) -> &str;

    /// Parses the operators' values; does not set the version of the result.
    ///
    /// # Errors
    ///
    /// Returns the first invalid field.
    fn parse(&self, items: &[KeyValue]) -> Result<RoutingConfig, RoutingConfigError>;
}
