//! Decides when a request may go to the upstream, from what the daemon itself saw.
//!
//! At most `limit` requests are in flight. Those that wait are served by the earliest deadline;
//! one that would not end in time is refused at once. A new or suddenly slow upstream gets no
//! more than it announced to bear when cold, and then more step by step.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::process::moment::Moment;
use crate::version::service::Policy;
use crate::version::upstream::{Upstream, UpstreamBoot};

/// The weight of a new latency in the running mean.
const MEAN_WEIGHT: f64 = 0.2;
/// How fast the floor rises towards the mean, for each sample.
const FLOOR_RISE: f64 = 0.002;
/// How many times the floor the mean must be for the upstream to count as slow.
const SLOW_FACTOR: f64 = 2.5;
/// How long the upstream must keep up before it gets more.
const RAMP_INTERVAL: Duration = Duration::from_millis(250);
/// How much more it gets then.
const RAMP_FACTOR: f64 = 1.5;
/// The samples that the mean needs before it says anything.
const SAMPLES_MIN: u32 = 5;

/// A request's place in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Whether a request may go to the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may go now.
    Run,
    /// It must wait for its ticket.
    Wait(Ticket),
    /// It is refused: the queue is full.
    Full,
    /// It is refused: it would not end before its deadline.
    TooLate,
}

/// The limit and queue of one upstream.
#[derive(Debug)]
pub struct Limiter {
    policy: Policy,
    queue_max: usize,
    boot: Option<UpstreamBoot>,
    slots: u32,
    cold_slots: u32,
    limit: f64,
    in_flight: u32,
    queue: BTreeMap<(Moment, Ticket), ()>,
    next_ticket: u64,
    floor: f64,
    mean: f64,
    samples: u32,
    ramp_at: Moment,
}

impl Limiter {
    /// Creates the limiter of an upstream that has not announced itself yet.
    pub fn new() -> Self {
        Self {
            policy: Policy::Adaptive,
            queue_max: 0,
            boot: None,
            slots: 0,
            cold_slots: 0,
            limit: 0.0,
            in_flight: 0,
            queue: BTreeMap::new(),
            next_ticket: 0,
            floor: 0.0,
            mean: 0.0,
            samples: 0,
            ramp_at: Moment::default(),
        }
    }

    /// Takes in the upstream's announcement; a new run of it starts cold.
    pub fn announce(&mut self, now: Moment, upstream: &Upstream) {
        self.slots = upstream.slots.max(1);
        self.cold_slots = upstream.cold_slots.clamp(1, self.slots);
        if self.boot != Some(upstream.boot) {
            self.boot = Some(upstream.boot);
            self.samples = 0;
            self.floor = 0.0;
            self.start_ramp(now);
        }
    }

    /// Sets the policy and the length of the queue.
    pub fn configure(&mut self, policy: Policy, queue_max: u32) {
        self.policy = policy;
        self.queue_max = usize::try_from(queue_max).unwrap_or(usize::MAX);
    }

    /// Returns how many requests may be in flight now.
    pub fn limit(&self) -> u32 {
        match self.policy {
            Policy::Baseline => self.slots,
            Policy::Adaptive => (self.limit as u32).clamp(1, self.slots.max(1)),
        }
    }

    /// Returns how many requests are in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the mean time in the upstream, in microseconds; zero while it isn't known.
    pub fn mean_micros(&self) -> u64 {
        if self.samples < SAMPLES_MIN {
            0
        } else {
            self.mean as u64
        }
    }

    /// Returns the capacity that the upstream has now, in per mille of its normal one.
    pub fn capacity_per_mille(&self) -> u32 {
        if self.samples < SAMPLES_MIN || self.mean <= self.floor * 1.5 {
            return 1000;
        }
        ((self.floor / self.mean * 1000.0) as u32).clamp(50, 1000)
    }

    /// Returns whether the upstream is at its full limit.
    pub fn is_warm(&self) -> bool {
        self.limit() >= self.slots
    }

    /// Admits a request, queues it or refuses it.
    pub fn arrive(&mut self, now: Moment, deadline: Moment) -> Admission {
        if self.in_flight < self.limit() && self.queue.is_empty() {
            if self.policy == Policy::Adaptive && !self.ends_in_time(now, deadline, 0) {
                return Admission::TooLate;
            }
            self.in_flight += 1;
            return Admission::Run;
        }
        if self.queue.len() >= self.queue_max {
            return Admission::Full;
        }
        let before = self.queue.range(..(deadline, Ticket(u64::MAX))).count();
        if self.policy == Policy::Adaptive && !self.ends_in_time(now, deadline, before + 1) {
            return Admission::TooLate;
        }
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        self.queue.insert((deadline, ticket), ());
        Admission::Wait(ticket)
    }

    /// Takes a request out of the queue that gave up waiting.
    pub fn leave(&mut self, deadline: Moment, ticket: Ticket) {
        self.queue.remove(&(deadline, ticket));
    }

    /// Takes in the end of a request: the time that the upstream took, or `None` where it did
    /// not answer. Returns the tickets whose turn it is.
    pub fn done(&mut self, now: Moment, took: Option<Duration>) -> Vec<Ticket> {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(took) = took {
            self.sample(now, took);
        }
        self.admit()
    }

    /// Lets those go whose turn it is, after a change of the limit.
    pub fn admit(&mut self) -> Vec<Ticket> {
        let mut admitted = Vec::new();
        while self.in_flight < self.limit() {
            let Some(((_, ticket), ())) = self.queue.pop_first() else {
                break;
            };
            self.in_flight += 1;
            admitted.push(ticket);
        }
        admitted
    }

    fn ends_in_time(&self, now: Moment, deadline: Moment, place: usize) -> bool {
        if self.samples < SAMPLES_MIN {
            return now < deadline;
        }
        let rounds = place as f64 / f64::from(self.limit());
        let micros = self.mean * (rounds + 1.0) * 0.8;
        now + Duration::from_micros(micros as u64) <= deadline
    }

    fn sample(&mut self, now: Moment, took: Duration) {
        let micros = took.as_micros() as f64;
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.mean = micros;
            self.floor = micros;
        }
        self.mean += (micros - self.mean) * MEAN_WEIGHT;
        self.floor = if self.mean < self.floor {
            self.mean
        } else {
            self.floor + (self.mean - self.floor) * FLOOR_RISE
        };
        self.adjust(now);
    }

    /// Lowers the limit of an upstream that became slow, and raises it step by step else.
    fn adjust(&mut self, now: Moment) {
        if self.samples < SAMPLES_MIN {
            return;
        }
        if self.mean > self.floor * SLOW_FACTOR {
            self.floor = self.mean;
            self.start_ramp(now);
            return;
        }
        if now >= self.ramp_at && self.limit < f64::from(self.slots) {
            self.limit = (self.limit * RAMP_FACTOR).max(self.limit + 1.0);
            self.limit = self.limit.min(f64::from(self.slots));
            self.ramp_at = now + RAMP_INTERVAL;
        }
    }

    fn start_ramp(&mut self, now: Moment) {
        self.limit = f64::from(self.cold_slots);
        self.ramp_at = now + RAMP_INTERVAL;
    }
}

impl Default for Limiter {
    fn default() -> Self {
        Self::new()
    }
}
