//! The interface to the platform's key-value store.
//!
//! The store keeps the state that must survive the restart of all processes: the operators' routing
//! configuration, the assignment table, and the join requests of processes that no member knows
//! yet.

use std::time::Duration;

use thiserror::Error;

use crate::process::store_position::StorePosition;
use crate::process::unreadable_entry::UnreadableEntry;
use crate::version::store_era::StoreEra;

/// The key of the assignment table.
pub const TABLE_KEY: &str = "foxtaildrift/table";
/// The prefix of the keys that the daemons write and watch.
pub const KEY_PREFIX: &str = "foxtaildrift/";
/// The prefix of the keys under which new processes store their join requests.
pub const JOIN_REQUEST_PREFIX: &str = "foxtaildrift/joins/";
/// The prefix of the keys under which daemons store which processes of their upstreams will stop. No
/// daemon watches it.
pub const DEPARTURES_PREFIX: &str = "foxtaildrift-departures/";
/// The maximum number of expected revisions, writes and removals of one transaction, together.
pub const TRANSACTION_ENTRIES_MAX: usize = 32;

/// A key of the store with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    /// The key of the value.
    pub key: String,
    /// The content of the value.
    pub value: Vec<u8>,
    /// The position of its last change.
    pub position: StorePosition,
}

/// The values whose keys start with a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RangeResponse {
    /// The values, in the order of their keys.
    pub items: Vec<KeyValue>,
    /// The store's position before the first value was read; a watch continues from it.
    pub as_of: StorePosition,
    /// The entries that could not be read; their keys have values all the same.
    pub unreadable: Vec<UnreadableEntry>,
}

impl RangeResponse {
    /// Returns the newest position of the content. A value may have been written after the first one
    /// was read.
    pub fn newest_position(&self) -> StorePosition {
        let positions = self.items.iter().map(|i| i.position);
        positions.fold(self.as_of, Ord::max)
    }

    /// Returns whether one of the entries that could not be read may be that of `key`.
    pub fn may_hide(&self, key: &str) -> bool {
        let mut keys = self.unreadable.iter().map(|entry| entry.key.as_deref());
        keys.any(|unreadable| unreadable.is_none_or(|k| k == key))
    }
}

/// A change of a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyChange {
    /// The value was written.
    Put(KeyValue),
    /// The value was removed.
    Removed {
        /// The key of the removed value.
        key: String,
        /// The position of the removal.
        position: StorePosition,
    },
}

/// The result of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchResponse {
    /// The changes after the requested position; empty if the wait timed out.
    Changes {
        /// The changes, oldest first.
        changes: Vec<KeyChange>,
        /// The position to continue the watch from.
        as_of: StorePosition,
        /// The changes that could not be read; the earlier values of their keys stay in force.
        unreadable: Vec<UnreadableEntry>,
    },
    /// The store no longer has the changes after the requested position, so the range must be read
    /// again.
    HistoryLost,
    /// The store came back from an older copy, so the range must be read again, in the new era.
    EraChanged,
}

/// Changes that take effect together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// The positions that keys must have; that of an absent value if a key must be absent.
    pub expected: Vec<(String, StorePosition)>,
    /// The values to write.
    pub puts: Vec<(String, Vec<u8>)>,
    /// The keys to remove.
    pub removals: Vec<String>,
}

impl Transaction {
    /// Returns a transaction that replaces the table of the position `base`, and removes as many of
    /// the `fulfilled` join requests as fit. The remaining ones are removed with later tables.
    pub fn table_write(
        base: StorePosition,
        value: Vec<u8>,
        fulfilled: impl Iterator<Item = String>,
    ) -> Self {
        let mut transaction = Self {
            expected: vec![(TABLE_KEY.to_owned(), base)],
            puts: vec![(TABLE_KEY.to_owned(), value)],
            removals: Vec::new(),
        };
        let free_entries = TRANSACTION_ENTRIES_MAX - transaction.entry_count();
        transaction.removals = fulfilled.take(free_entries).collect();
        transaction
    }

    /// Returns the number of entries, which the store limits to [`TRANSACTION_ENTRIES_MAX`].
    pub fn entry_count(&self) -> usize {
        self.expected.len() + self.puts.len() + self.removals.len()
    }
}

/// The outcome of a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// The transaction took effect at this position.
    Done(StorePosition),
    /// A key had another position than expected, and nothing was changed.
    Conflict,
    /// The transaction took effect in a later era than that of the expected positions, so perhaps on
    /// other content whose revision was given out again.
    EraChanged,
}

/// Why a call to the store failed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// No response arrived; the call may have taken effect, or may still do so.
    #[error("the store does not answer: {0}")]
    NoResponse(String),
    /// The store refused the call and changed nothing.
    #[error("the store refused the call with status {0}")]
    Refused(u16),
    /// The response can't be decoded.
    #[error("the store sent a malformed answer: {0}")]
    Malformed(String),
    /// The response is of an earlier era than one before it, or the era changed between the pages of a
    /// range.
    #[error("the store sent an answer of era {0}, which another one replaced")]
    OtherEra(StoreEra),
}

/// A client of the platform's key-value store.
pub trait Store: Send + Sync {
    /// Returns all values whose keys start with `prefix`.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
    fn range(&self, prefix: &str) -> Result<RangeResponse, StoreError>;

    /// Waits up to `wait` for changes, after the position `after`, of keys that start with
    /// `prefix`.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails.
    fn watch(
        &self,
        prefix: &str,
        after: StorePosition,
        wait: Duration,
    ) -> Result<WatchResponse, StoreError>;

    /// Executes a transaction.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails; the transaction may have taken effect, or may take
    /// effect later, unless the store refused it.
    fn commit(&self, transaction: &Transaction) -> Result<CommitOutcome, StoreError>;

    /// Aborts all calls in progress and rejects new ones, because the process stops.
    fn close(&self);
}
