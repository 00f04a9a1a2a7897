//! The values that a daemon has seen in the store, to tell those of an older copy from new ones.

use std::collections::VecDeque;

use crate::process::store::KeyValue;
use crate::process::store_position::StorePosition;
use crate::version::key_hash::KeyHash;

/// Number of values that are remembered. Operators change routing a few times a minute, and copies are
/// seconds old.
const KNOWN_MAX: usize = 1024;

/// One value.
struct KnownValue {
    key: String,
    position: StorePosition,
    content: KeyHash,
}

/// The latest values, oldest first.
#[derive(Default)]
pub(super) struct KnownValues {
    values: VecDeque<KnownValue>,
    /// Position after which all values are known, unless there were too many.
    from: Option<StorePosition>,
}

impl KnownValues {
    /// Records the position of the first read, unless it is known.
    pub(super) fn begin(&mut self, as_of: StorePosition) {
        self.from.get_or_insert(as_of);
    }

    /// Records a value that the store has.
    pub(super) fn record(&mut self, item: &KeyValue) {
        if self.has_seen(item) {
            return;
        }
        self.values.push_back(KnownValue {
            key: item.key.clone(),
            position: item.position,
            content: KeyHash::of(&item.value),
        });
        if self.values.len() > KNOWN_MAX {
            let oldest = self.values.pop_front().map(|oldest| oldest.position);
            self.from = self.from.max(oldest);
        }
    }

    /// Returns whether an item of a new era was written in that era, or later than `kept`, the value of
    /// its key that is in force. One with a higher revision than `kept` was not replaced by it.
    pub(super) fn is_new(&self, item: &KeyValue, kept: Option<&KeyValue>) -> bool {
        let is_later = kept.is_some_and(|k| !item.position.is_revision_at_most(k.position));
        !self.is_copied(item) || is_later && !self.has_seen(item)
    }

    /// Returns whether an item of a new era was in the copy from which the store came back: it was
    /// known before, or its revision is from before the first read. A revision given out again
    /// for other content is not.
    fn is_copied(&self, item: &KeyValue) -> bool {
        let is_older = |from: StorePosition| item.position.is_revision_at_most(from);
        self.has_seen(item) || self.from.is_some_and(is_older) && !self.has_revision(item)
    }

    fn has_seen(&self, item: &KeyValue) -> bool {
        let content = KeyHash::of(&item.value);
        let mut same = self.values.iter().filter(|v| v.key == item.key);
        same.any(|v| v.position.is_same_revision(item.position) && v.content == content)
    }

    /// Returns whether a value of any key is known at the revision of `item`.
    fn has_revision(&self, item: &KeyValue) -> bool {
        let mut positions = self.values.iter().map(|v| v.position);
        positions.any(|position| position.is_same_revision(item.position))
    }
}
