//! The times that a lease goes by.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The times of the lease protocol, the same on every daemon of an environment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseTimes {
    /// How often a holder renews.
    pub renewal_interval: Duration,
    /// How long a grant holds, counted by the holder from the sending of its renewal.
    pub lease: Duration,
    /// What a witness waits on top of the lease, for clocks that drift.
    pub drift_margin: Duration,
    /// How long a session may stay lapsed before its holder gives it up for a new one.
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
    /// Returns how long a witness waits after a renewal before it states an end.
    pub fn expiry_delay(&self) -> Duration {
        self.lease + self.drift_margin
    }
}
