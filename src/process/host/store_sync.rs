//! Watches the operators' routing and the assignment table in the store, and decides which daemons
//! watch them.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::connection::protocol::OperatorProtocol;
use crate::process::host::routing_values::RoutingValues;
use crate::process::host::store_watch::{ReadContent, StoreWatch, WatchedChanges};
use crate::process::host::stored_cell::StoredCell;
use crate::process::host::table_planner::TablePlanner;
use crate::process::membership::Membership;
use crate::process::moment::Moment;
use crate::process::stop_flag::StopFlag;
use crate::process::store::{KEY_PREFIX, RangeResponse, Store};
use crate::process::store_position::StorePosition;
use crate::process::sync;
use crate::version::document_version::DocumentVersion;
use crate::version::instance_id::InstanceId;
use crate::version::routing_config::RoutingConfig;
use crate::version::store_era::StoreEra;

/// Timeout of one watch call.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of the routing watches of the first daemons in the planning order. It is short because
/// the other daemons get newer routing from them, and a connection may have failed silently.
const ROUTING_WATCH_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout of the routing watches while values are in force that the store lost, or the values read are
/// refused for their sake: both end in time.
const UNSETTLED_WATCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of daemons that watch the routing with the short timeout.
const SHORT_ROUTING_WATCHERS: u32 = 2;
/// Number of daemons in each failure domain that watch the routing; the others get it from them.
const DOMAIN_ROUTING_WATCHERS: usize = 2;
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

/// Keeps the daemon and the store in sync.
pub struct StoreSync {
    store: Arc<dyn Store>,
    protocol: Arc<dyn OperatorProtocol>,
    membership: Arc<Membership>,
    started: Instant,
    cell: StoredCell,
    routing: Mutex<RoutingValues>,
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
            cell: StoredCell::new(Arc::clone(&membership), instance),
            membership,
            started: Instant::now(),
            routing: Mutex::default(),
        }
    }

    /// Watches the operators' routing until the process stops.
    pub fn sync_routing(&self, stop: &StopFlag) {
        let watch = StoreWatch {
            store: &*self.store,
            name: "routing",
            prefix: self.protocol.key_prefix(),
            metrics: self.membership.metrics(),
            now: &|| self.now(),
        };
        watch.run(
            stop,
            || self.routing_watch_timeout(),
            |range| self.replace_routing(range),
            |changes| self.apply_routing_changes(changes),
        );
    }

    /// Watches the table and the join requests until the process stops.
    pub fn sync_table(&self, stop: &StopFlag) {
        let watch = StoreWatch {
            store: &*self.store,
            name: "table",
            prefix: KEY_PREFIX,
            metrics: self.membership.metrics(),
            now: &|| self.now(),
        };
        watch.run(
            stop,
            || self.must_watch_table().then_some(WATCH_TIMEOUT),
            |range| self.cell.replace(range.content),
            |changes| {
                self.cell.apply(changes.content.changes);
                if !self.cell.is_member() {
                    stop.wait(match self.cell.planner_position() < FIRST_PLANNERS {
                        true => FIRST_PLANNERS_PAUSE,
                        false => NON_MEMBER_PAUSE,
                    });
                }
            },
        );
    }

    /// Replaces the operators' routing values by those in `range`, and adopts them.
    fn replace_routing(&self, read: ReadContent<RangeResponse>) {
        let era = read.content.as_of.era();
        let as_of = read.content.newest_position();
        self.membership
            .with_ownership(|o, now| o.observe_store_era(now, era));
        let in_force = self.version_in_force();
        let teams_key = self.protocol.teams_key();
        let now = self.now();
        sync::lock(&self.routing).replace(now, read.content, teams_key, in_force);
        self.adopt_routing(as_of);
        self.record_freshness(read.started, era);
    }

    /// Applies changes of the operators' routing values, and adopts the result.
    fn apply_routing_changes(&self, watched: ReadContent<WatchedChanges>) {
        // A store may return a part of the changes only, so a call confirms the routing if there are
        // none.
        let is_unchanged =
            watched.content.changes.is_empty() && watched.content.unreadable.is_empty();
        let WatchedChanges {
            as_of,
            is_after_known,
            ..
        } = watched.content;
        let (now, in_force) = (self.now(), self.version_in_force());
        let to_carry = self.membership.version_to_carry(as_of.era());
        let teams_key = self.protocol.teams_key();
        let mut values = sync::lock(&self.routing);
        let newest = values.apply(watched.content, teams_key, to_carry);
        let has_expired = values.expire_lost(now, teams_key, in_force);
        let refused_at = values.refused_at();
        drop(values);
        match newest.or(refused_at) {
            _ if has_expired => self.adopt_routing(as_of),
            Some(position) => self.adopt_routing(position),
            None => {}
        }
        match is_unchanged {
            true if is_after_known => self.record_freshness(watched.started, as_of.era()),
            true => {}
            false => self
                .membership
                .with_ownership(|o, _| o.routing_freshness_mut().record_changes()),
        }
    }

    /// Records that the routing in force was the newest at `started`, as a store call of `era` showed,
    /// unless the store has values that this daemon could not apply, or may have lost a revocation.
    fn record_freshness(&self, started: Moment, era: StoreEra) {
        let active = self.membership.active_configuration();
        let Some(routing) = active.routing_config.as_ref() else {
            return;
        };
        let teams_key = self.protocol.teams_key();
        let values = sync::lock(&self.routing);
        let is_applied = values.is_known(teams_key);
        let is_written = values.are_teams_written_in(era);
        drop(values);
        if routing.teams.is_none() || routing.version.era != era || !is_applied {
            return;
        }
        self.membership.with_ownership(|o, now| {
            if is_written {
                o.routing_freshness_mut().resume();
            }
            // Until the operators had time to write again what the store lost, nobody knows whether
            // it lost a revocation.
            if is_written || !o.is_holding_routing(now) {
                o.routing_freshness_mut().record_store_call(started);
            }
        });
    }

    /// Returns whether the routing in force has teams.
    fn has_teams(&self) -> bool {
        let active = self.membership.active_configuration();
        let routing = active.routing_config.as_ref();
        routing.is_some_and(|r| r.teams.is_some())
    }

    fn now(&self) -> Moment {
        self.membership.with_ownership(|_, now| now)
    }

    /// Returns how long the next watch call of the routing may take, or `None` if this daemon need not
    /// watch it.
    fn routing_watch_timeout(&self) -> Option<Duration> {
        let timeout = match self.cell.planner_position() < SHORT_ROUTING_WATCHERS {
            _ if sync::lock(&self.routing).is_unsettled() => Some(UNSETTLED_WATCH_TIMEOUT),
            true => Some(ROUTING_WATCH_TIMEOUT),
            false => self.must_watch_routing().then_some(WATCH_TIMEOUT),
        };
        if !self.has_teams() {
            return timeout;
        }
        self.membership.with_ownership(|o, now| {
            let freshness = o.routing_freshness_mut();
            let max = freshness.watch_max();
            match timeout {
                Some(timeout) => Some(max.map_or(timeout, |max| timeout.min(max))),
                None => max.filter(|_| freshness.take_own_call(now)),
            }
        })
    }

    /// Returns the version of the routing in force, if there is any.
    fn version_in_force(&self) -> Option<DocumentVersion> {
        let active = self.membership.active_configuration();
        active
            .routing_config
            .as_ref()
            .map(|routing| routing.version)
    }

    /// Adopts the operators' routing as of the position `as_of`.
    fn adopt_routing(&self, as_of: StorePosition) {
        let mut values = sync::lock(&self.routing);
        if values.is_empty() {
            return;
        }
        let parsed = values.parse(&*self.protocol, as_of);
        let version = values.version(as_of);
        let Some(mut routing) = parsed else {
            return;
        };
        let active = self.membership.active_configuration();
        let adds_keys = active.adds_keys(&routing);
        let carried = values.carried(adds_keys);
        drop(values);
        // The newest revision among the values can't serve as the version: a removal leaves no
        // value behind, so after a restart the version would be lower than the table's.
        routing.version = version;
        routing.carried = carried;
        let is_unchanged = active.routing_config.as_ref().is_some_and(|current| {
            let unversioned = RoutingConfig {
                version: current.version,
                carried: current.carried,
                ..routing.clone()
            };
            // In a new era the version also tells the others what it takes into account.
            unversioned == **current && current.version.era == as_of.era()
        });
        if is_unchanged {
            return;
        }
        self.membership.adopt_routing_config(routing);
        let is_refused = self.membership.active_configuration().version < version;
        sync::lock(&self.routing).record_refusal(is_refused.then_some(as_of));
    }

    /// Writes tables that are due, and join requests while this daemon is not a member, until the
    /// process stops.
    pub fn run_planner(&self, stop: &StopFlag) {
        TablePlanner::new(&*self.store, &self.cell).run(stop);
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
        let position = self.cell.planner_position();
        if self.cell.is_member() {
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
}
