//! The wall-clock time, as used in idempotency keys.

use std::time::Duration;

use crate::newtype;

newtype::decimal! {
    /// Milliseconds since 1970 (UTC) by the clock of some host, which may be inaccurate.
    WallTime
}

impl WallTime {
    /// Returns the time `span` later, at most the maximum.
    pub fn saturating_add(self, span: Duration) -> Self {
        Self(
            self.0
                .saturating_add(u64::try_from(span.as_millis()).unwrap_or(u64::MAX)),
        )
    }

    /// Returns the time `span` earlier, at least zero.
    pub fn saturating_sub(self, span: Duration) -> Self {
        Self(
            self.0
                .saturating_sub(u64::try_from(span.as_millis()).unwrap_or(u64::MAX)),
        )
    }
}
