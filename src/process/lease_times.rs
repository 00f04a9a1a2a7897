//! The durations of the lease protocol.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The durations of the lease protocol, the same on every daemon of an environment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseTimes {
    /// How often a lease holder renews.
    pub renewal_interval: Duration,
    /// How long a grant is valid, counted by the lease holder from when it sent the renewal.
    pub lease: Duration,
    /// How much longer than the lease a witness waits, to allow for clock drift.
    pub drift_margin: Duration,
    /// How long a session may stay lapsed before its holder ends it and starts a new one.
    pub give_up_after: Duration,
}

impl Default for LeaseTimes {
    fn default() -> Self {
        Self {
            renewal_interval: Duration::from_millis(500),
            lease: Duration::from_millis(2000),
            drift_margin: Duration::from_millis(100),
            give_up_after: Duration::from_secs(10),
        }
    }
}

impl LeaseTimes {
    /// Returns how long a witness waits after a renewal before it issues an end statement.
    pub fn expiry_delay(&self) -> Duration {
        self.lease + self.drift_margin
    }

    /// Returns how long after its start a process waits before it announces the end of the sessions
    /// of its former process, whose last renewal was sent before that.
    pub fn former_process_delay(&self) -> Duration {
        self.expiry_delay()
    }
}
