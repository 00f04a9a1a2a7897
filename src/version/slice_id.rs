//! The id of a slice.

use crate::newtype;

newtype::decimal! {
    /// The id of a slice of a service's keys: its number from zero, or, where slices are ranges of
    /// keys, the first key of the range.
    SliceId
}

impl SliceId {
    /// Returns the slice as an index into a service's assignments.
    pub fn index(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }
}
