//! The environments of the runs: small models of the two organisations' installations, and the
//! loads on them.

use std::time::Duration;

use crate::cluster::Cluster;
use crate::cluster::cluster_spec::ClusterSpec;
use crate::cluster::service_spec::ServiceSpec;
use crate::load::load_spec::LoadSpec;

/// The one-way network delay between two failure domains of the co-operative.
const MEDENINE_DELAY: Duration = Duration::from_micros(1400);
/// The one-way network delay between two failure domains of Golobnik.
const LJUBLJANA_DELAY: Duration = Duration::from_micros(900);

/// Returns a service with the given numbers of upstreams and slots, and the co-operative's values
/// for the rest.
fn service(name: &'static str, upstreams: usize, slots: u32) -> ServiceSpec {
    ServiceSpec {
        name,
        upstreams,
        slots,
        cold_slots: 3,
        service_time_us: 3000,
        warmup_requests: 0,
        checks_grants: true,
    }
}

/// Returns the environment of the co-operative.
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

/// Returns an environment with the given number of daemons in the co-operative's failure domains.
pub fn with_daemons(daemons: usize) -> ClusterSpec {
    let spec = cooperative();
    let services = vec![service("order-desk", daemons, 9)];
    ClusterSpec {
        services,
        log_level: "warn",
        workers: 2,
        ..spec
    }
}

/// Returns the environment of Golobnik; its ring checks are modelled by `GET /stock`.
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

/// Returns `spec` with the baseline policy for all services.
pub fn with_baseline(spec: &ClusterSpec) -> ClusterSpec {
    let default_policy = |kind: &str| format!("kind: {kind}\n");
    let baseline_policy = |kind: &str| format!("kind: {kind}\n    policy: baseline\n");
    let mut document = spec.document.clone();
    for kind in ["keyed", "shared"] {
        document = document.replace(&default_policy(kind), &baseline_policy(kind));
    }
    ClusterSpec {
        document,
        ..spec.clone()
    }
}

/// Returns the load of callers of a keyed service, each with its own key, that look up and book.
pub fn booking_load(cluster: &Cluster, callers: usize) -> LoadSpec {
    LoadSpec {
        service: cluster.hosts[0].service,
        entries: cluster.entries(),
        callers,
        keys: 1,
        mutation_percent: 40,
        pause: Duration::from_millis(10),
        timeout: Duration::from_millis(300),
        retry_until_run: true,
        sends_key: true,
        hot_keys: None,
        seed: 1,
    }
}

/// Returns the load of callers of a shared service that look up and upload.
pub fn upload_load(cluster: &Cluster, service: &'static str, callers: usize) -> LoadSpec {
    LoadSpec {
        service,
        sends_key: false,
        ..booking_load(cluster, callers)
    }
}
