//! Decides how many requests the upstream runs at once, in which order queued requests are
//! admitted, and at what rate while the upstream is cold. Performs no I/O: callers pass in the
//! time.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::process::host::fair_queue::{FairQueue, StartTag};
use crate::process::moment::Moment;
use crate::request::upstream_outcome::NotRunCause;
use crate::version::team_name::TeamName;

/// Weight of a new run time in the exponential moving average.
const NEW_TIME_WEIGHT: f64 = 0.05;
/// Assumed mean run time before any was measured, in microseconds.
const INITIAL_MEAN_MICROS: f64 = 100_000.0;
/// Fraction of the mean run time that a request must have left when it is admitted.
const REQUIRED_TIME_FRACTION: f64 = 0.6;
/// Longest expected wait at which a request is queued although its response would miss the
/// objective.
const LATE_WAIT_MAX: Duration = Duration::from_millis(40);
/// Shortest retry delay returned with a refusal.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(60);
/// Factor on the configured rate of a cold upstream.
const COLD_RATE_FACTOR: f64 = 1.1;

/// Position in the queue: ordered by priority, then fairly over teams, then by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// Position among the requests of the same priority.
    pub start_tag: StartTag,
    /// Sequence number of the arrival.
    pub sequence: u64,
}

/// Result of [`Admission::admit`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request may be sent now.
    Admitted,
    /// The request waits until [`Admission::admit_waiting`] returns its ticket.
    Queued(Ticket),
    /// The request can't be served in time.
    Refused {
        /// Cause reported to the caller.
        cause: NotRunCause,
        /// Delay after which a retry is more likely to succeed.
        retry_after: Duration,
    },
}

/// Rate limit of a cold upstream: one start per `interval` up to `until`.
#[derive(Clone, Copy, Debug)]
struct ColdPacing {
    until: Moment,
    interval: Duration,
    next_start: Moment,
}

/// Admission control of one upstream: requests in flight and the queue.
#[derive(Debug)]
pub struct Admission {
    slots: u32,
    in_flight: u32,
    /// Queued requests with their teams.
    queue: BTreeMap<Ticket, Option<TeamName>>,
    fair_queue: FairQueue,
    last_sequence: u64,
    mean_micros: f64,
    cold: Option<ColdPacing>,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            slots: 1,
            in_flight: 0,
            queue: BTreeMap::new(),
            fair_queue: FairQueue::default(),
            last_sequence: 0,
            mean_micros: INITIAL_MEAN_MICROS,
            cold: None,
        }
    }
}

impl Admission {
    /// Sets how many requests the upstream may run at once; at least 1.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    /// Sets until when the upstream is cold, and the rate in requests per second that it gets until
    /// then.
    pub fn set_cold(&mut self, now: Moment, until: Moment, rate: f64) {
        if until <= now || rate <= 0.0 {
            self.cold = None;
            return;
        }
        let interval = Duration::from_secs_f64(1.0 / (rate * COLD_RATE_FACTOR).max(0.1));
        let next_start = self.cold.map_or(now, |c| c.next_start);
        self.cold = Some(ColdPacing {
            until,
            interval,
            next_start,
        });
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the number of queued requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns how many requests the upstream may run at once.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the mean run time of a request, in microseconds.
    pub fn mean_micros(&self) -> f64 {
        self.mean_micros
    }

    /// Admits, queues or refuses a request of `team` that must complete by `deadline` and counts as
    /// slow after `objective`.
    pub fn admit(
        &mut self,
        now: Moment,
        priority: u8,
        team: Option<&TeamName>,
        deadline: Moment,
        objective: Moment,
    ) -> Decision {
        if self.queue.is_empty() && self.can_start(now) {
            self.start(now);
            return Decision::Admitted;
        }
        let ticket = Ticket {
            priority,
            start_tag: self.fair_queue.next_tag(priority, team),
            sequence: self.last_sequence + 1,
        };
        let wait = self.expected_wait(now, ticket);
        let required = Duration::from_micros((self.mean_micros * REQUIRED_TIME_FRACTION) as u64);
        let end = now + wait + required;
        let too_late = end > deadline || (end > objective && wait > LATE_WAIT_MAX);
        if too_late {
            let cause = match self.cold {
                Some(_) => NotRunCause::Cold,
                None => NotRunCause::Overloaded,
            };
            let retry_after = (wait / 2).max(RETRY_AFTER_MIN);
            return Decision::Refused { cause, retry_after };
        }
        self.last_sequence += 1;
        self.fair_queue.add(priority, team, ticket.start_tag);
        self.queue.insert(ticket, team.cloned());
        Decision::Queued(ticket)
    }

    /// Removes a request from the queue; returns whether it was still queued.
    pub fn abandon(&mut self, ticket: Ticket) -> bool {
        let Some(team) = self.queue.remove(&ticket) else {
            return false;
        };
        self.fair_queue.remove(ticket.priority, team.as_ref());
        true
    }

    /// Records that an admitted request ended; `duration` is its run time, if it ran.
    pub fn complete(&mut self, duration: Option<Duration>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(duration) = duration {
            let micros = duration.as_micros() as f64;
            self.mean_micros += (micros - self.mean_micros) * NEW_TIME_WEIGHT;
        }
    }

    /// Admits queued requests as far as slots and pacing allow, and returns their tickets.
    pub fn admit_waiting(&mut self, now: Moment) -> Vec<Ticket> {
        let mut admitted = Vec::new();
        while self.can_start(now) {
            let Some((ticket, _)) = self.queue.pop_first() else {
                break;
            };
            self.fair_queue.start(ticket.priority, ticket.start_tag);
            self.start(now);
            admitted.push(ticket);
        }
        admitted
    }

    /// Returns how long until the pacing of a cold upstream allows the next start.
    pub fn pacing_delay(&self, now: Moment) -> Option<Duration> {
        let cold = self.cold.filter(|c| c.until > now)?;
        Some(cold.next_start.since(now))
    }

    /// Returns how long a request that arrives now and would get `ticket` is expected to wait.
    fn expected_wait(&self, now: Moment, ticket: Ticket) -> Duration {
        let queued_ahead = self.queue.range(..ticket).count();
        let free = self.slots.saturating_sub(self.in_flight);
        let excess = (queued_ahead + 1).saturating_sub(usize::try_from(free).unwrap_or(usize::MAX));
        let rounds = excess as f64 / f64::from(self.slots);
        let slot_wait = Duration::from_micros((rounds * self.mean_micros) as u64);
        let Some(cold) = self.cold.filter(|c| c.until > now) else {
            return slot_wait;
        };
        let intervals = u32::try_from(queued_ahead).unwrap_or(u32::MAX);
        let pacing_wait = cold.next_start.since(now) + cold.interval.saturating_mul(intervals);
        slot_wait.max(pacing_wait)
    }

    fn can_start(&self, now: Moment) -> bool {
        let paced = self
            .cold
            .is_none_or(|c| c.until <= now || c.next_start <= now);
        self.in_flight < self.slots && paced
    }

    fn start(&mut self, now: Moment) {
        self.in_flight += 1;
        if let Some(cold) = &mut self.cold {
            cold.next_start = cold.next_start.max(now) + cold.interval;
        }
    }
}
