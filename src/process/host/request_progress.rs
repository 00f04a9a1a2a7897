//! The course of one request at the daemon that took it: its times, its tries, and whether an
//! upstream may have run it.

use std::time::Duration;

use crate::process::moment::Moment;
use crate::request::upstream_load::UpstreamLoad;
use crate::request::upstream_outcome::{NotRunCause, UpstreamOutcome};
use crate::request::upstream_request::UpstreamRequest;
use crate::version::instance_id::InstanceId;

/// The part of the objective that a request waits for a key without a holder.
const KEY_WAIT_PART: u32 = 6;
/// The part of the objective that it waits for a key that moves.
const MOVE_WAIT_PART: u32 = 2;
/// The first pause before another try for such a key.
const PAUSE_MIN: Duration = Duration::from_millis(4);
/// The least time that is worth a try.
const TRY_TIME_MIN: Duration = Duration::from_millis(10);
/// The longest such pause.
const PAUSE_MAX: Duration = Duration::from_millis(25);
/// How long a caller is told to wait for a holder that has just been lost.
pub(super) const HOLDER_RETRY: Duration = Duration::from_millis(800);

/// How a request went, for its log line.
pub(super) struct Trace {
    /// How often it was tried.
    pub(super) tries: u32,
    /// The process beside the upstream tried last.
    pub(super) upstream: Option<InstanceId>,
    /// The load that was told last.
    pub(super) load: Option<UpstreamLoad>,
}

/// Where a request is on its way.
pub(super) struct RequestProgress {
    deadline: Moment,
    objective: Moment,
    /// Until when it waits for a key without a holder.
    pub(super) patience: Moment,
    /// Until when it waits for a key that moves.
    pub(super) move_patience: Moment,
    pause: Duration,
    /// The most upstreams that it may be given to, and to how many it was.
    attempts: u32,
    given: u32,
    /// Whether an upstream may have run it.
    pub(super) maybe_run: bool,
    pub(super) trace: Trace,
}

impl RequestProgress {
    /// Begins the course of an order that may be given to so many upstreams.
    pub(super) fn new(now: Moment, order: &UpstreamRequest, attempts: u32) -> Self {
        Self {
            deadline: now + order.remaining,
            objective: now + order.objective,
            patience: now + order.objective / KEY_WAIT_PART,
            move_patience: now + order.objective / MOVE_WAIT_PART,
            pause: PAUSE_MIN,
            attempts,
            given: 0,
            maybe_run: false,
            trace: Trace {
                tries: 0,
                upstream: None,
                load: None,
            },
        }
    }

    /// Sets what is left of the order's times; returns whether that is worth a try.
    pub(super) fn has_time(&self, now: Moment, order: &mut UpstreamRequest) -> bool {
        order.remaining = self.deadline.since(now);
        order.objective = self.objective.since(now);
        order.remaining >= TRY_TIME_MIN
    }

    /// Notes how a try ended.
    pub(super) fn note(&mut self, verdict: &UpstreamOutcome) {
        match verdict {
            UpstreamOutcome::Ran(_) => {}
            UpstreamOutcome::NotRun { cause, .. } => {
                self.given += u32::from(*cause == NotRunCause::Shed)
            }
            UpstreamOutcome::Unknown { .. } => {
                self.maybe_run = true;
                self.given += 1;
            }
        }
    }

    /// Returns whether another upstream may get it.
    pub(super) fn may_be_given_again(&self) -> bool {
        self.given < self.attempts
    }

    /// Returns the verdict on an order whose time ran out.
    pub(super) fn timed_out(&self) -> UpstreamOutcome {
        match self.maybe_run {
            true => UpstreamOutcome::timed_out("the time ran out"),
            false => UpstreamOutcome::not_run(NotRunCause::TimedOut, HOLDER_RETRY),
        }
    }

    /// Returns the next pause, which must end before `until`; the one after it is longer.
    pub(super) fn next_pause(&mut self, now: Moment, until: Moment) -> Option<Duration> {
        let span = self.pause;
        if now + span > until {
            return None;
        }
        self.pause = (span * 2).min(PAUSE_MAX);
        Some(span)
    }
}
