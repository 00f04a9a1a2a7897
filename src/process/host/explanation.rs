//! Explains where a request would go now, without sending it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::process::host::host_context::HostContext;
use crate::process::host::upstream_selector::Candidate;
use crate::request::shard_key::ShardKey;
use crate::version::document_version::DocumentVersion;
use crate::version::domain_name::DomainName;
use crate::version::instance_id::InstanceId;
use crate::version::key_hash::KeyHash;
use crate::version::member::Member;
use crate::version::routing_config::{RouteRule, RouteTarget, RoutingConfig};
use crate::version::service_name::ServiceName;

/// Why a request can't be explained.
#[derive(Debug, Error)]
pub enum ExplainError {
    /// The daemon has no routing yet.
    #[error("the daemon knows no routing yet: requests get 503")]
    RoutingUnknown,
    /// No route matches.
    #[error("routing {version} has no route for this host and path: requests get 404")]
    NoRoute {
        /// Version of the routing.
        version: DocumentVersion,
    },
}

/// A request, as far as its route depends on it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DescribedRequest {
    /// Host that the request names.
    pub host: String,
    /// Path of the request.
    pub path: String,
    /// Shard key.
    #[serde(default)]
    pub key: Option<ShardKey>,
    /// Failure domain of the caller; that of the daemon by default.
    #[serde(default)]
    pub domain: Option<DomainName>,
    /// Size of the body, in bytes.
    #[serde(default)]
    pub body_bytes: usize,
}

/// Where a request would go.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteExplanation {
    /// Daemon that explains.
    pub daemon: InstanceId,
    /// Version of the routing in force at the daemon.
    pub version: DocumentVersion,
    /// Name of the route.
    pub route: String,
    /// Path prefix of the route.
    pub prefix: String,
    /// Priority of the requests on the route.
    pub priority: u8,
    /// Whether the requests are idempotent.
    pub repeatable: bool,
    /// Failure domain of the caller.
    pub domain: DomainName,
    /// Services that the requests are distributed to.
    pub targets: Vec<TargetExplanation>,
}

/// Where a request would go if it went to one of the services of its route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetExplanation {
    /// Name of the service.
    pub service: ServiceName,
    /// Share of the route's requests, relative to that of the other services.
    pub weight: u32,
    /// How the upstream is found.
    pub choice: Choice,
}

/// How the upstream for a request is found.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Choice {
    /// The service is sharded, and the request has no key: it is refused.
    NoKey,
    /// The service is sharded, and no daemon is known to own the key: the request waits a little.
    NoOwner,
    /// The service is sharded: the request goes to the owner of its key.
    Owner(DaemonDescription),
    /// The service isn't sharded: the request goes to one of these.
    Candidates(Vec<CandidateExplanation>),
}

/// A daemon beside an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonDescription {
    /// Process of the daemon.
    pub daemon: InstanceId,
    /// Address for requests of other daemons.
    pub peer: SocketAddr,
    /// Failure domain.
    pub domain: DomainName,
    /// Upstream, if it is up.
    pub upstream: Option<SocketAddr>,
}

/// An upstream that a request may go to, with what decides about it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CandidateExplanation {
    /// Daemon beside the upstream.
    pub at: DaemonDescription,
    /// Whether it is in another failure domain than the caller.
    pub remote: bool,
    /// Share of the requests that it is chosen for among the upstreams of the caller's domain, or
    /// among those of the others.
    pub share: f64,
    /// Cost of the request, in milliseconds: the cheaper of the two chosen ones gets it.
    pub cost_ms: f64,
    /// Age of the latest report, in milliseconds.
    pub report_age_ms: Option<u64>,
    /// Number of requests that the upstream runs at once.
    pub slots: u32,
    /// Expected number of requests, queued ones included.
    pub expected_requests: f64,
    /// Expected time in the queue, in milliseconds.
    pub wait_ms: f64,
    /// Mean run time, in milliseconds.
    pub run_ms: f64,
    /// Round-trip network time, in milliseconds.
    pub network_ms: f64,
    /// Failure rate, 0 to 1.
    pub failure_rate: f64,
}

/// Returns where a request would go now.
///
/// # Errors
///
/// Returns an error if the daemon has no routing, or the routing no route for the request.
pub fn explain(
    context: &HostContext,
    request: &DescribedRequest,
) -> Result<RouteExplanation, ExplainError> {
    let active = context.membership.active_configuration();
    let routing = active.routing_config.as_deref();
    let routing = routing.ok_or(ExplainError::RoutingUnknown)?;
    let rule = routing.route(&request.host, &request.path);
    let rule = rule.ok_or(ExplainError::NoRoute {
        version: routing.version,
    })?;
    let own_domain = &context.settings.domain;
    let domain = request.domain.as_ref().unwrap_or(own_domain);
    let explain_target = |target: &RouteTarget| TargetExplanation {
        service: target.service.clone(),
        weight: target.weight,
        choice: choice(context, routing, &target.service, request, domain),
    };
    let targets = rule.targets.iter().map(explain_target).collect();
    Ok(RouteExplanation::new(
        context.instance,
        routing,
        rule,
        domain,
        targets,
    ))
}

/// Returns how the upstream for a request to `service` is found.
fn choice(
    context: &HostContext,
    routing: &RoutingConfig,
    service: &ServiceName,
    request: &DescribedRequest,
    domain: &DomainName,
) -> Choice {
    let is_sharded = routing.services.get(service).is_some_and(|s| s.sharded);
    match (is_sharded, request.key) {
        (true, Some(key)) => {
            let owner = context.membership.with_ownership(|o, _| {
                o.likely_owner(service, KeyHash(key.0.into()))
                    .map(DaemonDescription::of)
            });
            owner.map_or(Choice::NoOwner, Choice::Owner)
        }
        (true, None) => Choice::NoKey,
        (false, _) => {
            let members = context.membership.members_taking_work(service);
            let now = context.clock.now();
            let selector = context.router.selector();
            let candidates = selector.candidates(now, &members, domain, request.body_bytes);
            Choice::Candidates(CandidateExplanation::of_all(&candidates))
        }
    }
}

impl RouteExplanation {
    fn new(
        daemon: InstanceId,
        routing: &RoutingConfig,
        rule: &RouteRule,
        domain: &DomainName,
        targets: Vec<TargetExplanation>,
    ) -> Self {
        Self {
            daemon,
            version: routing.version,
            route: rule.name.clone(),
            prefix: rule.prefix.clone(),
            priority: rule.priority,
            repeatable: rule.repeatable,
            domain: domain.clone(),
            targets,
        }
    }
}

impl DaemonDescription {
    fn of(member: &Member) -> Self {
        Self {
            daemon: member.info.session.instance,
            peer: member.info.peer,
            domain: member.info.domain.clone(),
            upstream: member.info.upstream.as_ref().map(|u| u.address),
        }
    }
}

impl CandidateExplanation {
    /// Returns the explanations of all candidates for a request.
    pub fn of_all(candidates: &[Candidate<'_>]) -> Vec<Self> {
        let total = |is_remote| -> f64 {
            let group = candidates.iter().filter(|c| c.is_remote == is_remote);
            group.map(|c| c.weight).sum()
        };
        let (local, remote) = (total(false), total(true));
        let explain = |c: &Candidate<'_>| {
            let total = if c.is_remote { remote } else { local };
            Self::new(c, c.weight / total.max(f64::MIN_POSITIVE))
        };
        candidates.iter().map(explain).collect()
    }

    fn new(candidate: &Candidate<'_>, share: f64) -> Self {
        let load = &candidate.load;
        let age = candidate.report_age;
        Self {
            at: DaemonDescription::of(candidate.member),
            remote: candidate.is_remote,
            share,
            cost_ms: candidate.cost_micros / 1000.0,
            report_age_ms: age.map(|a| u64::try_from(a.as_millis()).unwrap_or(u64::MAX)),
            slots: load.slots as u32,
            expected_requests: load.requests,
            wait_ms: load.wait_micros() / 1000.0,
            run_ms: load.run_micros / 1000.0,
            network_ms: load.network_micros / 1000.0,
            failure_rate: load.failure_rate,
        }
    }
}
