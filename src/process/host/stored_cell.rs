//! The table and the join requests that the store has, and this daemon's place among the planners.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

use crate::process::host::stored_table::StoredTable;
use crate::process::membership::Membership;
use crate::process::store::{JOIN_REQUEST_PREFIX, KeyChange, KeyValue, RangeResponse, TABLE_KEY};
use crate::process::store_position::StorePosition;
use crate::process::sync;
use crate::version::instance_id::InstanceId;
use crate::version::member::MemberInfo;
use crate::version::session_id::SessionId;
use crate::version::store_era::StoreEra;
use crate::version::table::Table;

#[derive(Default)]
struct State {
    /// `None` until the store was read.
    stored: Option<StoredTable>,
    /// Join requests by key.
    join_requests: BTreeMap<String, MemberInfo>,
    /// Sessions of these requests that were members in an adopted table. One that is none any more has
    /// ended; a daemon that does not watch the store learns late that its request was removed.
    admitted: BTreeSet<SessionId>,
}

/// Cell of this daemon as the store has it.
pub(super) struct StoredCell {
    /// Membership of this daemon.
    pub(super) membership: Arc<Membership>,
    /// Instance id of this daemon.
    pub(super) instance: InstanceId,
    state: Mutex<State>,
}

impl StoredCell {
    /// Creates the cell of the daemon `instance` before the store was read.
    pub(super) fn new(membership: Arc<Membership>, instance: InstanceId) -> Self {
        Self {
            membership,
            instance,
            state: Mutex::default(),
        }
    }

    /// Returns the version of the table in the store, or `None` until the store was read.
    pub(super) fn stored(&self) -> Option<StoredTable> {
        sync::lock(&self.state).stored
    }

    /// Returns the newest era of the store that this daemon knows.
    pub(super) fn store_era(&self) -> StoreEra {
        self.membership.with_ownership(|o, _| o.store_era())
    }

    /// Records the version of a table that this daemon has written.
    pub(super) fn record_write(&self, written: StoredTable) {
        sync::lock(&self.state).stored = Some(written);
    }

    /// Applies the table in a `range` of its key only. An absent one counts if it is of a later era than
    /// the known one: the store lost it.
    pub(super) fn replace_table(&self, range: RangeResponse) {
        let era = range.as_of.era();
        self.membership
            .with_ownership(|o, now| o.observe_store_era(now, era));
        let may_be_hidden = range.may_hide(TABLE_KEY);
        let mut items = range.items.into_iter().filter(|i| i.key == TABLE_KEY);
        match items.next() {
            Some(item) => self.adopt_table(&item),
            None if may_be_hidden => {}
            None => {
                let mut state = sync::lock(&self.state);
                if state.stored.is_some_and(|s| s.position.era() < era) {
                    state.stored = Some(StoredTable {
                        position: StorePosition::absent(era),
                        ..StoredTable::default()
                    });
                }
            }
        }
    }

    /// Applies the table and replaces the join requests by those in `range`. A request that could not
    /// be read keeps its former content.
    pub(super) fn replace(&self, range: RangeResponse) {
        let mut state = sync::lock(&self.state);
        state.join_requests.retain(|key, _| range.may_hide(key));
        let has_table = range.items.iter().any(|i| i.key == TABLE_KEY);
        let has_none = !has_table && !range.may_hide(TABLE_KEY);
        if !has_table {
            // If there is a table that can't be read, a write that expects none fails.
            let former = state.stored.filter(|_| range.may_hide(TABLE_KEY));
            let absent = StoredTable {
                position: StorePosition::absent(range.as_of.era()),
                ..StoredTable::default()
            };
            state.stored = Some(former.unwrap_or(absent));
        }
        drop(state);
        self.membership
            .with_ownership(|o, now| o.observe_store_era(now, range.as_of.era()));
        self.apply(range.items.into_iter().map(KeyChange::Put).collect());
        if has_none {
            self.membership.record_platform_read();
        }
    }

    /// Applies changes of the table and the join requests.
    pub(super) fn apply(&self, changes: Vec<KeyChange>) {
        for change in changes {
            match change {
                KeyChange::Put(item) if item.key == TABLE_KEY => self.adopt_table(&item),
                KeyChange::Put(item) if item.key.starts_with(JOIN_REQUEST_PREFIX) => {
                    self.record_join_request(item)
                }
                KeyChange::Put(item) => {
                    tracing::warn!(event = "unknown-key", key = item.key);
                }
                KeyChange::Removed { key, .. } => {
                    sync::lock(&self.state).join_requests.remove(&key);
                }
            }
        }
    }

    /// Adopts the table that the store has in `item`, unless a planner wrote it that did not know of
    /// the era: the daemons' table stays in force then, and replaces it.
    pub(super) fn adopt_table(&self, item: &KeyValue) {
        let table = match Table::decode(&item.value) {
            Ok(table) => table,
            Err(e) => {
                tracing::error!(event = "table-refused", revision = %item.position, error = %e);
                return;
            }
        };
        let stored = StoredTable {
            position: item.position,
            epoch: table.epoch,
            planned_in: table.document.era,
        };
        let mut state = sync::lock(&self.state);
        let known = state.stored;
        if known.is_none_or(|s| s.position <= stored.position) {
            state.stored = Some(stored);
        }
        drop(state);
        // The first table read in an era is that of the copy.
        let is_first_of_era = known.is_none_or(|s| s.position.era() < item.position.era());
        if !is_first_of_era && table.document.era < item.position.era() {
            tracing::warn!(event = "table-of-former-era", epoch = %table.epoch, revision = %item.position);
            return;
        }
        self.membership.adopt_platform_table(table);
        if !self.is_member() {
            // Sends the join request to the members of the table at once.
            self.membership
                .with_ownership(|o, now| o.update_info(now, |_| {}));
        }
    }

    fn record_join_request(&self, item: KeyValue) {
        match postcard::from_bytes::<MemberInfo>(&item.value) {
            Ok(info) => {
                sync::lock(&self.state).join_requests.insert(item.key, info);
            }
            Err(e) => {
                tracing::error!(event = "join-refused", key = item.key, error = %e);
            }
        }
    }

    /// Returns whether the adopted table lists this daemon's session.
    pub(super) fn is_member(&self) -> bool {
        self.membership
            .with_ownership(|o, _| o.table().members.contains_key(&o.info().session))
    }

    /// Returns how many daemons are ahead of this one in the planning order.
    pub(super) fn planner_position(&self) -> u32 {
        let join_requests = self.all_join_requests();
        let position = self
            .membership
            .with_ownership(|o, _| o.planning_order().position(self.instance, &join_requests));
        u32::try_from(position.unwrap_or(0)).unwrap_or(0)
    }

    /// Returns the join requests and updated member infos of all daemons.
    pub(super) fn all_join_requests(&self) -> BTreeMap<InstanceId, MemberInfo> {
        let table = self.membership.table();
        let mut state = sync::lock(&self.state);
        let stored = state.join_requests.values().cloned();
        let stored: Vec<MemberInfo> = stored.collect();
        let sessions: BTreeSet<SessionId> = stored.iter().map(|i| i.session).collect();
        state.admitted.retain(|s| sessions.contains(s));
        let mut join_requests = BTreeMap::new();
        for info in stored {
            let session = info.session;
            let is_member = table.members.contains_key(&session);
            if is_member {
                state.admitted.insert(session);
            }
            if is_member || !state.admitted.contains(&session) {
                join_requests.insert(session.instance, info);
            }
        }
        drop(state);
        join_requests.extend(self.membership.join_requests());
        join_requests
    }

    /// Returns the keys of the join requests that `table` fulfils.
    pub(super) fn fulfilled_requests(&self, table: &Table) -> Vec<String> {
        let is_fulfilled = |info: &MemberInfo| {
            table.members.contains_key(&info.session)
                || table
                    .members
                    .keys()
                    .any(|s| s.instance == info.session.instance && s.tenure > info.session.tenure)
        };
        let state = sync::lock(&self.state);
        let join_requests = state.join_requests.iter();
        let fulfilled = join_requests.filter(|(_, info)| is_fulfilled(info));
        fulfilled.map(|(key, _)| key.clone()).collect()
    }
}
