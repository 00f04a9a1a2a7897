//! Configuration of an environment.

use std::time::Duration;

use crate::cluster::service_spec::ServiceSpec;

/// Configuration of an environment.
#[derive(Clone, Debug)]
pub struct ClusterSpec {
    /// The names of the failure domains.
    pub domains: Vec<&'static str>,
    /// The one-way network delay between two failure domains.
    pub delay: Duration,
    /// The services; their upstreams are assigned to the failure domains round-robin.
    pub services: Vec<ServiceSpec>,
    /// The configuration document that operators promote, as YAML.
    pub document: String,
    /// The log level of the daemons.
    pub log_level: &'static str,
    /// How many callers' requests a daemon handles at once.
    pub workers: u32,
}
