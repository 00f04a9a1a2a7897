//! The time of day, as idempotency keys carry it.

use std::time::Duration;

use crate::newtype;

newtype::decimal! {
    /// Milliseconds since 1970 by the clock of some host, which may be off.
    WallTime
}

impl WallTime {
    /// Returns the time `span` later.
    pub fn saturating_add(self, span: Duration) -> Self {
        Self(
            self.0
                .saturating_add(u64::try_from(span.as_millis()).unwrap_or(u64::MAX)),
        )
    }

    /// Returns the time `span` earlier.
    pub fn saturating_sub(self, span: Duration) -> Self {
        Self(
            self.0
                .saturating_sub(u64::try_from(span.as_millis()).unwrap_or(u64::MAX)),
        )
    }
}
