//! Queue of the requests that wait for the local upstream. Performs no I/O: callers pass in the
//! time.
//!
//! Answers an upstream that gets more work than it can finish. The requests that can still meet
//! their objective go first, the most urgent priority before the others, and among equals the one
//! whose objective ends first; where teams have requests queued, their shares of the turns are equal.
//! Requests that can't meet it any more wait behind them, and get a
//! fixed part of the turns so that none starves. One that can't end before its deadline is taken
//! out at once.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::process::host::fair_queue::{FairQueue, StartTag};
use crate::process::moment::Moment;
use crate::request::request_kind::RequestKind;
use crate::request::shard_key::ShardKey;
use crate::version::team_name::TeamName;

/// Of this many turns, late requests get one while others wait.
const LATE_TURN_INTERVAL: u32 = 8;
/// Fraction of the expected run time that a request must have left before its deadline or objective
/// to count as one that can make it.
pub(super) const REQUIRED_TIME_FRACTION: f64 = 0.8;

/// Number of a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A request that asks for admission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Team of the caller, if it is known.
    pub team: Option<TeamName>,
    /// Kind, by which the run time is estimated.
    pub kind: RequestKind,
    /// Key, if the service is sharded.
    pub key: Option<ShardKey>,
    /// When the caller stops waiting.
    pub deadline: Moment,
    /// When the response starts to count as late.
    pub objective: Moment,
}

/// Order within a band of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    priority: u8,
    start_tag: StartTag,
    objective: Moment,
    ticket: Ticket,
}

#[derive(Clone, Debug)]
struct Waiting {
    arrival: Arrival,
    run_time: Duration,
}

impl Waiting {
    /// Returns whether the request can end by `limit` if it starts now.
    fn can_end_by(&self, now: Moment, limit: Moment) -> bool {
        now + self.run_time.mul_f64(REQUIRED_TIME_FRACTION) <= limit
    }
}

/// Queue with a band of requests on time and one of late requests.
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    on_time: BTreeMap<Position, Waiting>,
    late: BTreeMap<Position, Waiting>,
    positions: HashMap<Ticket, Position>,
    fair_queue: FairQueue,
    last_ticket: u64,
    /// Turns of requests on time since the last one of a late request.
    turns: u32,
}

impl AdmissionQueue {
    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns the number of queued requests that will miss their objective.
    pub fn late_len(&self) -> usize {
        self.late.len()
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Adds a request that is expected to run for `run_time`; `is_late` states that it will miss its
    /// objective.
    pub fn push(&mut self, arrival: Arrival, run_time: Duration, is_late: bool) -> Ticket {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let position = self.position_of(&arrival, ticket);
        self.fair_queue
            .add(arrival.priority, arrival.team.as_ref(), position.start_tag);
        let waiting = Waiting { arrival, run_time };
        match is_late {
            true => self.late.insert(position, waiting),
            false => self.on_time.insert(position, waiting),
        };
        self.positions.insert(ticket, position);
        ticket
    }

    /// Removes a request; returns whether it was still queued.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        let Some(position) = self.positions.remove(&ticket) else {
            return false;
        };
        let removed = self.on_time.remove(&position);
        let removed = removed.or_else(|| self.late.remove(&position));
        if let Some(waiting) = removed {
            self.leave_fair_queue(&waiting);
        }
        true
    }

    /// Removes and returns the requests that can't end before their deadline any more.
    pub fn take_expired(&mut self, now: Moment) -> Vec<Ticket> {
        self.demote(now);
        let is_expired = |_: &Position, w: &mut Waiting| !w.can_end_by(now, w.arrival.deadline);
        let expired = self.late.extract_if(.., is_expired);
        let expired: Vec<(Position, Waiting)> = expired.collect();
        for (position, waiting) in &expired {
            self.positions.remove(&position.ticket);
            self.leave_fair_queue(waiting);
        }
        expired.into_iter().map(|(p, _)| p.ticket).collect()
    }

    /// Removes and returns the request whose turn it is.
    pub fn pop(&mut self, now: Moment) -> Option<Ticket> {
        self.demote(now);
        let is_late_turn = self.on_time.is_empty() || self.turns + 1 >= LATE_TURN_INTERVAL;
        let popped = match is_late_turn && !self.late.is_empty() {
            true => {
                self.turns = 0;
                self.late.pop_first()
            }
            false => {
                self.turns = self.turns.saturating_add(1);
                self.on_time.pop_first()
            }
        };
        let (position, _) = popped?;
        self.positions.remove(&position.ticket);
        self.fair_queue.start(position.priority, position.start_tag);
        Some(position.ticket)
    }

    /// Returns the run time of the requests on time that go before one that arrives now.
    pub fn work_ahead(&self, arrival: &Arrival) -> Duration {
        let position = self.position_of(arrival, Ticket(u64::MAX));
        self.on_time
            .range(..position)
            .map(|(_, w)| w.run_time)
            .sum()
    }

    /// Returns for how long the present late requests need all slots, given the turns that they get
    /// while others wait.
    pub fn late_work(&self) -> Duration {
        let run_time: Duration = self.late.values().map(|w| w.run_time).sum();
        run_time * LATE_TURN_INTERVAL
    }

    /// Returns the run time of the queued requests for `key`, and of all others.
    pub fn work_of_key(&self, key: ShardKey) -> (Duration, Duration) {
        let mut of_key = Duration::ZERO;
        let mut of_others = Duration::ZERO;
        for waiting in self.on_time.values().chain(self.late.values()) {
            match waiting.arrival.key == Some(key) {
                true => of_key += waiting.run_time,
                false => of_others += waiting.run_time,
            }
        }
        (of_key, of_others)
    }

    /// Returns the position of a request that arrives now.
    fn position_of(&self, arrival: &Arrival, ticket: Ticket) -> Position {
        let team = arrival.team.as_ref();
        Position {
            priority: arrival.priority,
            start_tag: self.fair_queue.next_tag(arrival.priority, team),
            objective: arrival.objective,
            ticket,
        }
    }

    /// Records that a request leaves the queue without having started.
    fn leave_fair_queue(&mut self, waiting: &Waiting) {
        let arrival = &waiting.arrival;
        self.fair_queue
            .remove(arrival.priority, arrival.team.as_ref());
    }

    /// Moves requests that can't meet their objective any more to the late ones.
    fn demote(&mut self, now: Moment) {
        let is_late = |_: &Position, w: &mut Waiting| !w.can_end_by(now, w.arrival.objective);
        self.late.extend(self.on_time.extract_if(.., is_late));
    }
}
