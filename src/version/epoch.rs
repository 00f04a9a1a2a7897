//! The version of the assignment table.

use crate::newtype;

newtype::decimal! {
    /// A version of the assignment table; each write increments it.
    Epoch
}

impl Epoch {
    /// The last epoch that a table may have: fencing tokens have no room for a later one.
    pub const LAST: Self = Self((1 << 44) - 1);

    /// Returns the following epoch, or the same one if the number is the largest.
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}
