//! Decides how many requests the upstream runs at once, in which order queued requests are
//! admitted, and at what rate while the upstream is cold. Performs no I/O: callers pass in the
//! time.

use std::time::Duration;

use crate::process::host::admission_queue::{
    AdmissionQueue, Arrival, REQUIRED_TIME_FRACTION, Ticket,
};
use crate::process::host::run_times::RunTimes;
use crate::process::moment::Moment;
use crate::request::request_kind::RequestKind;
use crate::request::upstream_outcome::NotRunCause;

/// Longest expected wait at which a request that would miss its objective is queued as one on time.
const LATE_WAIT_MAX: Duration = Duration::from_millis(40);
/// The requests of one key may fill the time left to their objective divided by this, while others
/// wait: a key busier than the upstream would otherwise take the other keys with it.
const KEY_WAIT_DIVISOR: u32 = 3;
/// Shortest retry delay returned with a refusal.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(60);
/// Step between the retry delays of consecutive refusals, as a fraction of their range. With this
/// fraction, the golden ratio's, any number of consecutive delays is spread evenly.
const RETRY_SPREAD_STEP: f64 = 0.618;
/// Factor on the configured rate of a cold upstream.
const COLD_RATE_FACTOR: f64 = 1.1;

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

/// Queued requests whose wait is over.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Turns {
    /// Requests that may be sent now.
    pub admitted: Vec<Ticket>,
    /// Requests that can't end before their deadline any more; they have not run.
    pub expired: Vec<Ticket>,
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
    queue: AdmissionQueue,
    run_times: RunTimes,
    refusals: u32,
    cold: Option<ColdPacing>,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            slots: 1,
            in_flight: 0,
            queue: AdmissionQueue::default(),
            run_times: RunTimes::default(),
            refusals: 0,
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

    /// Returns the number of queued requests that will miss their objective.
    pub fn late_waiting(&self) -> usize {
        self.queue.late_len()
    }

    /// Returns how many requests the upstream may run at once.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the run times of the requests.
    pub fn run_times(&self) -> &RunTimes {
        &self.run_times
    }

    /// Admits, queues or refuses a request.
    pub fn admit(&mut self, now: Moment, arrival: &Arrival) -> Decision {
        let run_time = self.run_times.estimate(now, arrival.kind);
        let required = run_time.mul_f64(REQUIRED_TIME_FRACTION);
        // An idle upstream gets the request in any case: a wrong estimate is corrected only by
        // requests that run.
        let can_end = self.in_flight == 0 || now + required <= arrival.deadline;
        if can_end && self.queue.is_empty() && self.can_start(now) {
            self.start(now);
            return Decision::Admitted;
        }
        let wait = self.expected_wait(now, arrival);
        if self.exceeds_key_share(now, arrival) {
            return self.refuse(now, wait);
        }
        let end = now + wait + required;
        let is_late = end > arrival.objective && wait > LATE_WAIT_MAX;
        let end = match is_late {
            true => end + self.queue.late_work() / self.slots,
            false => end,
        };
        if end > arrival.deadline {
            return self.refuse(now, wait);
        }
        Decision::Queued(self.queue.push(arrival.clone(), run_time, is_late))
    }

    /// Removes a request from the queue; returns whether it was still queued.
    pub fn abandon(&mut self, ticket: Ticket) -> bool {
        self.queue.remove(ticket)
    }

    /// Records that an admitted request ended; `ran` is its kind and run time, if it ran.
    pub fn complete(&mut self, now: Moment, ran: Option<(RequestKind, Duration)>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some((kind, run_time)) = ran {
            self.run_times.record(now, kind, run_time);
        }
    }

    /// Admits queued requests as far as slots and pacing allow, and takes out those that can't end
    /// before their deadline any more.
    pub fn admit_waiting(&mut self, now: Moment) -> Turns {
        let mut turns = Turns {
            admitted: Vec::new(),
            expired: self.queue.take_expired(now),
        };
        while self.can_start(now) {
            let Some(ticket) = self.queue.pop(now) else {
                break;
            };
            self.start(now);
            turns.admitted.push(ticket);
        }
        turns
    }

    /// Returns how long until the pacing of a cold upstream allows the next start.
    pub fn pacing_delay(&self, now: Moment) -> Option<Duration> {
        let cold = self.cold.filter(|c| c.until > now)?;
        Some(cold.next_start.since(now))
    }

    /// Returns how long a request that arrives now is expected to wait.
    pub fn expected_wait(&self, now: Moment, arrival: &Arrival) -> Duration {
        let work_ahead = self.queue.work_ahead(arrival);
        let is_free = self.in_flight < self.slots && work_ahead.is_zero();
        let mean = Duration::from_micros(self.run_times.mean_micros() as u64);
        let slot_wait = match is_free {
            true => Duration::ZERO,
            false => (work_ahead + mean) / self.slots,
        };
        let Some(cold) = self.cold.filter(|c| c.until > now) else {
            return slot_wait;
        };
        let intervals = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        let pacing_wait = cold.next_start.since(now) + cold.interval.saturating_mul(intervals);
        slot_wait.max(pacing_wait)
    }

    /// Returns whether the key of the request fills its part of the queue already.
    fn exceeds_key_share(&self, now: Moment, arrival: &Arrival) -> bool {
        let Some(key) = arrival.key else {
            return false;
        };
        let (of_key, of_others) = self.queue.work_of_key(key);
        let share = arrival.objective.since(now) / KEY_WAIT_DIVISOR;
        !of_others.is_zero() && of_key / self.slots > share
    }

    /// Refuses a request that would wait for `wait`. Consecutive refusals get different delays, so
    /// that the callers don't return at the same moment.
    fn refuse(&mut self, now: Moment, wait: Duration) -> Decision {
        self.refusals = self.refusals.wrapping_add(1);
        let spread = 0.5 + (f64::from(self.refusals) * RETRY_SPREAD_STEP).fract();
        let retry_after = (wait / 2).max(RETRY_AFTER_MIN).mul_f64(spread);
        let cause = match self.cold.filter(|c| c.until > now) {
            Some(_) => NotRunCause::Cold,
            None => NotRunCause::Overloaded,
        };
        Decision::Refused { cause, retry_after }
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
