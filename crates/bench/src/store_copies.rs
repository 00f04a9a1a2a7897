//! The copies from which the store's stand-in can come back, and what operators have written.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// How long copies are kept.
const COPY_TIME: Duration = Duration::from_secs(60);

/// The value and revision of each key.
pub type Items = BTreeMap<String, (String, u64)>;

/// The content of the store after a transaction.
#[derive(Clone, Debug, Default)]
pub struct StoreCopy {
    /// The values.
    pub items: Items,
    /// The revision of the transaction.
    pub revision: u64,
}

/// The content after each of the latest transactions, and the keys that operators wrote.
#[derive(Default)]
pub struct StoreCopies {
    copies: VecDeque<(Instant, StoreCopy)>,
    operator_values: BTreeMap<String, Option<String>>,
}

impl StoreCopies {
    /// Records the content after a transaction.
    pub fn record(&mut self, now: Instant, copy: StoreCopy) {
        self.copies.push_back((now, copy));
        while self.copies.len() > 1 && now.duration_since(self.copies[1].0) > COPY_TIME {
            self.copies.pop_front();
        }
    }

    /// Returns the content as it was `age` ago, and forgets all later ones.
    pub fn take(&mut self, now: Instant, age: Duration) -> StoreCopy {
        while let Some((at, copy)) = self.copies.back() {
            if now.duration_since(*at) >= age {
                return copy.clone();
            }
            self.copies.pop_back();
        }
        StoreCopy::default()
    }

    /// Records that an operator wrote a value, or removed it if it is `None`.
    pub fn record_operator(&mut self, key: &str, value: Option<&str>) {
        self.operator_values
            .insert(key.to_owned(), value.map(str::to_owned));
    }

    /// Returns the operators' keys whose value in `items` is not the one last written, each with that
    /// value.
    pub fn lost_operator_values(&self, items: &Items) -> Vec<(String, Option<String>)> {
        let is_lost = |(key, value): &(&String, &Option<String>)| {
            items.get(*key).map(|(stored, _)| stored) != value.as_ref()
        };
        let lost = self.operator_values.iter().filter(is_lost);
        lost.map(|(key, value)| (key.clone(), value.clone()))
            .collect()
    }
}
