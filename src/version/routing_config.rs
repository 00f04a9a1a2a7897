//! The routing that operators configure: hosts, routes, services and limits, in one version.
//!
//! ```
//! use foxtaildrift::version::routing_config::{RoutingConfig, RouteRule};
//!
//! let mut routing = RoutingConfig::default();
//! let rule = |prefix: &str| RouteRule { prefix: prefix.into(), ..RouteRule::default() };
//! routing.hosts.insert("a.example".into(), vec![rule("/x/"), rule("/x/y/")]);
//! let found = routing.route("A.example:80", "/x/y/z").expect("a route");
//! assert_eq!(found.prefix, "/x/y/");
//! assert!(routing.route("a.example", "/other/").is_none());
//! ```

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::version::api_key::ApiKeyDigest;
use crate::version::document::Document;
use crate::version::document_version::DocumentVersion;
use crate::version::domain_name::DomainName;
use crate::version::domain_state::DomainState;
use crate::version::service::{Service, ServiceKind};
use crate::version::service_name::ServiceName;
use crate::version::team::Team;
use crate::version::team_name::TeamName;
use crate::version::teams::Teams;

/// The initial number of key ranges of a sharded service; busy ranges are split later.
pub const INITIAL_RANGES: u32 = 256;

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTarget {
    /// The service that receives the requests.
    pub service: ServiceName,
    /// The share of the requests, relative to the weights of the other targets.
    pub weight: u32,
}

/// A route: which requests it matches, how they are treated and where they are sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRule {
    /// The name of the route, as logs show it.
    pub name: String,
    /// The path prefix that the route matches; it ends with a slash.
    pub prefix: String,
    /// Whether the requests are idempotent, so that they may run more than once.
    pub repeatable: bool,
    /// The latency objective of the route.
    pub objective: Duration,
    /// The maximum time that a caller waits for the response; `None` for no limit.
    pub timeout: Option<Duration>,
    /// The priority of the requests; 0 is the most urgent.
    pub priority: u8,
    /// The maximum number of upstreams that one request is sent to.
    pub attempts: u32,
    /// Whether the route also takes requests without an API key.
    pub public: bool,
    /// The services that the requests are distributed to.
    pub targets: Vec<RouteTarget>,
}

/// The settings of a service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceSettings {
    /// The requests per second that a cold upstream can handle.
    pub cold_rate: f64,
    /// Whether the service is sharded: each upstream serves its own ranges of keys.
    pub sharded: bool,
}

/// Limits on the connections and requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// The maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// How long a caller may take to send a request head.
    pub head_timeout: Duration,
    /// How long a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 8 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// The routing that operators configured; the default one routes nothing.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RoutingConfig {
    /// The store's era and revision of the last change; later versions have higher ones.
    pub version: DocumentVersion,
    /// The version of an earlier era of the store that this routing takes into account: what the store
    /// has lost of it, it contains all the same. Zero if there is none.
    pub carried: DocumentVersion,
    /// The operators' label for the version.
    pub label: String,
    /// The routes of each host, by the host name in lower case.
    pub hosts: BTreeMap<String, Vec<RouteRule>>,
    /// The settings of each service.
    pub services: BTreeMap<ServiceName, ServiceSettings>,
    /// The limits for callers.
    pub limits: CallerLimits,
    /// The failure domains whose upstreams get no new requests.
    pub evacuated: BTreeSet<DomainName>,
    /// The teams of callers; `None` if callers need no API key.
    pub teams: Option<Teams>,
}

impl RoutingConfig {
    /// Returns the route for a request: the one with the longest prefix of `path` among the routes
    /// of `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let name = host.split(':').next().unwrap_or_default();
        let rules = self.hosts.get(&name.to_ascii_lowercase())?;
        let matching = rules.iter().filter(|r| path.starts_with(&r.prefix));
        matching.max_by_key(|r| r.prefix.len())
    }

    /// Returns the team that an API key belongs to.
    pub fn team_of_key(&self, key: &ApiKeyDigest) -> Option<&Team> {
        self.teams.as_ref()?.of_key(key)
    }

    /// Returns the team with this name.
    pub fn team(&self, name: &TeamName) -> Option<&Team> {
        self.teams.as_ref()?.get(name)
    }

    /// Returns whether upstreams in `domain` get new requests.
    pub fn accepts_work(&self, domain: &DomainName) -> bool {
        !self.evacuated.contains(domain)
    }

    /// Returns the document from which the planner assigns keys: the sharded services and the
    /// evacuated failure domains.
    pub fn document(&self) -> Document {
        let sharded = self
            .services
            .iter()
            .filter(|(_, settings)| settings.sharded);
        let services = sharded.map(|(name, _)| (name.clone(), range_sharded_service()));
        let out = self.evacuated.iter().cloned();
        Document {
            services: services.collect(),
            domains: out.map(|d| (d, DomainState::Out)).collect(),
            drained: BTreeSet::new(),
        }
    }
}

/// Returns a service whose slices are ranges of keys.
fn range_sharded_service() -> Service {
    Service {
        kind: ServiceKind::Keyed,
        slices: INITIAL_RANGES,
        ranged: true,
        ..Service::default()
    }
}
