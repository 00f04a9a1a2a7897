//! Decides when a request may go to the upstream, from what the daemon itself saw.
//!
//! At most `limit` requests are in flight. Those that wait are served by the earliest deadline;
//! one that would not end in time is refused at once. [`crate::request::adaptive_limit`] sets the limit.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::process::moment::Moment;
use crate::request::adaptive_limit::AdaptiveLimit;
use crate::version::service::Policy;
use crate::version::upstream::{Upstream, UpstreamBoot};

/// The part of the expected time that must be left for a request to be admitted.
const ADMIT_PART: f64 = 0.8;

/// A request's place in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// How a request came back from the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// It ran, and took so long.
    Ran(Duration),
    /// The upstream shed it.
    Shed,
    /// It came back without a word on the upstream's speed, or was never given.
    Failed,
}

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
#[derive(Debug, Default)]
pub struct Limiter {
    policy: Policy,
    queue_max: usize,
    boot: Option<UpstreamBoot>,
    adaptive_limit: AdaptiveLimit,
    in_flight: u32,
    queue: BTreeSet<(Moment, Ticket)>,
    next_ticket: u64,
}

impl Limiter {
    /// Creates the limiter of an upstream that has not announced itself yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in the upstream's announcement; a new run of it starts cold.
    pub fn register_upstream(&mut self, now: Moment, upstream: &Upstream) {
        if self.boot != Some(upstream.boot) {
            self.boot = Some(upstream.boot);
            self.adaptive_limit = AdaptiveLimit::cold(now, upstream.slots, upstream.cold_slots);
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
            Policy::Baseline => self.adaptive_limit.slots(),
            Policy::Adaptive => self.adaptive_limit.limit(),
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

    /// Returns how the limit is set.
    pub fn policy(&self) -> Policy {
        self.policy
    }

    /// Returns what the daemon saw of the upstream's speed.
    pub fn adaptive_limit(&self) -> &AdaptiveLimit {
        &self.adaptive_limit
    }

    /// Admits a request, queues it or refuses it.
    pub fn admit(&mut self, now: Moment, deadline: Moment) -> Admission {
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
        self.queue.insert((deadline, ticket));
        Admission::Wait(ticket)
    }

    /// Takes a request out of the queue that gave up waiting.
    pub fn abandon(&mut self, deadline: Moment, ticket: Ticket) {
        self.queue.remove(&(deadline, ticket));
    }

    /// Takes in the end of a request. Returns the tickets whose turn it is.
    pub fn complete(&mut self, now: Moment, landing: Completion) -> Vec<Ticket> {
        self.in_flight = self.in_flight.saturating_sub(1);
        match landing {
            Completion::Ran(took) => self.adaptive_limit.record_latency(now, took),
            Completion::Shed => self.adaptive_limit.record_shed(now),
            Completion::Failed => {}
        }
        self.admit_waiting()
    }

    /// Lets those go whose turn it is, after a change of the limit.
    pub fn admit_waiting(&mut self) -> Vec<Ticket> {
        let mut admitted = Vec::new();
        while self.in_flight < self.limit() {
            let Some((_, ticket)) = self.queue.pop_first() else {
                break;
            };
            self.in_flight += 1;
            admitted.push(ticket);
        }
        admitted
    }

    fn ends_in_time(&self, now: Moment, deadline: Moment, place: usize) -> bool {
        let rounds = place as f64 / f64::from(self.limit());
        let micros = self.adaptive_limit.mean_micros() * (rounds + 1.0) * ADMIT_PART;
        now < deadline && now + Duration::from_micros(micros as u64) <= deadline
    }
}
