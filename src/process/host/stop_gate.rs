//! Decides what a stopping process still takes. Every way into the process asks here: callers' requests,
//! those of other daemons, and requests that wait for their turn. Performs no I/O: callers pass in the
//! time.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::process::host::stop_schedule::StopSchedule;
use crate::process::moment::Moment;

/// What the process takes: everything until it starts to stop, then what ends before the stop does, and
/// nothing once the gate is closed.
#[derive(Debug, Default)]
pub struct StopGate {
    /// The times of the stop, once it has started.
    schedule: OnceLock<StopSchedule>,
    is_closed: AtomicBool,
}

impl StopGate {
    /// Starts the stop at `now`, of a process that is killed when `grace` has passed. Returns its times;
    /// those of the first call stay in force.
    pub fn start_stop(&self, now: Moment, grace: Duration) -> StopSchedule {
        *self.schedule.get_or_init(|| StopSchedule::new(now, grace))
    }

    /// Returns whether the process is about to stop.
    pub fn is_stopping(&self) -> bool {
        self.schedule.get().is_some()
    }

    /// Ends the time in which anything is taken or begun.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::SeqCst);
    }

    /// Returns whether nothing may be begun any more. A request that was taken earlier and still waits
    /// is refused: nothing shows that it could end in time.
    pub fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::SeqCst)
    }

    /// Returns whether a request that arrives at `now`, and whose sender waits for `remaining`, may be
    /// taken.
    pub fn admits(&self, now: Moment, remaining: Duration) -> bool {
        !self.is_closed() && self.schedule.get().is_none_or(|s| s.admits(now, remaining))
    }
}
