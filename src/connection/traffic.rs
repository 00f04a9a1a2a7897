//! Counts what a daemon sends to other daemons and asks of the store, by kind.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Mutex;

use crate::process::sync;

/// How many messages of one kind were sent, and their size.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficCount {
    /// The number of messages.
    pub messages: u64,
    /// Their size, in bytes.
    pub bytes: u64,
}

/// The traffic of a daemon since it started.
#[derive(Debug, Default)]
pub struct Traffic {
    counts: Mutex<BTreeMap<&'static str, TrafficCount>>,
}

impl Traffic {
    /// Counts a message of `bytes` bytes.
    pub fn record(&self, kind: &'static str, bytes: usize) {
        let mut counts = sync::lock(&self.counts);
        let count = counts.entry(kind).or_default();
        count.messages += 1;
        count.bytes += u64::try_from(bytes).unwrap_or(u64::MAX);
    }

    /// Returns the counts of a kind.
    pub fn count(&self, kind: &str) -> TrafficCount {
        let counts = sync::lock(&self.counts);
        counts.get(kind).copied().unwrap_or_default()
    }

    /// Returns all counts as `kind=messages/bytes`, separated by spaces.
    pub fn summary(&self) -> String {
        let mut text = String::new();
        for (kind, count) in sync::lock(&self.counts).iter() {
            let separator = if text.is_empty() { "" } else { " " };
            // Writing to a string never fails.
            let _ = write!(text, "{separator}{kind}={}/{}", count.messages, count.bytes);
        }
        text
    }
}
