//! The operators' routing values that the store has.

use std::collections::BTreeMap;

use crate::connection::protocol::OperatorProtocol;
use crate::process::platform::Revision;
use crate::process::store::{KeyChange, KeyValue, RangeResponse};
use crate::process::unreadable_entry::UnreadableEntry;
use crate::version::routing_config::RoutingConfig;

/// Routing values by key.
#[derive(Default)]
pub(super) struct RoutingValues {
    items: BTreeMap<String, KeyValue>,
    /// Values that were valid together the last time.
    valid_items: BTreeMap<String, KeyValue>,
    /// Whether the store may have newer teams than those in `items`: a value could not be read, or was
    /// refused.
    may_be_outdated: bool,
}

impl RoutingValues {
    /// Returns whether there are no values.
    pub(super) fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns whether the values contain the teams that the store had at the last call.
    pub(super) fn is_known(&self) -> bool {
        !self.is_empty() && !self.may_be_outdated
    }

    /// Replaces the values by those in `range`. A value that could not be read keeps its former
    /// content.
    pub(super) fn replace(&mut self, range: RangeResponse, teams_key: &str) {
        let has_teams = range.items.iter().any(|i| i.key == teams_key);
        self.may_be_outdated = !has_teams && range.may_hide(teams_key);
        self.items.retain(|key, _| range.may_hide(key));
        let items = range.items.into_iter().map(|i| (i.key.clone(), i));
        self.items.extend(items);
    }

    /// Applies changes; returns the revision of the newest one, or `None` if there is none.
    pub(super) fn apply(
        &mut self,
        changes: Vec<KeyChange>,
        unreadable: &[UnreadableEntry],
        teams_key: &str,
    ) -> Option<Revision> {
        let mut newest = Revision::default();
        for change in changes {
            match change {
                KeyChange::Put(item) => {
                    newest = newest.max(item.revision);
                    self.may_be_outdated &= item.key != teams_key;
                    self.items.insert(item.key.clone(), item);
                }
                KeyChange::Removed { key, revision } => {
                    newest = newest.max(revision);
                    self.items.remove(&key);
                }
            }
        }
        // An entry that could not be read may be newer than the changes.
        let mut keys = unreadable.iter().map(|entry| entry.key.as_deref());
        self.may_be_outdated |= keys.any(|key| key.is_none_or(|k| k == teams_key));
        (newest > Revision::default()).then_some(newest)
    }

    /// Parses the operators' routing values. An invalid one is replaced by the one that was valid the
    /// last time, so that later changes of the others still take effect.
    pub(super) fn parse(
        &mut self,
        protocol: &dyn OperatorProtocol,
        as_of: Revision,
    ) -> Option<RoutingConfig> {
        let refused = match protocol.parse(&to_items(&self.items)) {
            Ok(routing) => {
                self.valid_items = self.items.clone();
                return Some(routing);
            }
            Err(e) => e,
        };
        tracing::error!(event = "routing-refused", revision = %as_of, error = %refused);
        self.may_be_outdated = true;
        let valid = self.valid_items.get(&refused.key)?.clone();
        self.items.insert(refused.key, valid);
        match protocol.parse(&to_items(&self.items)) {
            Ok(routing) => Some(routing),
            Err(e) => {
                tracing::error!(event = "routing-refused", revision = %as_of, error = %e);
                None
            }
        }
    }
}

/// Returns the values as the operators' protocol takes them.
fn to_items(items: &BTreeMap<String, KeyValue>) -> Vec<KeyValue> {
    items.values().cloned().collect()
}
