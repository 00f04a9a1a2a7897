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
    /// Whether the value with the teams is not older than the one that `carried` takes into account.
    carries_teams: bool,
    /// Position as of which the values were refused.
    refused_at: Option<StorePosition>,
}

impl RoutingValues {
    /// Returns whether there are no values.
    pub(super) fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns whether values are in force that the store lost.
    fn has_lost(&self) -> bool {
        !self.lost.is_empty()
    }

    /// Returns whether these values are not in force, or not for long, without any further change.
    pub(super) fn is_unsettled(&self) -> bool {
        self.has_lost() || self.refused_at.is_some()
    }

    /// Records whether the values as of a position were refused, because routing of an earlier era
    /// is held.
    pub(super) fn record_refusal(&mut self, refused_at: Option<StorePosition>) {
        self.refused_at = refused_at;
    }

    /// Returns the position as of which the values were refused, to try again.
    pub(super) fn refused_at(&self) -> Option<StorePosition> {
        self.refused_at
    }

    /// Returns the version of the values as of the position `as_of`. That with lost values is below the
    /// one without them, which replaces it.
    pub(super) fn version(&self, as_of: StorePosition) -> DocumentVersion {
        let version = as_of.document_version();
        match self.has_lost() {
            true => version.previous(),
            false => version,
        }
    }

    /// Returns the version of an earlier era that the values take into account. Values that add keys to
    /// those in force, and may have them from the copy, take none into account, so that every daemon
    /// that adopts them notices it.
    pub(super) fn carried(&self, adds_keys: bool) -> DocumentVersion {
        match adds_keys && !self.carries_teams {
            true => DocumentVersion::default(),
            false => self.carried,
        }
    }

    /// Returns whether the values contain the teams that the store had at the last call.
    pub(super) fn is_known(&self, teams_key: &str) -> bool {
        let is_refused = self.may_be_outdated || self.refused_at.is_some();
        !self.is_empty() && !is_refused && !self.lost.contains_key(teams_key)
    }

    /// Returns whether the value with the teams is known to have been written in `era`, so that the
    /// store did not lose a later one by its return.
    pub(super) fn are_teams_written_in(&self, era: StoreEra) -> bool {
        self.teams_written_in == Some(era)
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
                self.carries_teams = true;
                self.merge_copy(now, range, teams_key);
            }
            _ => {
                if is_later_era {
                    self.carried = DocumentVersion::default();
                    self.carries_teams = false;
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
            self.carries_teams = true;
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

    /// Applies changes; returns the position of the newest one, or `None` if there is none. An operator
    /// who writes in this era replaces the routing of earlier ones up to `to_carry`.
    pub(super) fn apply(
        &mut self,
        watched: WatchedChanges,
        teams_key: &str,
        to_carry: DocumentVersion,
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
                        self.carries_teams = true;
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
        if newest.is_some() {
            self.carried = self.carried.max(to_carry);
        }
        newest
    }

    /// Replaces what the store lost by its content, if nobody has written it again in time, and if the
    /// result is newer than the routing `in_force`; returns whether that changed anything.
    pub(super) fn expire_lost(
        &mut self,
        now: Moment,
        teams_key: &str,
        in_force: Option<DocumentVersion>,
    ) -> bool {
        let is_newer = Some(self.as_of.document_version()) > in_force;
        let is_held = self.lost_until.is_some_and(|until| now < until);
        if !self.has_lost() || is_held || !is_newer {
            return false;
        }
        self.carries_teams &= !self.lost.contains_key(teams_key);
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
