//! Follows the operators' routing and the assignment table in the store, and plans.
//!
//! There is no planner's lease: each write of the table names the revision that it follows, so of
//! two that plan at once one fails. The last planner goes on; the others take turns to step in
//! where a plan has been due for a while.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::connection::protocol::OperatorProtocol;
use crate::process::host::planner_priority::PlannerPriority;
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
use crate::version::desired::Desired;
use crate::version::document_version::DocumentVersion;
use crate::version::epoch::Epoch;
use crate::version::instance_id::InstanceId;
use crate::version::member::MemberInfo;
use crate::version::table::Table;

/// How long one watch waits.
const WATCH_TIME: Duration = Duration::from_secs(20);
/// How long the watches of the first in turn wait: a connection may have gone silent, and the others
/// hear of a newer routing from them.
const SENTRY_TIME: Duration = Duration::from_secs(3);
/// How many daemons watch the routing like that.
const SENTRIES: u32 = 2;
/// How long to wait after the store did not answer.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);
/// How often a daemon looks for something to plan.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// How long a plan must be due for each daemon that comes before this one in turn.
const TURN_TIME: Duration = Duration::from_millis(900);
/// How far apart tables are that could wait for more changes.
const CALM_GAP: Duration = Duration::from_millis(600);
/// How long the first table waits for more processes to join.
const GATHER_TIME: Duration = Duration::from_millis(1500);
/// How many daemons watch the table; the others hear of it from them.
const WATCHERS: u32 = 3;
/// How long a process that is no member waits after each change: many may leave wishes at once.
const OUTSIDE_PAUSE: Duration = Duration::from_millis(300);
/// How often a daemon that does not watch looks whether it should.
const WATCH_STEP: Duration = Duration::from_millis(500);
/// How long a process waits for the members to take it in before it leaves its wish in the store.
const JOIN_PATIENCE: Duration = Duration::from_millis(1200);
/// How long a wish in the store may take before it is written anew.
const JOIN_REPEAT: Duration = Duration::from_secs(4);

/// The table as the store held it last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Base {
    revision: Revision,
    epoch: Epoch,
}

#[derive(Default)]
struct State {
    base: Option<Base>,
    joins: BTreeMap<String, MemberInfo>,
    operators: BTreeMap<String, KeyValue>,
}

/// Follows the store.
pub struct StoreSync {
    store: Arc<dyn Store>,
    protocol: Arc<dyn OperatorProtocol>,
    membership: Arc<Membership>,
    instance: InstanceId,
    state: Mutex<State>,
}

impl StoreSync {
    /// Creates a follower for the process `instance`.
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
            state: Mutex::default(),
        }
    }

    /// Follows the operators' routing until the process stops.
    pub fn follow_routing(&self, stop: &StopFlag) {
        let prefix = self.protocol.key_prefix().to_owned();
        self.follow(
            stop,
            "routing",
            &prefix,
            || match self.turn() < SENTRIES {
                true => Some(SENTRY_TIME),
                false => Some(WATCH_TIME),
            },
            |range| self.take_routing(range),
            |changes, _| self.change_routing(changes),
        );
    }

    /// Follows the table, and the wishes to join, until the process stops.
    pub fn follow_table(&self, stop: &StopFlag) {
        self.follow(
            stop,
            "table",
            KEY_PREFIX,
            || (self.turn() < WATCHERS || !self.is_member()).then_some(WATCH_TIME),
            |range| self.take_own(range),
            |changes, _| {
                self.change_own(changes);
                if !self.is_member() {
                    stop.wait(OUTSIDE_PAUSE);
                }
            },
        );
    }

    /// Reads a prefix and watches it.
    fn follow(
        &self,
        stop: &StopFlag,
        name: &'static str,
        prefix: &str,
        span: impl Fn() -> Option<Duration>,
        take: impl Fn(RangeResponse),
        change: impl Fn(Vec<KeyChange>, Revision),
    ) {
        let mut contact = StoreHealth::new(name);
        let mut after: Option<Revision> = None;
        while !stop.is_set() {
            let span = span();
            if after.is_some() && span.is_none() {
                stop.wait(WATCH_STEP);
                continue;
            }
            let step = match after {
                None => self.store.range(prefix).map(|range| {
                    let as_of = range.as_of;
                    take(range);
                    Some(as_of)
                }),
                Some(revision) => {
                    let watched = self
                        .store
                        .watch(prefix, revision, span.unwrap_or(WATCH_TIME));
                    watched.map(|watched| match watched {
                        WatchResponse::Changes { changes, as_of } => {
                            change(changes, as_of);
                            Some(as_of.max(revision))
                        }
                        WatchResponse::HistoryLost => {
                            tracing::info!(event = "history-lost", watch = name, %revision);
                            None
                        }
                    })
                }
            };
            match step {
                Ok(next) => {
                    after = next;
                    contact.regained();
                }
                Err(_) if stop.is_set() => {}
                Err(e) => {
                    contact.lost(&e);
                    stop.wait(FAILURE_PAUSE);
                }
            }
        }
    }

    fn take_routing(&self, range: RangeResponse) {
        let items = range.items.into_iter().map(|i| (i.key.clone(), i));
        sync::lock(&self.state).operators = items.collect();
        self.adopt_routing(range.as_of);
    }

    fn change_routing(&self, changes: Vec<KeyChange>) {
        let mut newest = Revision::default();
        let mut state = sync::lock(&self.state);
        for change in changes {
            match change {
                KeyChange::Put(item) => {
                    newest = newest.max(item.revision);
                    state.operators.insert(item.key.clone(), item);
                }
                KeyChange::Removed { key, revision } => {
                    newest = newest.max(revision);
                    state.operators.remove(&key);
                }
            }
        }
        drop(state);
        if newest > Revision::default() {
            self.adopt_routing(newest);
        }
    }

    /// Puts the operators' values in force, as they were at the revision `as_of`.
    fn adopt_routing(&self, as_of: Revision) {
        let items: Vec<KeyValue> = sync::lock(&self.state)
            .operators
            .values()
            .cloned()
            .collect();
        if items.is_empty() {
            return;
        }
        let mut desired = match self.protocol.parse(&items) {
            Ok(desired) => desired,
            Err(e) => {
                tracing::error!(event = "routing-refused", revision = %as_of, error = %e);
                return;
            }
        };
        // The newest revision of the values would not do: a removal leaves none of its own behind,
        // and after a restart the version would be lower than the one that the table names.
        desired.version = DocumentVersion(as_of.0);
        let active = self.membership.active_configuration();
        let same = active.desired.as_ref().is_some_and(|present| {
            let unversioned = Desired {
                version: present.version,
                ..desired.clone()
            };
            unversioned == **present
        });
        if !same {
            self.membership.adopt_desired(desired);
        }
    }

    fn take_own(&self, range: RangeResponse) {
        sync::lock(&self.state).joins.clear();
        let has_table = range.items.iter().any(|i| i.key == TABLE_KEY);
        if !has_table {
            sync::lock(&self.state).base = Some(Base::default());
        }
        self.change_own(range.items.into_iter().map(KeyChange::Put).collect());
    }

    fn change_own(&self, changes: Vec<KeyChange>) {
        for change in changes {
            match change {
                KeyChange::Put(item) if item.key == TABLE_KEY => self.take_table(&item),
                KeyChange::Put(item) if item.key.starts_with(JOIN_REQUEST_PREFIX) => {
                    self.take_join(item)
                }
                KeyChange::Put(item) => {
                    tracing::warn!(event = "unknown-key", key = item.key);
                }
                KeyChange::Removed { key, .. } => {
                    sync::lock(&self.state).joins.remove(&key);
                }
            }
        }
    }

    fn take_table(&self, item: &KeyValue) {
        let table: Table = match postcard::from_bytes(&item.value) {
            Ok(table) => table,
            Err(e) => {
                tracing::error!(event = "table-refused", revision = %item.revision, error = %e);
                return;
            }
        };
        let base = Base {
            revision: item.revision,
            epoch: table.epoch,
        };
        let mut state = sync::lock(&self.state);
        if state.base.is_none_or(|b| b.revision <= base.revision) {
            state.base = Some(base);
        }
        drop(state);
        self.membership.adopt_platform_table(table);
        if !self.is_member() {
            // The members of the table can be asked at once.
            self.membership
                .with_ownership(|o, now| o.update_info(now, |_| {}));
        }
    }

    fn take_join(&self, item: KeyValue) {
        match postcard::from_bytes::<MemberInfo>(&item.value) {
            Ok(info) => {
                sync::lock(&self.state).joins.insert(item.key, info);
            }
            Err(e) => {
                tracing::error!(event = "join-refused", key = item.key, error = %e);
            }
        }
    }

    /// Plans, and asks to join, until the process stops.
    pub fn plan(&self, stop: &StopFlag) {
        let mut contact = StoreHealth::new("plan");
        let mut due_since: Option<Instant> = None;
        let mut outside_since = Instant::now();
        let mut asked: Option<Instant> = None;
        let mut looked: Option<Instant> = None;
        let mut written: Option<Instant> = None;
        while !stop.wait(PLAN_INTERVAL) {
            if self.is_member() {
                outside_since = Instant::now();
                asked = None;
            } else if self.shall_ask(outside_since, asked) {
                asked = Some(Instant::now());
                self.leave_wish(&mut contact);
            }
            let turn = self.turn();
            // The daemons that don't plan now need not look as often.
            let rests = looked.is_some_and(|at| at.elapsed() < TURN_TIME * turn);
            if rests {
                continue;
            }
            looked = Some(Instant::now());
            let Some((base, table, can_wait)) = self.next_table() else {
                due_since = None;
                continue;
            };
            if can_wait && written.is_some_and(|at| at.elapsed() < CALM_GAP) {
                continue;
            }
            let since = *due_since.get_or_insert_with(Instant::now);
            let wait = match base.epoch == Epoch::default() {
                true => GATHER_TIME + TURN_TIME * turn,
                false => TURN_TIME * turn,
            };
            if since.elapsed() < wait {
                continue;
            }
            if base.epoch.next() == table.epoch {
                due_since = None;
                self.write(base, &table, &mut contact, stop);
                written = Some(Instant::now());
            } else {
                // This daemon heard of the table from others, and does not know its revision.
                self.read_table(&mut contact);
            }
        }
    }

    fn is_member(&self) -> bool {
        self.membership
            .with_ownership(|o, _| o.table().members.contains_key(&o.info().session))
    }

    /// Returns whether it is time to leave a wish to join in the store.
    fn shall_ask(&self, outside_since: Instant, asked: Option<Instant>) -> bool {
        let Some(base) = sync::lock(&self.state).base else {
            return false;
        };
        let alone = base.epoch == Epoch::default();
        let waited = alone || outside_since.elapsed() >= JOIN_PATIENCE;
        waited && asked.is_none_or(|at| at.elapsed() >= JOIN_REPEAT)
    }

    fn leave_wish(&self, contact: &mut StoreHealth) {
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
            Err(e) => contact.lost(&e),
        }
    }

    /// Returns how many daemons come before this one to plan: the members on the strongest hosts
    /// first, of equals the present planner.
    fn turn(&self) -> u32 {
        let joins = self.all_joins();
        let place = self.membership.with_ownership(|o, _| {
            let table = o.table();
            // Another process on a member's address shows that the member has gone.
            let taken = joins
                .values()
                .map(|info| (info.peer, info.session.instance));
            let taken: BTreeMap<_, _> = taken.collect();
            let live = table.members.iter().filter(|(s, m)| {
                let here = taken.get(&m.info.peer);
                !o.end_certificates().contains_key(s) && here.is_none_or(|i| *i == s.instance)
            });
            let mut order: Vec<PlannerPriority> = live
                .map(|(_, m)| PlannerPriority::of(table, &m.info, false))
                .collect();
            let known: BTreeSet<InstanceId> = order.iter().map(|t| t.instance).collect();
            let outside = joins.iter().filter(|(i, _)| !known.contains(i));
            order.extend(outside.map(|(_, info)| PlannerPriority::of(table, info, true)));
            order.sort_unstable();
            order.dedup_by_key(|t| t.instance);
            order.iter().position(|t| t.instance == self.instance)
        });
        u32::try_from(place.unwrap_or(0)).unwrap_or(0)
    }

    /// Returns all that processes say of themselves that want to join, or that changed.
    fn all_joins(&self) -> BTreeMap<InstanceId, MemberInfo> {
        let state = sync::lock(&self.state);
        let stored = state.joins.values();
        let mut joins: BTreeMap<InstanceId, MemberInfo> = stored
            .map(|info| (info.session.instance, info.clone()))
            .collect();
        drop(state);
        joins.extend(self.membership.join_requests());
        joins
    }

    /// Returns the table that should follow the one in the store, and whether it can wait.
    fn next_table(&self) -> Option<(Base, Table, bool)> {
        let base = sync::lock(&self.state).base?;
        let active = self.membership.active_configuration();
        active.desired.as_ref()?;
        let joins = self.all_joins();
        let loads = self.membership.load_reports();
        self.membership.with_ownership(|o, _| {
            if o.table().epoch < base.epoch || active.version < o.table().document {
                return None;
            }
            let input = PlanInput {
                table: o.table(),
                document: &active.document,
                document_version: active.version,
                join_requests: &joins,
                facts: o.facts(),
                end_certificates: o.end_certificates(),
                load_reports: &loads,
                planner: self.instance,
            };
            let table = planner::plan(&input)?;
            let can_wait = planner::can_defer(&input, &table);
            Some((base, table, can_wait))
        })
    }

    /// Writes a table; whatever becomes of that, what the store holds then decides.
    fn write(&self, base: Base, table: &Table, contact: &mut StoreHealth, stop: &StopFlag) {
        let value = match postcard::to_stdvec(table) {
            Ok(value) => value,
            Err(e) => {
                tracing::error!(event = "table-not-encoded", error = %e);
                return;
            }
        };
        let bytes = value.len();
        let state = sync::lock(&self.state);
        let taken = |info: &MemberInfo| {
            table.members.contains_key(&info.session)
                || table
                    .members
                    .keys()
                    .any(|s| s.instance == info.session.instance && s.tenure > info.session.tenure)
        };
        let joins = state.joins.iter().filter(|(_, info)| taken(info));
        let fulfilled = joins.map(|(key, _)| key.clone());
        let transaction = Transaction::table_write(base.revision, value, fulfilled);
        drop(state);
        match self.store.commit(&transaction) {
            Ok(CommitOutcome::Done(revision)) => {
                let epoch = table.epoch;
                tracing::info!(event = "table-written", %epoch, %revision, bytes);
                sync::lock(&self.state).base = Some(Base { revision, epoch });
                self.membership.adopt_platform_table(table.clone());
                self.membership.forget_fulfilled_joins(table);
                self.membership
                    .with_ownership(|o, _| o.broadcast_versions());
                contact.regained();
            }
            Ok(CommitOutcome::Conflict) => {
                tracing::info!(event = "table-conflict", epoch = %table.epoch);
                self.read_table(contact);
            }
            Err(e) => {
                contact.lost(&e);
                stop.wait(FAILURE_PAUSE);
                self.read_table(contact);
            }
        }
    }

    /// Reads what the store holds, after a write whose outcome is in doubt.
    fn read_table(&self, contact: &mut StoreHealth) {
        match self.store.range(TABLE_KEY) {
            Ok(range) => {
                for item in range.items.iter().filter(|i| i.key == TABLE_KEY) {
                    self.take_table(item);
                }
            }
            Err(e) => contact.lost(&e),
        }
    }
}
