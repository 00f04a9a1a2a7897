//! The times of a graceful stop. Performs no I/O: callers pass in the time.

use std::time::Duration;

use crate::process::moment::Moment;

/// Fraction of the grace period after which no request is taken that may outlast it. A caller's
/// request of the second half must not be cut off, and this process learns of its stop later than
/// the caller.
const LAST_ADMISSION_FRACTION: f64 = 0.45;
/// Time after which no request is taken that may outlast the grace period, however long that is.
/// Callers that follow the readiness of the host have left it 3 s after the signal.
const LAST_ADMISSION_MAX: Duration = Duration::from_millis(2700);
/// Fraction of the grace period after which no new connections are accepted.
const CLOSE_FRACTION: f64 = 0.55;
/// Part of the grace period that is left when the last connections are closed.
const MARGIN: Duration = Duration::from_millis(300);

/// The times of one stop.
#[derive(Clone, Copy, Debug)]
pub struct StopSchedule {
    started: Moment,
    grace: Duration,
}

impl StopSchedule {
    /// Creates the schedule of a stop that started at `started`, and after which the process is
    /// killed when `grace` has passed.
    pub fn new(started: Moment, grace: Duration) -> Self {
        Self { started, grace }
    }

    /// Returns when the listener stops accepting connections.
    pub fn close_at(&self) -> Moment {
        self.started + self.grace.mul_f64(CLOSE_FRACTION)
    }

    /// Returns when the last connections are closed.
    pub fn deadline(&self) -> Moment {
        self.started + self.grace.saturating_sub(MARGIN)
    }

    /// Returns until when requests are taken whatever the time that their callers wait.
    fn last_admission(&self) -> Moment {
        let since_start = self.grace.mul_f64(LAST_ADMISSION_FRACTION);
        self.started + since_start.min(LAST_ADMISSION_MAX)
    }

    /// Returns whether a request may be taken at `now` whose caller waits for `remaining`. One that
    /// comes late and may outlast the stop would be cut off; elsewhere it can be finished.
    pub fn admits(&self, now: Moment, remaining: Duration) -> bool {
        now < self.last_admission() || now + remaining <= self.deadline()
    }
}
