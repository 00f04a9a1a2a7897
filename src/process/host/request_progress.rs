//! The course of one request at the daemon that took it: its times, its tries, and whether an
//! upstream may have run it.

use std::time::Duration;

use crate::process::moment::Moment;
use crate::request::upstream_load::UpstreamLoad;
use crate::request::upstream_outcome::{NotRunCause, UpstreamOutcome};
use crate::request::upstream_request::UpstreamRequest;
use crate::version::instance_id::InstanceId;

/// The part of the objective that a request waits for a key without a holder.
const NO_OWNER_WAIT_DIVISOR: u32 = 6;
/// The part of the objective that it waits for a key that moves.
const MOVE_WAIT_DIVISOR: u32 = 2;
/// The first pause before another try for such a key.
const RETRY_PAUSE_MIN: Duration = Duration::from_millis(4);
/// The least time that is worth a try.
const ATTEMPT_TIME_MIN: Duration = Duration::from_millis(10);
/// The longest such pause.
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(25);
/// How long a caller is told to wait for a holder that has just been lost.
pub(super) const OWNER_RETRY_AFTER: Duration = Duration::from_millis(800);

/// How a request went, for its log line.
pub(super) struct RequestTrace {
    /// How often it was tried.
    pub(super) attempts: u32,
    /// The process beside the upstream tried last.
    pub(super) upstream_daemon: Option<InstanceId>,
    /// The load that was told last.
    pub(super) load: Option<UpstreamLoad>,
}

/// Where a request is on its way.
pub(super) struct RequestProgress {
    deadline: Moment,
    objective: Moment,
    /// Until when it waits for a key without a holder.
    pub(super) no_owner_deadline: Moment,
    /// Until when it waits for a key that moves.
    pub(super) move_deadline: Moment,
    pause: Duration,
    /// The most upstreams that it may be given to, and to how many it was.
    max_sends: u32,
    sends: u32,
    /// Whether an upstream may have run it.
    pub(super) may_have_run: bool,
    pub(super) trace: RequestTrace,
}

impl RequestProgress {
    /// Begins the course of an order that may be given to so many upstreams.
    pub(super) fn new(now: Moment, order: &UpstreamRequest, max_sends: u32) -> Self {
        Self {
            deadline: now + order.remaining,
            objective: now + order.objective,
            no_owner_deadline: now + order.objective / NO_OWNER_WAIT_DIVISOR,
            move_deadline: now + order.objective / MOVE_WAIT_DIVISOR,
            pause: RETRY_PAUSE_MIN,
            max_sends,
            sends: 0,
            may_have_run: false,
            trace: RequestTrace {
                attempts: 0,
                upstream_daemon: None,
                load: None,
            },
        }
    }

    /// Sets what is left of the order's times; returns whether that is worth a try.
    pub(super) fn update_time_left(&self, now: Moment, order: &mut UpstreamRequest) -> bool {
        order.remaining = self.deadline.since(now);
        order.objective = self.objective.since(now);
        order.remaining >= ATTEMPT_TIME_MIN
    }

    /// Notes how a try ended.
    pub(super) fn record(&mut self, verdict: &UpstreamOutcome) {
        match verdict {
            UpstreamOutcome::Ran(_) => {}
            UpstreamOutcome::NotRun { cause, .. } => {
                self.sends += u32::from(*cause == NotRunCause::Shed)
            }
            UpstreamOutcome::Unknown { .. } => {
                self.may_have_run = true;
                self.sends += 1;
            }
        }
    }

    /// Returns whether another upstream may get it.
    pub(super) fn may_send_again(&self) -> bool {
        self.sends < self.max_sends
    }

    /// Returns the verdict on an order whose time ran out.
    pub(super) fn timeout_outcome(&self) -> UpstreamOutcome {
        match self.may_have_run {
            true => UpstreamOutcome::timed_out("the time ran out"),
            false => UpstreamOutcome::not_run(NotRunCause::TimedOut, OWNER_RETRY_AFTER),
        }
    }

    /// Returns the next pause, which must end before `until`; the one after it is longer.
    pub(super) fn next_pause(&mut self, now: Moment, until: Moment) -> Option<Duration> {
        let pause = self.pause;
        if now + pause > until {
            return None;
        }
        self.pause = (pause * 2).min(RETRY_PAUSE_MAX);
        Some(pause)
    }
}
