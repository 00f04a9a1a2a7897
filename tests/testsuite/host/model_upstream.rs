//! An upstream in the model of a fleet.

use std::collections::HashMap;
use std::net::SocketAddr;

use foxtaildrift::process::host::admission::Admission;
use foxtaildrift::process::host::admission_queue::Ticket;
use foxtaildrift::request::upstream_load::UpstreamLoad;
use foxtaildrift::version::domain_name::DomainName;
use foxtaildrift::version::epoch::Epoch;
use foxtaildrift::version::instance_id::InstanceId;
use foxtaildrift::version::member::{CPU_SHARE_DEFAULT, Member, MemberInfo, WEIGHT_FULL};
use foxtaildrift::version::session_id::SessionId;
use foxtaildrift::version::upstream::{Upstream, UpstreamBoot};
use rand::RngExt;
use rand::rngs::SmallRng;

/// Duration of a period in which an upstream is slow or not.
const PERIOD_MICROS: u64 = 400_000;
/// Probability that an upstream is slow during a period.
const SLOW_PROBABILITY: f64 = 0.2;
/// Factor on the run times of a slow upstream.
const SLOW_FACTOR: f64 = 3.0;
/// Mean capacity of an upstream as a fraction of that outside its slow periods.
pub const MEAN_AVAILABILITY: f64 = 1.0 - SLOW_PROBABILITY + SLOW_PROBABILITY / SLOW_FACTOR;

/// An upstream with the admission of the daemon beside it.
pub struct ModelUpstream {
    pub admission: Admission,
    pub speed: f64,
    /// Whether the upstream is slow, by period.
    slow: Vec<bool>,
    /// The requests that wait, by their tickets.
    pub queued: HashMap<Ticket, usize>,
}

/// Returns the name of a failure domain.
pub fn domain_name(index: usize) -> DomainName {
    format!("domain-{index}").parse().unwrap()
}

/// Returns an upstream with `slots` slots.
pub fn member(n: usize, domains: usize, slots: u32) -> Member {
    let upstream = Upstream {
        service: "service".parse().unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], 9000)),
        boot: UpstreamBoot(1),
        slots,
        cold_slots: 1,
        connections: 1,
        checks_grants: true,
    };
    Member {
        info: MemberInfo {
            session: SessionId {
                instance: InstanceId(n as u64),
                tenure: 1,
            },
            peer: SocketAddr::from(([127, 0, 0, 1], 7400)),
            entry: SocketAddr::from(([127, 0, 0, 1], 8080)),
            domain: domain_name(n % domains),
            upstream: Some(upstream),
            leaving: false,
            weight: WEIGHT_FULL,
            cpu_share: CPU_SHARE_DEFAULT,
        },
        witnesses: Vec::new(),
        witnesses_since: Epoch::default(),
        witnesses_confirming: false,
    }
}

impl ModelUpstream {
    /// Returns an upstream with a random speed and random slow periods.
    pub fn new(slots: u32, seconds: u64, rng: &mut SmallRng) -> Self {
        let mut admission = Admission::default();
        admission.set_slots(slots);
        let periods = seconds * 1_000_000 / PERIOD_MICROS + 100;
        Self {
            admission,
            speed: rng.random_range(0.5..1.6),
            slow: (0..periods)
                .map(|_| rng.random_bool(SLOW_PROBABILITY))
                .collect(),
            queued: HashMap::new(),
        }
    }

    /// Returns when a request ends that starts at `start`.
    pub fn end_of(&self, start: u64, work_micros: f64) -> u64 {
        let (mut now, mut left) = (start as f64, work_micros / self.speed);
        loop {
            let period = (now / PERIOD_MICROS as f64) as usize;
            let is_slow = self.slow.get(period).copied().unwrap_or_default();
            let factor = if is_slow { SLOW_FACTOR } else { 1.0 };
            let period_end = (period + 1) as f64 * PERIOD_MICROS as f64;
            if now + left * factor <= period_end {
                return (now + left * factor) as u64;
            }
            left -= (period_end - now) / factor;
            now = period_end;
        }
    }

    /// Returns the load that its daemon reports.
    pub fn load(&self) -> UpstreamLoad {
        UpstreamLoad {
            in_flight: self.admission.in_flight(),
            waiting: self.admission.waiting() as u32,
            slots: self.admission.slots(),
            mean_micros: self.admission.run_times().mean_micros() as u32,
            ..UpstreamLoad::default()
        }
    }

    /// Returns the requests in flight and in the queue, for each slot.
    pub fn load_per_slot(&self) -> f64 {
        let load = f64::from(self.admission.in_flight()) + self.admission.waiting() as f64;
        load / f64::from(self.admission.slots())
    }

    /// Returns whether another request could start now.
    pub fn has_free_slots(&self) -> bool {
        self.admission.in_flight() < self.admission.slots()
    }
}
