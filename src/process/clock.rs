//! The clocks of the host.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{self, ClockId};

use crate::process::moment::Moment;
use crate::process::wall_time::WallTime;

/// Tells the time; a trait, so that tests can set it.
pub trait Clock: Send + Sync {
    /// Returns the moment on a clock that runs through suspend.
    fn now(&self) -> Moment;

    /// Returns the time of day.
    fn wall_time(&self) -> WallTime;
}

/// The clocks of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Moment {
        let t = time::clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(t.tv_sec).unwrap_or(0);
        let nanos = u32::try_from(t.tv_nsec).unwrap_or(0);
        Moment::default() + Duration::new(seconds, nanos)
    }

    fn wall_time(&self) -> WallTime {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        WallTime(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
    }
}
