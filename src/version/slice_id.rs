//! The number of a slice.

use crate::newtype;

newtype::decimal! {
    /// A hash range of a service's keys, counted from zero.
    SliceId
}

impl SliceId {
    /// Returns the slice as an index into a service's assignments.
    pub fn index(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }
}
