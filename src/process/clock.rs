//! The monotonic clock and the wall clock of the host.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{self, ClockId};

use crate::process::moment::Moment;
use crate::process::wall_time::WallTime;

/// A source of time; tests implement it with times that they set.
pub trait Clock: Send + Sync {
    /// Returns the time of the monotonic clock, which includes time in suspend.
    fn now(&self) -> Moment;

    /// Returns the wall-clock time.
    fn wall_time(&self) -> WallTime;
}

/// The clocks of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Moment {
        let since_boot = time::clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(since_boot.tv_sec).unwrap_or(0);
        let nanos = u32::try_from(since_boot.tv_nsec).unwrap_or(0);
        Moment::default() + Duration::new(seconds, nanos)
    }

    fn wall_time(&self) -> WallTime {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        WallTime(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
    }
}
