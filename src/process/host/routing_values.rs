//! The operators' routing values: those of the store, and those that it lost when it came back from an
//! older copy.

use std::collections::BTreeMap;

use crate::connection::protocol::OperatorProtocol;
use crate::process::era_knowledge::HOLD_TIME;
use crate::process::host::known_values::KnownValues;
use crate::process::host::store_watch::WatchedChanges;
use crate::process::moment::Moment;
use crate::process::store::{KeyChange, KeyValue, RangeResponse};
use crate::process::store_position::StorePosition;
use crate::version::document_version::DocumentVersion;
use crate::version::routing_config::RoutingConfig;
use crate::version::store_era::StoreEra;

/// Routing values by key.
#[derive(Default)]
pub(super) struct RoutingValues {
    /// Values in force.
    items: BTreeMap<String, KeyValue>,
    /// Values that were valid together the last time.
    valid_items: BTreeMap<String, KeyValue>,
    /// Keys whose value or removal the store lost and that stays in force, each with what the copy
    /// has instead.
    lost: BTreeMap<String, Option<KeyValue>>,
    /// When the store's content replaces what it lost.
    lost_until: Option<Moment>,
    known: KnownValues,
    /// Position up to which the values are known.
    as_of: StorePosition,
    /// Version of an earlier era that the values take into account.
    carried: DocumentVersion,
    /// Whether the store may have newer teams than those in `items`: a value could not be read, or was
    /// refused.
    may_be_outdated: bool,
    /// The era in which the value with the teams is known to have been written.
    teams_written_in: Option<StoreEra>,
    /// The version that the daemon's routing would have with these values, if it was refused.
    refused: Option<DocumentVersion>,
}

impl RoutingValues {
    /// Returns whether there are no values.
    pub(super) fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns the version of an earlier era that the values take into account.
    pub(super) fn carried(&self) -> DocumentVersion {
        self.carried
    }

    /// Returns whether the values contain the teams that the store had at the last call.
    pub(super) fn is_known(&self, teams_key: &str) -> bool {
        !self.is_empty() && !self.may_be_outdated && !self.lost.contains_key(teams_key)
    }

    /// Returns whether the value with the teams is known to have been written in `era`, so that the
    /// store did not lose a later one by its return.
    pub(super) fn are_teams_written_in(&self, era: StoreEra) -> bool {
        self.teams_written_in == Some(era)
    }

    /// Records whether the routing with these values, of `version`, was adopted.
    pub(super) fn record_adoption(&mut self, version: DocumentVersion, is_adopted: bool) {
        self.refused = (!is_adopted).then_some(version);
    }

    /// Returns whether a routing `in_force` is that of these values, or a later one.
    pub(super) fn is_applied(&self, in_force: DocumentVersion) -> bool {
        self.refused.is_none_or(|refused| in_force >= refused)
    }

    /// Replaces the values by those in `range`. A value that could not be read keeps its former
    /// content, and so does one that the store lost by coming back from an older copy, if these values
    /// are those of the routing `in_force`.
    pub(super) fn replace(
        &mut self,
        now: Moment,
        range: RangeResponse,
        teams_key: &str,
        in_force: Option<DocumentVersion>,
    ) {
        let as_of = range.as_of;
        let has_teams = range.items.iter().any(|i| i.key == teams_key);
        self.may_be_outdated = !has_teams && range.may_hide(teams_key);
        let is_later_era = as_of.era() > self.as_of.era();
        let known_up_to = self.as_of.document_version();
        match in_force.filter(|version| *version <= known_up_to) {
            Some(version) if is_later_era => {
                self.carried = version;
                self.merge_copy(now, range, teams_key);
            }
            _ => {
                if is_later_era {
                    self.carried = DocumentVersion::default();
                    self.lost.clear();
                } else {
                    self.record_teams_of(&range, teams_key);
                }
                self.refresh(range);
            }
        }
        self.known.begin(as_of);
        self.as_of = as_of;
    }

    /// Records whether the value with the teams, in a `range` of the era of the values, was written
    /// since the last call.
    fn record_teams_of(&mut self, range: &RangeResponse, teams_key: &str) {
        let Some(item) = range.items.iter().find(|i| i.key == teams_key) else {
            return;
        };
        let known = match self.lost.get(teams_key) {
            Some(copied) => copied.as_ref(),
            None => self.items.get(teams_key),
        };
        if known.is_some_and(|known| known.position < item.position) {
            self.teams_written_in = Some(item.position.era());
        }
    }

    /// Replaces the values by those in a `range` of the present era.
    fn refresh(&mut self, range: RangeResponse) {
        let in_store = |key: &str| range.items.iter().find(|i| i.key == key);
        let position = |item: Option<&KeyValue>| item.map(|i| i.position);
        self.lost.retain(|key, copied| {
            range.may_hide(key) || position(in_store(key)) == position(copied.as_ref())
        });
        let lost = &self.lost;
        self.items
            .retain(|key, _| range.may_hide(key) || lost.contains_key(key));
        for item in range.items {
            self.known.record(&item);
            if !self.lost.contains_key(&item.key) {
                self.items.insert(item.key.clone(), item);
            }
        }
    }

    /// Merges the first `range` of a new era into the values known from the former one.
    fn merge_copy(&mut self, now: Moment, range: RangeResponse, teams_key: &str) {
        let mut former = std::mem::take(&mut self.items);
        let already_lost = std::mem::take(&mut self.lost);
        self.lost_until = Some(now + HOLD_TIME);
        let known = &self.known;
        let copied = range.items.iter();
        let copied = copied.filter(|i| !known.is_new(i, former.get(&i.key)));
        let copied_up_to = copied.map(|i| i.position).max();
        let is_in_copy = |item: &KeyValue| {
            !already_lost.contains_key(&item.key)
                && copied_up_to.is_some_and(|position| item.position.is_revision_at_most(position))
        };
        for key in range.unreadable.iter().filter_map(|e| e.key.as_ref()) {
            if let Some(item) = former.remove(key) {
                self.items.insert(key.clone(), item);
            }
        }
        let may_hide_any = range.unreadable.iter().any(|e| e.key.is_none());
        for item in range.items {
            let key = item.key.clone();
            let kept = former.remove(&key);
            let is_same = kept.as_ref().is_some_and(|k| k.value == item.value);
            let is_new = self.known.is_new(&item, kept.as_ref());
            // One above the known positions may be from the copy as well.
            let was_known = item.position.is_revision_at_most(self.as_of);
            if key == teams_key && is_new && was_known {
                self.teams_written_in = Some(range.as_of.era());
            }
            if is_same || is_new {
                self.known.record(&item);
                self.items.insert(key, item);
                continue;
            }
            self.items.extend(kept.map(|k| (key.clone(), k)));
            self.lost.insert(key, Some(item));
        }
        for (key, item) in former {
            // The copy had this value, so it was removed since.
            if is_in_copy(&item) && !may_hide_any {
                continue;
            }
            self.lost.insert(key.clone(), None);
            self.items.insert(key, item);
        }
        if !self.lost.is_empty() {
            let keys: Vec<&str> = self.lost.keys().map(String::as_str).collect();
            tracing::warn!(event = "routing-kept", keys = keys.join(","), as_of = %range.as_of);
        }
    }

    /// Applies changes; returns the position of the newest one, or `None` if there is none.
    pub(super) fn apply(
        &mut self,
        watched: WatchedChanges,
        teams_key: &str,
        in_force: Option<DocumentVersion>,
    ) -> Option<StorePosition> {
        self.as_of = self.as_of.max(watched.as_of);
        let mut newest = None;
        for change in watched.changes {
            let position = match change {
                KeyChange::Put(item) => {
                    self.known.record(&item);
                    self.lost.remove(&item.key);
                    if item.key == teams_key {
                        self.may_be_outdated = false;
                        self.teams_written_in = Some(item.position.era());
                    }
                    let position = item.position;
                    self.items.insert(item.key.clone(), item);
                    position
                }
                KeyChange::Removed { key, position } => {
                    self.lost.remove(&key);
                    self.items.remove(&key);
                    position
                }
            };
            newest = newest.max(Some(position));
        }
        // An entry that could not be read may be newer than the changes.
        let mut hidden = watched.unreadable.iter().map(|entry| entry.key.as_deref());
        self.may_be_outdated |= hidden.any(|key| key.is_none_or(|k| k == teams_key));
        // An operator who writes in this era replaces the routing of earlier ones.
        if let (Some(newest), Some(version)) = (newest, in_force)
            && version.era < newest.era()
        {
            self.carried = self.carried.max(version);
        }
        newest
    }

    /// Replaces what the store lost by its content, if nobody has written it again in time; returns
    /// whether that changed anything.
    pub(super) fn expire_lost(&mut self, now: Moment) -> bool {
        if self.lost.is_empty() || self.lost_until.is_some_and(|until| now < until) {
            return false;
        }
        // Daemons with teams of the lost time must know that these values have them no more.
        self.carried = DocumentVersion::default();
        for (key, copied) in std::mem::take(&mut self.lost) {
            tracing::warn!(event = "routing-dropped", key);
            match copied {
                Some(item) => _ = self.items.insert(key, item),
                None => _ = self.items.remove(&key),
            }
        }
        true
    }

    /// Parses the operators' routing values. An invalid one is replaced by the one that was valid the
    /// last time, so that later changes of the others still take effect.
    pub(super) fn parse(
        &mut self,
        protocol: &dyn OperatorProtocol,
        as_of: StorePosition,
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
