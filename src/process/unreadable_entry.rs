//! An entry of the store that can't be read.

/// An entry of a response of the store that can't be read, such as one of another writer. The other
/// entries of the response are used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadableEntry {
    /// The key of the entry, if that could be read.
    pub key: Option<String>,
    /// Why the entry can't be read.
    pub reason: String,
}
