//! The platform's key-value store, as the system uses it.
//!
//! What must outlast all processes lies here: the operators' routing, the assignment table, and
//! the wishes of processes that no member knows yet.

use std::time::Duration;

use thiserror::Error;

use crate::process::platform::Revision;

/// The key of the assignment table.
pub const TABLE_KEY: &str = "foxtaildrift/table";
/// The beginning of all keys of the system.
pub const KEY_PREFIX: &str = "foxtaildrift/";
/// The beginning of the keys under which new processes leave their wish to join.
pub const JOIN_REQUEST_PREFIX: &str = "foxtaildrift/joins/";
/// The most expected revisions, values and removals of one transaction, together.
pub const TRANSACTION_ENTRIES_MAX: usize = 32;

/// A value of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    /// Its key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The revision of its last change.
    pub revision: Revision,
}

/// The values under a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RangeResponse {
    /// The values, by key.
    pub items: Vec<KeyValue>,
    /// The store's revision before the first of them was read.
    pub as_of: Revision,
}

/// A change of a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyChange {
    /// The value was written.
    Put(KeyValue),
    /// The value was removed.
    Removed {
        /// Its key.
        key: String,
        /// The revision of the removal.
        revision: Revision,
    },
}

/// What a watch saw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchResponse {
    /// The changes after the revision asked for; none where the wait ran out.
    Changes {
        /// The changes in their order.
        changes: Vec<KeyChange>,
        /// The revision to go on from.
        as_of: Revision,
    },
    /// The changes after that revision are no longer known: the range must be read anew.
    HistoryLost,
}

/// Changes that take effect together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// The revisions that keys must have; zero where a key must be absent.
    pub expected: Vec<(String, Revision)>,
    /// The values to write.
    pub puts: Vec<(String, Vec<u8>)>,
    /// The keys to remove.
    pub removals: Vec<String>,
}

impl Transaction {
    /// Returns a write of the table that follows the one of `base`, with as many of the wishes
    /// `fulfilled` removed as fit; the others go with later tables.
    pub fn table_write(
        base: Revision,
        value: Vec<u8>,
        fulfilled: impl Iterator<Item = String>,
    ) -> Self {
        let mut transaction = Self {
            expected: vec![(TABLE_KEY.to_owned(), base)],
            puts: vec![(TABLE_KEY.to_owned(), value)],
            removals: Vec::new(),
        };
        let room = TRANSACTION_ENTRIES_MAX - transaction.entry_count();
        transaction.removals = fulfilled.take(room).collect();
        transaction
    }

    /// Returns how many entries the store counts.
    pub fn entry_count(&self) -> usize {
        self.expected.len() + self.puts.len() + self.removals.len()
    }
}

/// How a transaction ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// It took effect, as this revision.
    Done(Revision),
    /// A key had another revision than expected; nothing changed.
    Conflict,
}

/// A call to the store that failed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// No answer came; the call may have taken effect, or may still do so.
    #[error("the store does not answer: {0}")]
    NoAnswer(String),
    /// The store refused the call and did nothing.
    #[error("the store refused the call with status {0}")]
    Refused(u16),
    /// The answer makes no sense.
    #[error("the store sent a malformed answer: {0}")]
    Malformed(String),
}

/// The platform's key-value store.
pub trait Store: Send + Sync {
    /// Returns all values whose keys begin with `prefix`.
    ///
    /// # Errors
    ///
    /// Returns an error where the store does not answer well.
    fn range(&self, prefix: &str) -> Result<RangeResponse, StoreError>;

    /// Waits up to `wait` for changes after `after` of keys that begin with `prefix`.
    ///
    /// # Errors
    ///
    /// Returns an error where the store does not answer well.
    fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchResponse, StoreError>;

    /// Carries out a transaction.
    ///
    /// # Errors
    ///
    /// Returns an error where the store does not answer well; the transaction may have taken
    /// effect then, or may take effect later.
    fn commit(&self, transaction: &Transaction) -> Result<CommitOutcome, StoreError>;

    /// Ends all calls under way, and takes no more: the process stops.
    fn close(&self);
}
