//! Positions in the history of the platform's store.

use std::fmt;

use crate::process::platform::Revision;
use crate::version::document_version::DocumentVersion;
use crate::version::store_era::StoreEra;

/// A revision of the store and the era that gave it out; a later era is above all earlier ones.
///
/// Only a client of the store creates positions other than those of absent values.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StorePosition {
    era: StoreEra,
    revision: Revision,
}

impl StorePosition {
    /// Creates the position that a response of the store shows.
    pub fn new(era: StoreEra, revision: Revision) -> Self {
        Self { era, revision }
    }

    /// Returns the position of a value that is absent in `era`.
    pub fn absent(era: StoreEra) -> Self {
        Self::new(era, Revision::default())
    }

    /// Returns the era that gave out the revision.
    pub fn era(self) -> StoreEra {
        self.era
    }

    /// Returns the revision, as calls to the store take it.
    pub fn revision(self) -> Revision {
        self.revision
    }

    /// Returns whether both have the same revision, whatever their eras.
    pub fn is_same_revision(self, other: Self) -> bool {
        self.revision == other.revision
    }

    /// Returns whether the revision is at most that of `other`, whatever their eras. A copy of the store
    /// has each value up to its last revision, so this tells what it may have.
    pub fn is_revision_at_most(self, other: Self) -> bool {
        self.revision <= other.revision
    }

    /// Returns the version of the operators' document as of this position.
    pub fn document_version(self) -> DocumentVersion {
        DocumentVersion {
            era: self.era,
            number: self.revision.0,
        }
    }
}

impl fmt::Display for StorePosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.document_version().fmt(f)
    }
}
