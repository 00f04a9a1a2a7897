//! The environments of the brief, in small.

use std::time::Duration;

use crate::cluster::{Cluster, ClusterSpec, ServiceSpec};
use crate::load::LoadSpec;

/// The one-way time between two failure domains of the co-operative.
const MEDENINE_DELAY: Duration = Duration::from_micros(1400);
/// The one-way time between two failure domains of Golobnik.
const LJUBLJANA_DELAY: Duration = Duration::from_micros(900);

/// Returns a service's upstreams as the brief sizes them for the co-operative.
fn service(name: &'static str, upstreams: usize, slots: u32) -> ServiceSpec {
    ServiceSpec {
        name,
        upstreams,
        slots,
        cold_slots: 3,
        service_us: 3000,
        warm_after: 0,
        checks_grants: true,
    }
}

/// Returns the co-operative's environment.
pub fn cooperative() -> ClusterSpec {
    let document = "\
services:
  order-desk:
    kind: keyed
    objective: {availability_percent: 99.9, latency_ms: 100}
    routes:
      - {method: GET, path: /stock, repeatable: true}
      - {method: POST, path: /bookings, repeatable: false}
  export-office:
    kind: shared
";
    ClusterSpec {
        domains: vec!["zarzis", "ben-guerdane", "medenine-hq", "djerba"],
        delay: MEDENINE_DELAY,
        services: vec![service("order-desk", 6, 9), service("export-office", 4, 9)],
        document: document.to_owned(),
        log_level: "info",
        workers: 64,
    }
}

/// Returns an environment of so many daemons in the co-operative's domains.
pub fn of_size(daemons: usize) -> ClusterSpec {
    let spec = cooperative();
    let services = vec![service("order-desk", daemons, 9)];
    ClusterSpec {
        services,
        log_level: "warn",
        workers: 2,
        ..spec
    }
}

/// Returns Golobnik's environment; ring checks are GETs of `/stock`.
pub fn golobnik() -> ClusterSpec {
    let document = "\
services:
  loftdesk:
    kind: keyed
  ringvault:
    kind: shared
";
    ClusterSpec {
        domains: vec!["center", "bezigrad", "vic"],
        delay: LJUBLJANA_DELAY,
        services: vec![service("loftdesk", 6, 12), service("ringvault", 3, 12)],
        document: document.to_owned(),
        log_level: "info",
        workers: 64,
    }
}

/// Returns the environment with the simplest policy for all services.
pub fn with_baseline(spec: &ClusterSpec) -> ClusterSpec {
    let plain = |kind: &str| format!("kind: {kind}\n");
    let baseline = |kind: &str| format!("kind: {kind}\n    policy: baseline\n");
    let mut document = spec.document.clone();
    for kind in ["keyed", "shared"] {
        document = document.replace(&plain(kind), &baseline(kind));
    }
    ClusterSpec {
        document,
        ..spec.clone()
    }
}

/// Returns callers of a keyed service, each with a key of its own, that look up and book.
pub fn bookings(cluster: &Cluster, callers: usize) -> LoadSpec {
    LoadSpec {
        service: cluster.hosts[0].service,
        entries: cluster.entries(),
        callers,
        keys: 1,
        change_percent: 40,
        pace: Duration::from_millis(10),
        timeout: Duration::from_millis(300),
        persists: true,
        keyed: true,
        hot: None,
        seed: 1,
    }
}

/// Returns callers of a shared service that look up and upload.
pub fn uploads(cluster: &Cluster, service: &'static str, callers: usize) -> LoadSpec {
    LoadSpec {
        service,
        keyed: false,
        ..bookings(cluster, callers)
    }
}
