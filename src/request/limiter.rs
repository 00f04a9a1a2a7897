//! Limits the concurrent requests to an upstream and queues the rest.
//!
//! At most `limit` requests are in flight. Queued requests are sent in the order of their
//! deadlines; one that could not finish in time is refused at once.
//! [`crate::request::adaptive_limit`] sets the limit from the latencies that the daemon measures.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::process::moment::Moment;
use crate::request::adaptive_limit::AdaptiveLimit;
use crate::version::service::Policy;
use crate::version::upstream::{Upstream, UpstreamBoot};

/// The fraction of the expected time that must be left before the deadline to admit a request.
const ADMIT_FRACTION: f64 = 0.8;

/// Identifies a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// How a request to the upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// The request ran, with this latency.
    Ran(Duration),
    /// The upstream shed the request.
    Shed,
    /// The request failed without a usable latency, or was never sent.
    Failed,
}

/// Whether a request may be sent to the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may be sent now.
    Run,
    /// The request is queued under this ticket.
    Wait(Ticket),
    /// The request is refused: the queue is full.
    Full,
    /// The request is refused: it could not finish before its deadline.
    TooLate,
}

/// The concurrency limit and the queue of one upstream.
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

    /// Registers an announced upstream; a new upstream process starts cold.
    pub fn register_upstream(&mut self, now: Moment, upstream: &Upstream) {
        if self.boot != Some(upstream.boot) {
            self.boot = Some(upstream.boot);
            self.adaptive_limit = AdaptiveLimit::cold(now, upstream.slots, upstream.cold_slots);
        }
    }

    /// Sets the policy and the maximum length of the queue.
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

    /// Returns how many requests are queued.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the policy by which the limit is set.
    pub fn policy(&self) -> Policy {
        self.policy
    }

    /// Returns the adaptive limit with the latencies that it is derived from.
    pub fn adaptive_limit(&self) -> &AdaptiveLimit {
        &self.adaptive_limit
    }

    /// Admits a request, queues it or refuses it.
    pub fn admit(&mut self, now: Moment, deadline: Moment) -> Admission {
        if self.in_flight < self.limit() && self.queue.is_empty() {
            if self.policy == Policy::Adaptive && !self.finishes_in_time(now, deadline, 0) {
                return Admission::TooLate;
            }
            self.in_flight += 1;
            return Admission::Run;
        }
        if self.queue.len() >= self.queue_max {
            return Admission::Full;
        }
        let before = self.queue.range(..(deadline, Ticket(u64::MAX))).count();
        if self.policy == Policy::Adaptive && !self.finishes_in_time(now, deadline, before + 1) {
            return Admission::TooLate;
        }
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        self.queue.insert((deadline, ticket));
        Admission::Wait(ticket)
    }

    /// Removes a request from the queue.
    pub fn abandon(&mut self, deadline: Moment, ticket: Ticket) {
        self.queue.remove(&(deadline, ticket));
    }

    /// Records the end of a request; returns the tickets of the queued requests to send next.
    pub fn complete(&mut self, now: Moment, completion: Completion) -> Vec<Ticket> {
        self.in_flight = self.in_flight.saturating_sub(1);
        match completion {
            Completion::Ran(latency) => self.adaptive_limit.record_latency(now, latency),
            Completion::Shed => self.adaptive_limit.record_shed(now),
            Completion::Failed => {}
        }
        self.admit_waiting()
    }

    /// Admits queued requests up to the limit and returns their tickets.
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

    /// Returns whether a request at `position` in the queue, counted from one, or one to be sent
    /// now (position zero) is expected to finish before its deadline.
    fn finishes_in_time(&self, now: Moment, deadline: Moment, position: usize) -> bool {
        let rounds = position as f64 / f64::from(self.limit());
        let micros = self.adaptive_limit.mean_micros() * (rounds + 1.0) * ADMIT_FRACTION;
        now < deadline && now + Duration::from_micros(micros as u64) <= deadline
    }
}
