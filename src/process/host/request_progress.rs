//! Progress of one caller's request: its deadlines, its attempts, and whether an upstream may have
//! run it.

use std::time::Duration;

use crate::process::host::grant_wait::MOVE_WAIT_DIVISOR;
use crate::process::moment::Moment;
use crate::request::upstream_load::UpstreamLoad;
use crate::request::upstream_outcome::{NotRunCause, UpstreamOutcome};
use crate::request::upstream_request::UpstreamRequest;
use crate::version::instance_id::InstanceId;

/// A request waits its objective divided by this for a key without an owner.
const NO_OWNER_WAIT_DIVISOR: u32 = 6;
/// First pause before another attempt at a key without an owner or a moving key.
const RETRY_PAUSE_MIN: Duration = Duration::from_millis(4);
/// Least time left at which an attempt is worthwhile.
const ATTEMPT_TIME_MIN: Duration = Duration::from_millis(10);
/// Longest pause before another attempt at a key without an owner or a moving key.
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(25);
/// Retry delay returned to a caller whose key has just lost its owner.
pub(super) const OWNER_RETRY_AFTER: Duration = Duration::from_millis(800);

/// Facts about a request for its log line.
pub(super) struct RequestTrace {
    /// Time from the arrival of the head until the request was handled.
    pub(super) queued: Duration,
    /// Number of attempts, whether or not they reached an upstream.
    pub(super) attempts: u32,
    /// Daemon whose upstream was tried last.
    pub(super) upstream_daemon: Option<InstanceId>,
    /// Load reported with the latest attempt.
    pub(super) load: Option<UpstreamLoad>,
}

/// Deadlines and attempts of one request.
pub(super) struct RequestProgress {
    deadline: Moment,
    objective: Moment,
    /// Until when the request waits for a key without an owner.
    pub(super) no_owner_deadline: Moment,
    /// Until when the request waits for a key that is moving.
    pub(super) move_deadline: Moment,
    pause: Duration,
    /// Limit of `sends`.
    max_sends: u32,
    /// How many upstreams shed the request or may have run it.
    sends: u32,
    /// Whether an upstream may have run the request.
    pub(super) may_have_run: bool,
    pub(super) trace: RequestTrace,
}

impl RequestProgress {
    /// Starts the progress of a request that at most `max_sends` upstreams may receive.
    pub(super) fn new(now: Moment, request: &UpstreamRequest, max_sends: u32) -> Self {
        Self {
            deadline: now + request.remaining,
            objective: now + request.objective,
            no_owner_deadline: now + request.objective / NO_OWNER_WAIT_DIVISOR,
            move_deadline: now + request.objective / MOVE_WAIT_DIVISOR,
            pause: RETRY_PAUSE_MIN,
            max_sends,
            sends: 0,
            may_have_run: false,
            trace: RequestTrace {
                queued: Duration::ZERO,
                attempts: 0,
                upstream_daemon: None,
                load: None,
            },
        }
    }

    /// Updates the time left of the request; returns whether another attempt is worthwhile.
    pub(super) fn update_time_left(&self, now: Moment, request: &mut UpstreamRequest) -> bool {
        request.remaining = self.deadline.since(now);
        request.objective = self.objective.since(now);
        request.remaining >= ATTEMPT_TIME_MIN
    }

    /// Records the outcome of an attempt.
    pub(super) fn record(&mut self, outcome: &UpstreamOutcome) {
        match outcome {
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

    /// Returns whether another upstream may receive the request.
    pub(super) fn may_send_again(&self) -> bool {
        self.sends < self.max_sends
    }

    /// Returns the outcome of a request whose deadline passed.
    pub(super) fn timeout_outcome(&self) -> UpstreamOutcome {
        match self.may_have_run {
            true => UpstreamOutcome::timed_out("the time ran out"),
            false => UpstreamOutcome::not_run(NotRunCause::TimedOut, OWNER_RETRY_AFTER),
        }
    }

    /// Returns the next pause, or `None` if it would end after `deadline`; the pause doubles each
    /// time.
    pub(super) fn next_pause(&mut self, now: Moment, deadline: Moment) -> Option<Duration> {
        let pause = self.pause;
        if now + pause > deadline {
            return None;
        }
        self.pause = (pause * 2).min(RETRY_PAUSE_MAX);
        Some(pause)
    }
}
