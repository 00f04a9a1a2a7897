//! Watches the operators' routing and the assignment table in the store, and writes the next table.
//!
//! There is no lease for planning. Each write of the table names the revision that it replaces, so
//! one of two concurrent writes fails. The last planner continues; the other daemons take over in
//! order once a plan has been due for a while.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::connection::protocol::OperatorProtocol;
use crate::process::host::store_health::StoreHealth;
use crate::process::membership::Membership;
use crate::process::planner::{self, PlanInput};
use crate::process::platform::Revision;
use crate::process::stop_flag::StopFlag;
use crate::process::store::{
    CommitOutcome, JOIN_REQUEST_PREFIX, KEY_PREFIX, KeyChange, KeyValue, RangeResponse, Store,
    TABLE_KEY, Transaction, WatchResponse,
};
use crate::process::sync;
use crate::process::unreadable_entry::UnreadableEntry;
use crate::version::document_version::DocumentVersion;
use crate::version::epoch::Epoch;
use crate::version::instance_id::InstanceId;
use crate::version::member::MemberInfo;
use crate::version::routing_config::RoutingConfig;
use crate::version::table::Table;

/// Timeout of one watch call.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of the routing watches of the first daemons in the planning order. It is short because
/// the other daemons get newer routing from them, and a connection may have failed silently.
const ROUTING_WATCH_TIMEOUT: Duration = Duration::from_secs(3);
/// Number of daemons that watch the routing with the short timeout.
const SHORT_ROUTING_WATCHERS: u32 = 2;
/// Number of daemons in each failure domain that watch the routing; the others get it from them.
const DOMAIN_ROUTING_WATCHERS: usize = 2;
/// Timeout of a watch call after one that failed. A store that is silent would answer a longer one
/// only long after its return.
const FAILING_WATCH_TIMEOUT: Duration = Duration::from_millis(200);
/// Delay before the next call after the store failed.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Interval at which a daemon checks whether a new table is needed.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// How long a plan must be due, for each daemon ahead in the planning order, before this daemon
/// takes over.
const TAKEOVER_DELAY: Duration = Duration::from_millis(900);
/// Minimum interval between writes of tables that can wait for more changes.
const DEFERRABLE_WRITE_INTERVAL: Duration = Duration::from_millis(600);
/// How long the first table waits for more daemons to join.
const FIRST_TABLE_DELAY: Duration = Duration::from_millis(1500);
/// Number of daemons that watch the table; the others get it from them.
const TABLE_WATCHERS: u32 = 3;
/// Pause of a daemon that is not a member, and is among the first to plan, after each change: many
/// daemons may write join requests at once.
const FIRST_PLANNERS_PAUSE: Duration = Duration::from_millis(300);
/// Pause of any other daemon that is not a member.
const NON_MEMBER_PAUSE: Duration = Duration::from_millis(1500);
/// How long after its start a process waits for the join requests of others.
const JOIN_SETTLE_TIME: Duration = Duration::from_millis(500);
/// How long after its start a process waits for the planner to admit it before it watches the store
/// itself.
const ADMISSION_TIME: Duration = Duration::from_secs(4);
/// Number of daemons that are among the first to plan.
const FIRST_PLANNERS: u32 = 4;
/// Interval at which a daemon that does not watch checks whether it should.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// How long a daemon waits for the members to admit it before it writes a join request to the
/// store.
const JOIN_REQUEST_DELAY: Duration = Duration::from_millis(1200);
/// Interval at which an unfulfilled join request is written again.
const JOIN_REQUEST_INTERVAL: Duration = Duration::from_secs(4);

/// Revision and epoch of the table last read from or written to the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct StoredTable {
    revision: Revision,
    epoch: Epoch,
}

#[derive(Default)]
struct State {
    /// `None` until the store was read.
    stored: Option<StoredTable>,
    /// Join requests by key.
    join_requests: BTreeMap<String, MemberInfo>,
    /// Operators' routing values by key.
    routing_items: BTreeMap<String, KeyValue>,
    /// Operators' routing values that were valid together the last time.
    valid_routing_items: BTreeMap<String, KeyValue>,
}

/// Keeps the daemon and the store in sync.
pub struct StoreSync {
    store: Arc<dyn Store>,
    protocol: Arc<dyn OperatorProtocol>,
    membership: Arc<Membership>,
    instance: InstanceId,
    started: Instant,
    state: Mutex<State>,
}

impl StoreSync {
    /// Creates the store sync of the daemon `instance`.
    pub fn new(
        store: Arc<dyn Store>,
        protocol: Arc<dyn OperatorProtocol>,
        membership: Arc<Membership>,
        instance: InstanceId,
    ) -> Self {
        Self {
            store,
            protocol,
            membership,
            instance,
            started: Instant::now(),
            state: Mutex::default(),
        }
    }

    /// Watches the operators' routing until the process stops.
    pub fn sync_routing(&self, stop: &StopFlag) {
        let prefix = self.protocol.key_prefix().to_owned();
        self.sync_prefix(
            stop,
            "routing",
            &prefix,
            || match self.planner_position() < SHORT_ROUTING_WATCHERS {
                true => Some(ROUTING_WATCH_TIMEOUT),
                false => self.must_watch_routing().then_some(WATCH_TIMEOUT),
            },
            |range| self.replace_routing(range),
            |changes, _| self.apply_routing_changes(changes),
        );
    }

    /// Watches the table and the join requests until the process stops.
    pub fn sync_table(&self, stop: &StopFlag) {
        self.sync_prefix(
            stop,
            "table",
            KEY_PREFIX,
            || self.must_watch_table().then_some(WATCH_TIMEOUT),
            |range| self.replace_table_and_joins(range),
            |changes, _| {
                self.apply_table_and_join_changes(changes);
                if !self.is_member() {
                    stop.wait(match self.planner_position() < FIRST_PLANNERS {
                        true => FIRST_PLANNERS_PAUSE,
                        false => NON_MEMBER_PAUSE,
                    });
                }
            },
        );
    }

    /// Reads all keys with a prefix and then watches them. `watch_timeout` returns `None` while
    /// this daemon need not watch; `replace` gets the full content, `apply` the changes.
    fn sync_prefix(
        &self,
        stop: &StopFlag,
        name: &'static str,
        prefix: &str,
        watch_timeout: impl Fn() -> Option<Duration>,
        replace: impl Fn(RangeResponse),
        apply: impl Fn(Vec<KeyChange>, Revision),
    ) {
        let mut health = StoreHealth::new(name);
        let mut after: Option<Revision> = None;
        while !stop.is_set() {
            let timeout = watch_timeout();
            if after.is_some() && timeout.is_none() {
                stop.wait(WATCH_POLL_INTERVAL);
                continue;
            }
            let result = match after {
                None => self.store.range(prefix).map(|range| {
                    let as_of = range.as_of;
                    log_unreadable(name, &range.unreadable);
                    replace(range);
                    Some(as_of)
                }),
                Some(revision) => {
                    let timeout = timeout.unwrap_or(WATCH_TIMEOUT);
                    let timeout = match health.is_failing() {
                        true => timeout.min(FAILING_WATCH_TIMEOUT),
                        false => timeout,
                    };
                    let response = self.store.watch(prefix, revision, timeout);
                    response.map(|response| match response {
                        WatchResponse::Changes {
                            changes,
                            as_of,
                            unreadable,
                        } => {
                            log_unreadable(name, &unreadable);
                            apply(changes, as_of);
                            Some(as_of.max(revision))
                        }
                        WatchResponse::HistoryLost => {
                            tracing::info!(event = "history-lost", watch = name, %revision);
                            None
                        }
                    })
                }
            };
            match result {
                Ok(next) => {
                    after = next;
                    health.record_success();
                }
                Err(_) if stop.is_set() => {}
                Err(e) => {
                    health.record_failure(&e);
                    stop.wait(RETRY_DELAY);
                }
            }
        }
    }

    /// Replaces the operators' routing values by those in `range`, and adopts them. A value that
    /// could not be read keeps its former content.
    fn replace_routing(&self, range: RangeResponse) {
        let mut state = sync::lock(&self.state);
        state.routing_items.retain(|key, _| range.may_hide(key));
        let items = range.items.into_iter().map(|i| (i.key.clone(), i));
        state.routing_items.extend(items);
        drop(state);
        self.adopt_routing(range.as_of);
    }

    /// Applies changes of the operators' routing values, and adopts the result.
    fn apply_routing_changes(&self, changes: Vec<KeyChange>) {
        let mut newest = Revision::default();
        let mut state = sync::lock(&self.state);
        for change in changes {
            match change {
                KeyChange::Put(item) => {
                    newest = newest.max(item.revision);
                    state.routing_items.insert(item.key.clone(), item);
                }
                KeyChange::Removed { key, revision } => {
                    newest = newest.max(revision);
                    state.routing_items.remove(&key);
                }
            }
        }
        drop(state);
        if newest > Revision::default() {
            self.adopt_routing(newest);
        }
    }

    /// Adopts the operators' routing as of the revision `as_of`.
    fn adopt_routing(&self, as_of: Revision) {
        if sync::lock(&self.state).routing_items.is_empty() {
            return;
        }
        let Some(mut routing) = self.parse_routing(as_of) else {
            return;
        };
        // The newest revision among the values can't serve as the version: a removal leaves no
        // value behind, so after a restart the version would be lower than the table's.
        routing.version = DocumentVersion(as_of.0);
        let active = self.membership.active_configuration();
        let is_unchanged = active.routing_config.as_ref().is_some_and(|current| {
            let unversioned = RoutingConfig {
                version: current.version,
                ..routing.clone()
            };
            unversioned == **current
        });
        if !is_unchanged {
            self.membership.adopt_routing_config(routing);
        }
    }

    /// Parses the operators' routing values. An invalid one is replaced by the one that was valid the
    /// last time, so that later changes of the others still take effect.
    fn parse_routing(&self, as_of: Revision) -> Option<RoutingConfig> {
        let mut state = sync::lock(&self.state);
        let refused = match self.protocol.parse(&to_items(&state.routing_items)) {
            Ok(routing) => {
                state.valid_routing_items = state.routing_items.clone();
                return Some(routing);
            }
            Err(e) => e,
        };
        tracing::error!(event = "routing-refused", revision = %as_of, error = %refused);
        let valid = state.valid_routing_items.get(&refused.key)?.clone();
        state.routing_items.insert(refused.key, valid);
        match self.protocol.parse(&to_items(&state.routing_items)) {
            Ok(routing) => Some(routing),
            Err(e) => {
                tracing::error!(event = "routing-refused", revision = %as_of, error = %e);
                None
            }
        }
    }

    /// Applies the table and replaces the join requests by those in `range`. A request that could not
    /// be read keeps its former content.
    fn replace_table_and_joins(&self, range: RangeResponse) {
        let mut state = sync::lock(&self.state);
        state.join_requests.retain(|key, _| range.may_hide(key));
        let has_table = range.items.iter().any(|i| i.key == TABLE_KEY);
        if !has_table {
            // If there is a table that can't be read, a write that expects none fails.
            let former = state.stored.filter(|_| range.may_hide(TABLE_KEY));
            state.stored = Some(former.unwrap_or_default());
        }
        drop(state);
        self.apply_table_and_join_changes(range.items.into_iter().map(KeyChange::Put).collect());
    }

    /// Applies changes of keys under [`KEY_PREFIX`]: of the table and the join requests.
    fn apply_table_and_join_changes(&self, changes: Vec<KeyChange>) {
        for change in changes {
            match change {
                KeyChange::Put(item) if item.key == TABLE_KEY => self.adopt_stored_table(&item),
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

    fn adopt_stored_table(&self, item: &KeyValue) {
        let table = match Table::decode(&item.value) {
            Ok(table) => table,
            Err(e) => {
                tracing::error!(event = "table-refused", revision = %item.revision, error = %e);
                return;
            }
        };
        let stored = StoredTable {
            revision: item.revision,
            epoch: table.epoch,
        };
        let mut state = sync::lock(&self.state);
        if state.stored.is_none_or(|s| s.revision <= stored.revision) {
            state.stored = Some(stored);
        }
        drop(state);
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

    /// Writes tables that are due, and join requests while this daemon is not a member, until the
    /// process stops.
    pub fn run_planner(&self, stop: &StopFlag) {
        let mut health = StoreHealth::new("plan");
        let mut due_since: Option<Instant> = None;
        let mut non_member_since = Instant::now();
        let mut last_request: Option<Instant> = None;
        let mut last_check: Option<Instant> = None;
        let mut last_write: Option<Instant> = None;
        while !stop.wait(PLAN_INTERVAL) {
            if self.is_member() {
                non_member_since = Instant::now();
                last_request = None;
            } else if self.is_join_request_due(non_member_since, last_request) {
                last_request = Some(Instant::now());
                self.write_join_request(&mut health);
            }
            let position = self.planner_position();
            // Daemons that don't plan now check less often.
            let skip_check = last_check.is_some_and(|at| at.elapsed() < TAKEOVER_DELAY * position);
            if skip_check {
                continue;
            }
            last_check = Some(Instant::now());
            let Some((stored, table, can_defer)) = self.next_table() else {
                due_since = None;
                continue;
            };
            if can_defer && last_write.is_some_and(|at| at.elapsed() < DEFERRABLE_WRITE_INTERVAL) {
                continue;
            }
            let plan_due_since = *due_since.get_or_insert_with(Instant::now);
            let delay = match stored.epoch == Epoch::default() {
                true => FIRST_TABLE_DELAY + TAKEOVER_DELAY * position,
                false => TAKEOVER_DELAY * position,
            };
            if plan_due_since.elapsed() < delay {
                continue;
            }
            if stored.epoch.next() == table.epoch {
                due_since = None;
                self.write_table(stored, &table, &mut health, stop);
                last_write = Some(Instant::now());
            } else {
                // The table came from another daemon, so its revision in the store is unknown.
                self.read_table(&mut health);
            }
        }
    }

    /// Returns whether this daemon must watch the routing itself: it has none, its witnesses don't
    /// reach it, so others might not either, or it is among the first of its failure domain.
    fn must_watch_routing(&self) -> bool {
        let active = self.membership.active_configuration();
        if active.routing_config.is_none() {
            return true;
        }
        let (is_live, domain_position) = self
            .membership
            .with_ownership(|o, now| (o.live_until(now).is_some(), o.domain_position()));
        match is_live {
            true => domain_position.is_none_or(|p| p < DOMAIN_ROUTING_WATCHERS),
            false => !self.is_expecting_admission(),
        }
    }

    /// Returns whether this daemon must watch the table and the join requests: it is among the first
    /// to plan, or the members have not admitted it in time.
    fn must_watch_table(&self) -> bool {
        let position = self.planner_position();
        if self.is_member() {
            return position < TABLE_WATCHERS;
        }
        // Until then most join requests of a cell that starts are not written yet, so each process
        // would take itself for the first.
        let is_position_known = self.started.elapsed() >= JOIN_SETTLE_TIME;
        is_position_known && (position < FIRST_PLANNERS || !self.is_expecting_admission())
    }

    /// Returns whether this process has started so recently that the planner probably admits it
    /// soon, and tells it.
    fn is_expecting_admission(&self) -> bool {
        self.started.elapsed() < ADMISSION_TIME
    }

    fn is_member(&self) -> bool {
        self.membership
            .with_ownership(|o, _| o.table().members.contains_key(&o.info().session))
    }

    /// Returns whether to write a join request to the store now.
    fn is_join_request_due(
        &self,
        non_member_since: Instant,
        last_request: Option<Instant>,
    ) -> bool {
        let Some(stored) = sync::lock(&self.state).stored else {
            return false;
        };
        let is_first_table = stored.epoch == Epoch::default();
        let waited = is_first_table || non_member_since.elapsed() >= JOIN_REQUEST_DELAY;
        waited && last_request.is_none_or(|at| at.elapsed() >= JOIN_REQUEST_INTERVAL)
    }

    fn write_join_request(&self, health: &mut StoreHealth) {
        let info = self.membership.with_ownership(|o, _| o.info().clone());
        let value = match postcard::to_stdvec(&info) {
            Ok(value) => value,
            Err(e) => {
                tracing::error!(event = "join-not-encoded", error = %e);
                return;
            }
        };
        let key = format!("{JOIN_REQUEST_PREFIX}{}", self.instance);
        let transaction = Transaction {
            puts: vec![(key, value)],
            ..Transaction::default()
        };
        match self.store.commit(&transaction) {
            Ok(_) => tracing::info!(event = "join-asked", session = %info.session),
            Err(e) => health.record_failure(&e),
        }
    }

    /// Returns how many daemons are ahead of this one in the planning order.
    fn planner_position(&self) -> u32 {
        let join_requests = self.all_join_requests();
        let position = self
            .membership
            .with_ownership(|o, _| o.planning_order().position(self.instance, &join_requests));
        u32::try_from(position.unwrap_or(0)).unwrap_or(0)
    }

    /// Returns the join requests and updated member infos of all daemons.
    fn all_join_requests(&self) -> BTreeMap<InstanceId, MemberInfo> {
        let state = sync::lock(&self.state);
        let stored = state.join_requests.values();
        let mut join_requests: BTreeMap<InstanceId, MemberInfo> = stored
            .map(|info| (info.session.instance, info.clone()))
            .collect();
        drop(state);
        join_requests.extend(self.membership.join_requests());
        join_requests
    }

    /// Returns the table that should replace the stored one, and whether its write can be deferred.
    fn next_table(&self) -> Option<(StoredTable, Table, bool)> {
        let stored = sync::lock(&self.state).stored?;
        let active = self.membership.active_configuration();
        active.routing_config.as_ref()?;
        let join_requests = self.all_join_requests();
        let load_reports = self.membership.load_reports();
        self.membership.with_ownership(|o, _| {
            if o.table().epoch < stored.epoch || active.version < o.table().document {
                return None;
            }
            let input = PlanInput {
                table: o.table(),
                document: &active.document,
                document_version: active.version,
                join_requests: &join_requests,
                facts: o.facts(),
                end_certificates: o.end_certificates(),
                load_reports: &load_reports,
                planner: self.instance,
            };
            let table = planner::plan(&input)?;
            let can_defer = planner::can_defer(&input, &table);
            Some((stored, table, can_defer))
        })
    }

    /// Writes a table; after a conflict or a failure reads the table that the store has.
    fn write_table(
        &self,
        stored: StoredTable,
        table: &Table,
        health: &mut StoreHealth,
        stop: &StopFlag,
    ) {
        let value = match postcard::to_stdvec(table) {
            Ok(value) => value,
            Err(e) => {
                tracing::error!(event = "table-not-encoded", error = %e);
                return;
            }
        };
        let bytes = value.len();
        let state = sync::lock(&self.state);
        let is_fulfilled = |info: &MemberInfo| {
            table.members.contains_key(&info.session)
                || table
                    .members
                    .keys()
                    .any(|s| s.instance == info.session.instance && s.tenure > info.session.tenure)
        };
        let join_requests = state
            .join_requests
            .iter()
            .filter(|(_, info)| is_fulfilled(info));
        let fulfilled = join_requests.map(|(key, _)| key.clone());
        let transaction = Transaction::table_write(stored.revision, value, fulfilled);
        drop(state);
        match self.store.commit(&transaction) {
            Ok(CommitOutcome::Done(revision)) => {
                let epoch = table.epoch;
                tracing::info!(event = "table-written", %epoch, %revision, bytes);
                sync::lock(&self.state).stored = Some(StoredTable { revision, epoch });
                self.membership.adopt_platform_table(table.clone());
                self.membership.forget_fulfilled_joins(table);
                self.membership
                    .with_ownership(|o, _| o.broadcast_versions());
                health.record_success();
            }
            Ok(CommitOutcome::Conflict) => {
                tracing::info!(event = "table-conflict", epoch = %table.epoch);
                self.read_table(health);
            }
            Err(e) => {
                health.record_failure(&e);
                stop.wait(RETRY_DELAY);
                self.read_table(health);
            }
        }
    }

    /// Reads the table from the store, for example after a write with an unknown outcome.
    fn read_table(&self, health: &mut StoreHealth) {
        match self.store.range(TABLE_KEY) {
            Ok(range) => {
                log_unreadable("table", &range.unreadable);
                for item in range.items.iter().filter(|i| i.key == TABLE_KEY) {
                    self.adopt_stored_table(item);
                }
            }
            Err(e) => health.record_failure(&e),
        }
    }
}

/// Logs the entries that could not be read in a response to the calls that the log names `watch`.
pub(super) fn log_unreadable(watch: &'static str, entries: &[UnreadableEntry]) {
    for entry in entries {
        let (key, reason) = (entry.key.as_deref(), &entry.reason);
        tracing::error!(event = "entry-skipped", watch, key, reason);
    }
}

/// Returns the values as the operators' protocol takes them.
fn to_items(items: &BTreeMap<String, KeyValue>) -> Vec<KeyValue> {
    items.values().cloned().collect()
}
