//! The version of the assignment table.

use crate::newtype;

newtype::decimal! {
    /// A version of the assignment table; each write increments it.
    Epoch
}

impl Epoch {
    /// Returns the following epoch.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
