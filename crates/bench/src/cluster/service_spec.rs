//! Configuration of the upstreams of a service.

/// The upstreams of one service and how their stand-ins behave.
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    /// The name of the service.
    pub name: &'static str,
    /// The number of upstreams.
    pub upstreams: usize,
    /// How many requests an upstream runs at once.
    pub slots: u32,
    /// How many requests a cold upstream can run at once without slowing down further.
    pub cold_slots: u32,
    /// How long an upstream takes for a request, in microseconds.
    pub service_time_us: u64,
    /// How many requests an upstream runs until it is warm.
    pub warmup_requests: u64,
    /// Whether the upstreams refuse requests whose fencing token is lower than the granted one.
    pub checks_grants: bool,
}
