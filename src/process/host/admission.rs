//! How many orders the upstream gets at once, in which order, and at what pace while it is cold:
//! time and orders in, turns out.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::process::moment::Moment;
use crate::request::upstream_outcome::NotRunCause;

/// The weight of a new time in the running mean.
const NEW_TIME_WEIGHT: f64 = 0.05;
/// The mean time of an order before one was measured, in microseconds.
const INITIAL_MEAN_MICROS: f64 = 100_000.0;
/// The part of the mean time that must be left of a request's own time when its turn comes.
const REQUIRED_TIME_FRACTION: f64 = 0.6;
/// The expected wait that is borne even where the answer comes too late to count in full.
const LATE_WAIT_MAX: Duration = Duration::from_millis(40);
/// The shortest time after which a refused caller is told to come back.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(60);
/// The part of its bearable pace that a cold upstream gets.
const COLD_RATE_FACTOR: f64 = 1.1;

/// A place in the queue: the most urgent first, then the first to come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    /// How urgent the order is; 0 is the most urgent.
    pub priority: u8,
    /// The number of its arrival.
    pub sequence: u64,
}

/// Whether an order may be given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Now.
    Admitted,
    /// When its ticket is called.
    Queued(Ticket),
    /// Not in time.
    Refused {
        /// Why.
        cause: NotRunCause,
        /// When another try may fare better.
        retry_after: Duration,
    },
}

/// The pace of a cold upstream.
#[derive(Clone, Copy, Debug)]
struct ColdPacing {
    until: Moment,
    interval: Duration,
    next_start: Moment,
}

/// The orders at one upstream and those that wait for it.
#[derive(Debug)]
pub struct Admission {
    slots: u32,
    in_flight: u32,
    queue: BTreeMap<Ticket, Moment>,
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
            last_sequence: 0,
            mean_micros: INITIAL_MEAN_MICROS,
            cold: None,
        }
    }
}

impl Admission {
    /// Sets how many orders the upstream works on at once.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    /// Sets until when the upstream is cold, and how many orders a second it bears then.
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

    /// Returns how many orders are at the upstream.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns how many orders wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns how many orders the upstream works on at once.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the mean time of an order, in microseconds.
    pub fn mean_micros(&self) -> f64 {
        self.mean_micros
    }

    /// Takes in an order whose answer is awaited until `deadline` and counts in full until
    /// `objective`.
    pub fn admit(
        &mut self,
        now: Moment,
        priority: u8,
        deadline: Moment,
        objective: Moment,
    ) -> Decision {
        if self.queue.is_empty() && self.can_start(now) {
            self.start(now);
            return Decision::Admitted;
        }
        let wait = self.expected_wait(now, priority);
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
        let sequence = self.last_sequence;
        let ticket = Ticket { priority, sequence };
        self.queue.insert(ticket, now);
        Decision::Queued(ticket)
    }

    /// Takes an order out of the queue that waits no longer; returns whether it was there.
    pub fn abandon(&mut self, ticket: Ticket) -> bool {
        self.queue.remove(&ticket).is_some()
    }

    /// Takes in the end of an order that took `took` where it ran.
    pub fn complete(&mut self, duration: Option<Duration>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(duration) = duration {
            let micros = duration.as_micros() as f64;
            self.mean_micros += (micros - self.mean_micros) * NEW_TIME_WEIGHT;
        }
    }

    /// Returns the tickets whose turn it is.
    pub fn admit_waiting(&mut self, now: Moment) -> Vec<Ticket> {
        let mut admitted = Vec::new();
        while self.can_start(now) {
            let Some((ticket, _)) = self.queue.pop_first() else {
                break;
            };
            self.start(now);
            admitted.push(ticket);
        }
        admitted
    }

    /// Returns how long until the pace of a cold upstream allows the next order.
    pub fn pacing_delay(&self, now: Moment) -> Option<Duration> {
        let cold = self.cold.filter(|c| c.until > now)?;
        Some(cold.next_start.since(now))
    }

    /// Returns how long an order of `priority` that comes now would wait.
    pub fn expected_wait(&self, now: Moment, priority: u8) -> Duration {
        let last_ahead = Ticket {
            priority,
            sequence: u64::MAX,
        };
        let queued_ahead = self.queue.range(..=last_ahead).count();
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
