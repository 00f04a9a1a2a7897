//! The routing that operators want: hosts, routes, services and limits, in one version.
//!
//! ```
//! use foxtaildrift::version::routing_config::{RoutingConfig, RouteRule};
//!
//! let mut desired = RoutingConfig::default();
//! let rule = |prefix: &str| RouteRule { prefix: prefix.into(), ..RouteRule::default() };
//! desired.hosts.insert("a.example".into(), vec![rule("/x/"), rule("/x/y/")]);
//! let found = desired.route("A.example:80", "/x/y/z").expect("a route");
//! assert_eq!(found.prefix, "/x/y/");
//! assert!(desired.route("a.example", "/other/").is_none());
//! ```

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::version::document::Document;
use crate::version::document_version::DocumentVersion;
use crate::version::domain_name::DomainName;
use crate::version::domain_state::DomainState;
use crate::version::service::{Service, ServiceKind};
use crate::version::service_name::ServiceName;

/// Into how many ranges the keys of a divided service fall at first; busy ones are split.
pub const INITIAL_RANGES: u32 = 256;

/// Where a part of a route's requests goes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceName,
    /// Its part, in relation to the other targets' weights.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRule {
    /// Its name.
    pub name: String,
    /// The beginning of the paths that it takes; it ends with a slash.
    pub prefix: String,
    /// Whether its requests may run more than once.
    pub repeatable: bool,
    /// The time within which an answer counts in full.
    pub objective: Duration,
    /// The longest time that a caller is kept waiting, if that is bounded.
    pub timeout: Option<Duration>,
    /// How urgent its requests are; 0 is the most urgent.
    pub priority: u8,
    /// The most upstreams that one request may be sent to.
    pub attempts: u32,
    /// Where its requests go.
    pub targets: Vec<RouteTarget>,
}

/// What holds for the upstreams of a service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceSettings {
    /// The requests a second that a cold upstream bears.
    pub cold_rate: f64,
    /// Whether its keys are divided among the upstreams.
    pub sharded: bool,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The largest head, in bytes.
    pub head_bytes: usize,
    /// The largest body, in bytes.
    pub body_bytes: usize,
    /// How long a head may take.
    pub head_time: Duration,
    /// How long a connection may be idle.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 8 * 1024 * 1024,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// The routing that operators want; an empty one routes nothing.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RoutingConfig {
    /// The store's revision of the last change; it orders the versions.
    pub version: DocumentVersion,
    /// The operators' own name for the version.
    pub label: String,
    /// The routes of each host, by its name in lower case.
    pub hosts: BTreeMap<String, Vec<RouteRule>>,
    /// The services.
    pub services: BTreeMap<ServiceName, ServiceSettings>,
    /// What callers may send.
    pub limits: CallerLimits,
    /// The failure domains that get no work.
    pub evacuated: BTreeSet<DomainName>,
}

impl RoutingConfig {
    /// Returns the route for a request: of the routes of `host`, the one with the longest prefix
    /// that begins `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let name = host.split(':').next().unwrap_or_default();
        let rules = self.hosts.get(&name.to_ascii_lowercase())?;
        let fit = rules.iter().filter(|r| path.starts_with(&r.prefix));
        fit.max_by_key(|r| r.prefix.len())
    }

    /// Returns whether upstreams in `domain` get work.
    pub fn accepts_work(&self, domain: &DomainName) -> bool {
        !self.evacuated.contains(domain)
    }

    /// Returns the document by which keys are assigned: the divided services, and the failure
    /// domains that get no work.
    pub fn document(&self) -> Document {
        let sharded = self.services.iter().filter(|(_, terms)| terms.sharded);
        let services = sharded.map(|(name, _)| (name.clone(), ranged()));
        let out = self.evacuated.iter().cloned();
        Document {
            services: services.collect(),
            domains: out.map(|d| (d, DomainState::Out)).collect(),
            drained: BTreeSet::new(),
        }
    }
}

/// Returns a service whose slices are ranges of keys.
fn ranged() -> Service {
    Service {
        kind: ServiceKind::Keyed,
        slices: INITIAL_RANGES,
        ranged: true,
        ..Service::default()
    }
}
