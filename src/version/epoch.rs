//! The version of the assignment table.

use crate::newtype;

newtype::decimal! {
    /// A version of the assignment table; it rises by one with each write.
    Epoch
}

impl Epoch {
    /// Returns the epoch that follows.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
