//! What a daemon makes of odd values among those that it watches in the store.

use std::collections::VecDeque;
use std::net::{IpAddr, Ipv4Addr, UdpSocket};
use std::sync::mpsc;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use foxtaildrift::Table;
use foxtaildrift::connection::peer_pool::{PeerPool, PeerTimeouts};
use foxtaildrift::connection::protocol::{OperatorProtocol, RoutingConfigError};
use foxtaildrift::connection::reactor::Reactor;
use foxtaildrift::process::clock::{Clock, SystemClock};
use foxtaildrift::process::era_knowledge::HOLD_TIME;
use foxtaildrift::process::host::routing_freshness::RoutingFreshness;
use foxtaildrift::process::host::store_sync::StoreSync;
use foxtaildrift::process::lease_times::LeaseTimes;
use foxtaildrift::process::membership::Membership;
use foxtaildrift::process::metrics::Metrics;
use foxtaildrift::process::moment::Moment;
use foxtaildrift::process::ownership::Ownership;
use foxtaildrift::process::platform::Revision;
use foxtaildrift::process::stop_flag::StopFlag;
use foxtaildrift::process::store::{
    CommitOutcome, KeyChange, KeyValue, RangeResponse, Store, StoreError, TABLE_KEY, Transaction,
    WatchResponse,
};
use foxtaildrift::process::store_position::StorePosition;
use foxtaildrift::process::unreadable_entry::UnreadableEntry;
use foxtaildrift::process::wall_time::WallTime;
use foxtaildrift::version::api_key::ApiKeyDigest;
use foxtaildrift::version::burst::Burst;
use foxtaildrift::version::document_version::DocumentVersion;
use foxtaildrift::version::epoch::Epoch;
use foxtaildrift::version::instance_id::InstanceId;
use foxtaildrift::version::member::{CPU_SHARE_DEFAULT, MemberInfo, WEIGHT_FULL};
use foxtaildrift::version::routing_config::RoutingConfig;
use foxtaildrift::version::session_id::SessionId;
use foxtaildrift::version::store_era::StoreEra;
use foxtaildrift::version::team::Team;
use foxtaildrift::version::teams::Teams;

/// The key of the configuration in [`PlainOperators`].
const CONFIG_KEY: &str = "op/config";
/// The prefix of the keys of evacuated failure domains in [`PlainOperators`].
const EVACUATE_PREFIX: &str = "op/evacuate/";

/// The beginning of labels of configurations with teams in [`PlainOperators`].
const WITH_TEAMS: &str = "teams";

/// The value of [`CONFIG_KEY`] is the label; it must be UTF-8 text.
pub struct PlainOperators;

impl OperatorProtocol for PlainOperators {
    fn key_prefix(&self) -> &str {
        "op/"
    }

    fn teams_key(&self) -> &str {
        CONFIG_KEY
    }

    fn parse(&self, items: &[KeyValue]) -> Result<RoutingConfig, RoutingConfigError> {
        let error = |reason: &str| RoutingConfigError {
            key: CONFIG_KEY.to_owned(),
            field: "(root)".to_owned(),
            reason: reason.to_owned(),
        };
        let config = items.iter().find(|i| i.key == CONFIG_KEY);
        let config = config.ok_or_else(|| error("missing"))?;
        let label = String::from_utf8(config.value.clone()).map_err(|_| error("not text"))?;
        let evacuated = items
            .iter()
            .filter_map(|i| i.key.strip_prefix(EVACUATE_PREFIX));
        Ok(RoutingConfig {
            teams: label.starts_with(WITH_TEAMS).then(|| teams(&label)),
            label,
            evacuated: evacuated.filter_map(|d| d.parse().ok()).collect(),
            ..RoutingConfig::default()
        })
    }
}

/// Returns one team with the key `key`.
fn teams(key: &str) -> Teams {
    let team = Team {
        name: "hule930".parse().unwrap(),
        priority: None,
        rate: None,
        burst: Burst::default(),
    };
    Teams::new([(team, vec![ApiKeyDigest::of(key.as_bytes())])])
}

/// The system's clock, put forward.
#[derive(Default)]
struct ForwardClock(Mutex<Duration>);

impl Clock for ForwardClock {
    fn now(&self) -> Moment {
        SystemClock.now() + *self.0.lock().unwrap()
    }

    fn wall_time(&self) -> WallTime {
        SystemClock.wall_time()
    }
}

/// A store with prepared responses; after the last one it stops the daemon.
#[derive(Default)]
struct PreparedStore {
    ranges: Mutex<VecDeque<RangeResponse>>,
    watches: Mutex<VecDeque<WatchResponse>>,
    /// The times of all calls.
    calls: Mutex<Vec<Moment>>,
    /// The timeouts of the watch calls.
    waits: Mutex<Vec<Duration>>,
    clock: Arc<ForwardClock>,
    /// The call during which the clock is put forward by [`HOLD_TIME`], counted from zero.
    forward_at: Option<usize>,
    /// How long the last prepared watch takes.
    pause_before_last_watch: Duration,
    stop: Arc<StopFlag>,
}

impl PreparedStore {
    fn next<T>(&self, prepared: &Mutex<VecDeque<T>>) -> Result<T, StoreError> {
        let mut calls = self.calls.lock().unwrap();
        calls.push(self.clock.now());
        if self.forward_at == Some(calls.len() - 1) {
            *self.clock.0.lock().unwrap() += HOLD_TIME;
        }
        drop(calls);
        // Tells the times of two calls apart.
        thread::sleep(Duration::from_millis(2));
        prepared.lock().unwrap().pop_front().ok_or_else(|| {
            self.stop.set();
            StoreError::Refused(503)
        })
    }
}

impl Store for PreparedStore {
    fn range(&self, _: &str) -> Result<RangeResponse, StoreError> {
        self.next(&self.ranges)
    }

    fn watch(
        &self,
        _: &str,
        _: StorePosition,
        wait: Duration,
    ) -> Result<WatchResponse, StoreError> {
        self.waits.lock().unwrap().push(wait);
        if self.watches.lock().unwrap().len() == 1 {
            thread::sleep(self.pause_before_last_watch);
        }
        self.next(&self.watches)
    }

    fn commit(&self, _: &Transaction) -> Result<CommitOutcome, StoreError> {
        Err(StoreError::Refused(503))
    }

    fn close(&self) {}
}

pub fn membership() -> Arc<Membership> {
    membership_with(Arc::new(SystemClock))
}

fn membership_with(clock: Arc<dyn Clock>) -> Arc<Membership> {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    let info = MemberInfo {
        session: SessionId {
            instance: InstanceId(1),
            tenure: 1,
        },
        peer: address,
        entry: address,
        domain: "zarzis".parse().unwrap(),
        upstream: None,
        leaving: false,
        weight: WEIGHT_FULL,
        cpu_share: CPU_SHARE_DEFAULT,
    };
    let freshness = RoutingFreshness::strict(Duration::from_secs(5));
    let ownership = Ownership::new(1, LeaseTimes::default(), info, clock.now(), 7);
    let ownership = ownership.with_routing_freshness(freshness);
    let reactor = Reactor::start().unwrap();
    let timeouts = PeerTimeouts {
        acknowledge: Duration::from_millis(100),
        reply: Duration::from_millis(500),
        silence: Duration::ZERO,
    };
    let pool = Arc::new(PeerPool::new(
        &reactor,
        IpAddr::V4(Ipv4Addr::LOCALHOST),
        timeouts,
    ));
    let metrics = Arc::new(Metrics::new().unwrap());
    let (events, _) = mpsc::channel();
    Arc::new(Membership::new(clock, ownership, socket, pool, metrics, events).unwrap())
}

/// Returns a position in era 0.
fn first_era(revision: u64) -> StorePosition {
    at(0, revision)
}

fn at(era: u64, revision: u64) -> StorePosition {
    StorePosition::new(StoreEra(era), Revision(revision))
}

pub fn item(key: &str, value: &[u8], revision: u64) -> KeyValue {
    item_at(key, value, first_era(revision))
}

fn item_at(key: &str, value: &[u8], position: StorePosition) -> KeyValue {
    KeyValue {
        key: key.to_owned(),
        value: value.to_vec(),
        position,
    }
}

pub fn range(items: Vec<KeyValue>, as_of: u64) -> RangeResponse {
    range_at(items, first_era(as_of))
}

fn range_at(items: Vec<KeyValue>, as_of: StorePosition) -> RangeResponse {
    RangeResponse {
        items,
        as_of,
        ..RangeResponse::default()
    }
}

pub fn changes(changes: Vec<KeyChange>, as_of: u64) -> WatchResponse {
    changes_at(changes, first_era(as_of))
}

fn changes_at(changes: Vec<KeyChange>, as_of: StorePosition) -> WatchResponse {
    WatchResponse::Changes {
        changes,
        as_of,
        unreadable: Vec::new(),
    }
}

/// Returns a range without values, whose entries with these keys can't be read.
fn unreadable_range(keys: &[Option<&str>], as_of: u64) -> RangeResponse {
    let entry = |key: &Option<&str>| UnreadableEntry {
        key: key.map(str::to_owned),
        reason: "odd".to_owned(),
    };
    RangeResponse {
        unreadable: keys.iter().map(entry).collect(),
        ..range(Vec::new(), as_of)
    }
}

/// Returns the daemon's membership after it has watched the routing in a store with these responses.
fn after_routing(ranges: Vec<RangeResponse>, watches: Vec<WatchResponse>) -> Arc<Membership> {
    run(ranges, watches, |sync, stop| sync.sync_routing(stop))
}

/// Returns the daemon's membership after it has watched the table in a store with these responses.
fn after_table(ranges: Vec<RangeResponse>, watches: Vec<WatchResponse>) -> Arc<Membership> {
    run(ranges, watches, |sync, stop| sync.sync_table(stop))
}

fn run(
    ranges: Vec<RangeResponse>,
    watches: Vec<WatchResponse>,
    watch: impl FnOnce(&StoreSync, &StopFlag),
) -> Arc<Membership> {
    let membership = membership();
    let store = prepared_store(ranges, watches);
    let stop = Arc::clone(&store.stop);
    let protocol = Arc::new(PlainOperators);
    let sync = StoreSync::new(store, protocol, Arc::clone(&membership), InstanceId(1));
    watch(&sync, &stop);
    membership
}

fn prepared_store(ranges: Vec<RangeResponse>, watches: Vec<WatchResponse>) -> Arc<PreparedStore> {
    Arc::new(PreparedStore {
        ranges: Mutex::new(ranges.into()),
        watches: Mutex::new(watches.into()),
        ..PreparedStore::default()
    })
}

/// Watches the routing until the store has no more prepared responses.
fn watch_routing(store: &Arc<PreparedStore>, membership: &Arc<Membership>) {
    let protocol = Arc::new(PlainOperators);
    let sync = StoreSync::new(
        Arc::clone(store) as Arc<dyn Store>,
        protocol,
        Arc::clone(membership),
        InstanceId(1),
    );
    sync.sync_routing(&store.stop);
}

fn routing(membership: &Membership) -> (String, Vec<String>) {
    let active = membership.active_configuration();
    let routing = active.routing_config.as_ref().expect("no routing");
    let evacuated = routing.evacuated.iter().map(ToString::to_string);
    (routing.label.clone(), evacuated.collect())
}

fn table(epoch: u64) -> Vec<u8> {
    let table = Table {
        epoch: Epoch(epoch),
        ..Table::default()
    };
    postcard::to_stdvec(&table).unwrap()
}

#[test]
fn an_invalid_configuration_leaves_the_previous_one_in_force_with_later_changes() {
    let invalid = KeyChange::Put(item(CONFIG_KEY, &[0xff], 5));
    let evacuation = KeyChange::Put(item("op/evacuate/zarzis", b"", 6));
    let membership = after_routing(
        vec![range(vec![item(CONFIG_KEY, b"first", 4)], 4)],
        vec![changes(vec![invalid], 5), changes(vec![evacuation], 6)],
    );
    let expected = ("first".to_owned(), vec!["zarzis".to_owned()]);
    assert_eq!(routing(&membership), expected);
}

#[test]
fn a_valid_configuration_after_an_invalid_one_is_adopted() {
    let invalid = KeyChange::Put(item(CONFIG_KEY, &[0xff], 5));
    let valid = KeyChange::Put(item(CONFIG_KEY, b"second", 6));
    let membership = after_routing(
        vec![range(vec![item(CONFIG_KEY, b"first", 4)], 4)],
        vec![changes(vec![invalid], 5), changes(vec![valid], 6)],
    );
    assert_eq!(routing(&membership), ("second".to_owned(), Vec::new()));
}

#[test]
fn an_invalid_table_leaves_the_previous_one_in_force() {
    for odd in [Vec::new(), vec![0xff; 64], table(u64::MAX), table(1 << 44)] {
        let membership = after_table(
            vec![range(vec![item(TABLE_KEY, &table(3), 4)], 4)],
            vec![changes(vec![KeyChange::Put(item(TABLE_KEY, &odd, 5))], 5)],
        );
        assert_eq!(membership.table().epoch, Epoch(3), "{odd:x?}");
    }
}

#[test]
fn a_valid_table_after_an_invalid_one_is_adopted() {
    let membership = after_table(
        vec![range(vec![item(TABLE_KEY, &table(u64::MAX), 4)], 4)],
        vec![changes(
            vec![KeyChange::Put(item(TABLE_KEY, &table(3), 5))],
            5,
        )],
    );
    assert_eq!(membership.table().epoch, Epoch(3));
}

#[test]
fn values_that_cannot_be_read_again_are_not_removed() {
    let hidden = [
        vec![Some(CONFIG_KEY), Some("op/evacuate/zarzis")],
        // Whose entry it is can't be read.
        vec![None],
    ];
    for keys in hidden {
        let items = vec![
            item(CONFIG_KEY, b"first", 3),
            item("op/evacuate/zarzis", b"", 4),
        ];
        let second = range(vec![item("op/evacuate/ajka", b"", 6)], 6);
        let second = RangeResponse {
            unreadable: unreadable_range(&keys, 6).unreadable,
            ..second
        };
        let membership = after_routing(
            vec![range(items, 4), second],
            vec![WatchResponse::HistoryLost],
        );
        let evacuated = vec!["ajka".to_owned(), "zarzis".to_owned()];
        assert_eq!(
            routing(&membership),
            ("first".to_owned(), evacuated),
            "{keys:?}"
        );
    }
}

#[test]
fn a_value_that_was_removed_is_not_kept_for_the_sake_of_another() {
    let items = vec![
        item(CONFIG_KEY, b"first", 3),
        item("op/evacuate/zarzis", b"", 4),
    ];
    let second = RangeResponse {
        unreadable: unreadable_range(&[Some("op/odd")], 6).unreadable,
        ..range(vec![item(CONFIG_KEY, b"first", 3)], 6)
    };
    let membership = after_routing(
        vec![range(items, 4), second],
        vec![WatchResponse::HistoryLost],
    );
    assert_eq!(routing(&membership), ("first".to_owned(), Vec::new()));
}

#[test]
fn a_table_that_cannot_be_read_again_stays_in_force() {
    let membership = after_table(
        vec![
            range(vec![item(TABLE_KEY, &table(3), 4)], 4),
            unreadable_range(&[Some(TABLE_KEY)], 5),
        ],
        vec![WatchResponse::HistoryLost],
    );
    assert_eq!(membership.table().epoch, Epoch(3));
}

/// Returns which call to the store is the last one that showed that the routing is the newest, counted
/// from zero, or `None` if none did.
fn newest_call(ranges: Vec<RangeResponse>, watches: Vec<WatchResponse>) -> Option<usize> {
    let store = prepared_store(ranges, watches);
    let membership = membership();
    watch_routing(&store, &membership);
    newest_call_of(&store, &membership)
}

fn newest_call_of(store: &PreparedStore, membership: &Membership) -> Option<usize> {
    let newest = membership.with_ownership(|o, _| o.routing_freshness().newest_at())?;
    // The time of a call is taken just before it.
    let calls = store.calls.lock().unwrap();
    Some(calls.iter().filter(|call| **call < newest).count())
}

/// A routing with a revoked key must not count as the newest while the store has one that this daemon
/// can't apply.
#[test]
fn a_routing_counts_as_the_newest_only_if_the_daemon_could_apply_what_the_store_has() {
    let first = |value: &[u8]| vec![range(vec![item(CONFIG_KEY, value, 4)], 4)];
    let put = |value: &[u8], revision| KeyChange::Put(item(CONFIG_KEY, value, revision));
    let unreadable = |key: Option<&str>| WatchResponse::Changes {
        changes: Vec::new(),
        as_of: first_era(5),
        unreadable: unreadable_range(&[key], 5).unreadable,
    };
    assert_eq!(newest_call(first(b"no teams"), Vec::new()), None);
    assert_eq!(newest_call(vec![range(Vec::new(), 4)], Vec::new()), None);
    let none = || changes(Vec::new(), 5);
    let cases = [
        ("nothing changed", vec![none()], 1),
        (
            "a newer one is adopted",
            vec![changes(vec![put(b"teams 2", 5)], 5), none()],
            2,
        ),
        (
            "perhaps only a part of the changes",
            vec![changes(vec![put(b"teams 2", 5)], 5)],
            0,
        ),
        (
            "refused",
            vec![changes(vec![put(&[0xff], 5)], 5), none()],
            0,
        ),
        (
            "not readable",
            vec![unreadable(Some(CONFIG_KEY)), none()],
            0,
        ),
        ("perhaps not readable", vec![unreadable(None), none()], 0),
        ("another value", vec![unreadable(Some("op/odd")), none()], 2),
        (
            "readable again",
            vec![
                unreadable(None),
                changes(vec![put(b"teams 2", 6)], 6),
                changes(Vec::new(), 6),
            ],
            3,
        ),
        ("the store went back", vec![changes(Vec::new(), 3)], 0),
    ];
    for (case, watches, expected) in cases {
        let newest = newest_call(first(b"teams 1"), watches);
        assert_eq!(newest, Some(expected), "{case}");
    }
}

/// A daemon that has its routing from another one must not take a read that hides the configuration
/// for a confirmation.
#[test]
fn a_read_without_the_configuration_confirms_no_routing() {
    for key in [Some(CONFIG_KEY), None] {
        let membership = membership();
        let items = [item(CONFIG_KEY, b"teams 1", 4)];
        let mut routing = PlainOperators.parse(&items).unwrap();
        routing.version = DocumentVersion::from(4_u64);
        membership.adopt_routing_config(routing);
        let hidden = RangeResponse {
            unreadable: unreadable_range(&[key], 6).unreadable,
            ..range(vec![item("op/evacuate/ajka", b"", 6)], 6)
        };
        watch_routing(&prepared_store(vec![hidden], Vec::new()), &membership);
        let newest = membership.with_ownership(|o, _| o.routing_freshness().newest_at());
        assert_eq!(newest, None, "{key:?}");
    }
}

/// A configuration that was written while the values were read must not have the version of the one
/// before: daemons with equal versions confirm each other's routing.
#[test]
fn the_version_of_a_routing_is_not_below_the_revision_of_its_values() {
    let range = range(vec![item(CONFIG_KEY, b"second", 6)], 5);
    let membership = after_routing(vec![range], Vec::new());
    assert_eq!(
        membership.active_configuration().version,
        DocumentVersion::from(6_u64)
    );
}

/// With strict revocation the other daemons' knowledge is as old as these calls are long.
#[test]
fn watch_calls_are_short_only_where_keys_must_stop_working_in_time() {
    for (label, limit) in [
        (&b"teams 1"[..], Duration::from_secs(1)),
        (b"one", Duration::MAX),
    ] {
        let store = prepared_store(
            vec![range(vec![item(CONFIG_KEY, label, 4)], 4)],
            vec![changes(Vec::new(), 4)],
        );
        watch_routing(&store, &membership());
        let waits = store.waits.lock().unwrap();
        assert!(waits.iter().all(|w| *w <= limit), "{waits:?}");
        let is_long = waits.iter().all(|w| *w >= Duration::from_secs(3));
        assert_eq!(is_long, limit == Duration::MAX, "{waits:?}");
    }
}

/// A store whose first watch call fails; it records the timeouts of all, and stops the daemon with the
/// third.
#[derive(Default)]
struct FailingOnce {
    timeouts: Mutex<Vec<Duration>>,
    stop: Arc<StopFlag>,
}

impl Store for FailingOnce {
    fn range(&self, _: &str) -> Result<RangeResponse, StoreError> {
        Ok(range(vec![item(CONFIG_KEY, b"one", 1)], 1))
    }

    fn watch(
        &self,
        _: &str,
        _: StorePosition,
        wait: Duration,
    ) -> Result<WatchResponse, StoreError> {
        let mut timeouts = self.timeouts.lock().unwrap();
        timeouts.push(wait);
        match timeouts.len() {
            1 => Err(StoreError::NoResponse("silent".to_owned())),
            2 => Ok(changes(Vec::new(), 1)),
            _ => {
                self.stop.set();
                Ok(changes(Vec::new(), 1))
            }
        }
    }

    fn commit(&self, _: &Transaction) -> Result<CommitOutcome, StoreError> {
        Err(StoreError::Refused(503))
    }

    fn close(&self) {}
}

// After a silent outage the routing came into force only when a long watch call, sent during the
// outage, had run into its timeout (CONFIG).
#[test]
fn watch_calls_are_short_until_the_store_answers_again() {
    let store = Arc::new(FailingOnce::default());
    let stop = Arc::clone(&store.stop);
    let sync = StoreSync::new(
        Arc::clone(&store) as Arc<dyn Store>,
        Arc::new(PlainOperators),
        membership(),
        InstanceId(1),
    );
    sync.sync_routing(&stop);
    let timeouts = store.timeouts.lock().unwrap();
    assert!(timeouts[1] <= Duration::from_millis(300), "{timeouts:?}");
    assert_eq!(timeouts[0], timeouts[2], "{timeouts:?}");
}

/// Returns a watch response that shows that the store came back.
fn came_back() -> WatchResponse {
    WatchResponse::EraChanged
}

fn evacuated(names: &[&str]) -> Vec<String> {
    names.iter().map(|n| (*n).to_owned()).collect()
}

// The version was the bare revision, so routing read before with a higher one hid what the operator
// wrote again.
#[test]
fn routing_of_a_new_era_with_a_lower_revision_is_adopted() {
    let again = KeyChange::Put(item_at(CONFIG_KEY, b"again", at(1, 91)));
    let membership = after_routing(
        vec![
            range(vec![item(CONFIG_KEY, b"first", 80)], 100),
            range_at(vec![item_at(CONFIG_KEY, b"first", at(1, 80))], at(1, 90)),
        ],
        vec![came_back(), changes_at(vec![again], at(1, 91))],
    );
    assert_eq!(routing(&membership), ("again".to_owned(), Vec::new()));
    let version = membership.active_configuration().version;
    assert_eq!(version, at(1, 91).document_version());
}

// A routing change, an evacuation and a removal of the lost seconds stay in force.
#[test]
fn what_was_adopted_in_the_lost_seconds_stays_until_it_is_written_again() {
    let copy = vec![
        item_at(CONFIG_KEY, b"first", at(1, 80)),
        item_at("op/evacuate/ajka", b"", at(1, 81)),
    ];
    let removal = KeyChange::Removed {
        key: "op/evacuate/ajka".to_owned(),
        position: first_era(97),
    };
    let lost = vec![
        KeyChange::Put(item(CONFIG_KEY, b"second", 95)),
        KeyChange::Put(item("op/evacuate/zarzis", b"", 96)),
        removal,
    ];
    let first = vec![
        item(CONFIG_KEY, b"first", 80),
        item("op/evacuate/ajka", b"", 81),
    ];
    let ranges = || vec![range(first.clone(), 85), range_at(copy.clone(), at(1, 90))];
    let before = vec![changes(lost, 97), came_back()];
    let membership = after_routing(ranges(), before.clone());
    let kept = ("second".to_owned(), evacuated(&["zarzis"]));
    assert_eq!(routing(&membership), kept);
    let active = membership.active_configuration();
    let carried = active.routing_config.as_ref().unwrap().carried;
    assert_eq!(carried, first_era(97).document_version());

    // Written again, then removed: the removal must not be lost.
    let again = KeyChange::Put(item_at("op/evacuate/zarzis", b"", at(1, 91)));
    let removed = KeyChange::Removed {
        key: "op/evacuate/zarzis".to_owned(),
        position: at(1, 92),
    };
    let mut watches = before.clone();
    watches.push(changes_at(vec![again.clone()], at(1, 91)));
    watches.push(changes_at(vec![removed], at(1, 92)));
    let membership = after_routing(ranges(), watches);
    assert_eq!(routing(&membership), ("second".to_owned(), Vec::new()));

    // The same where the daemon sees it only by reading again.
    let mut ranges_with_gap = ranges();
    ranges_with_gap.push(range_at(copy.clone(), at(1, 95)));
    let mut watches = before;
    watches.push(changes_at(vec![again], at(1, 91)));
    watches.push(WatchResponse::HistoryLost);
    let membership = after_routing(ranges_with_gap, watches);
    assert_eq!(routing(&membership), ("second".to_owned(), Vec::new()));
}

// The copy had the evacuation, so the operator has removed it after the return.
#[test]
fn a_removal_after_the_return_is_not_taken_for_a_loss() {
    let first = vec![
        item("op/evacuate/zarzis", b"", 70),
        item(CONFIG_KEY, b"first", 80),
    ];
    let copy = vec![item_at(CONFIG_KEY, b"first", at(1, 80))];
    let membership = after_routing(
        vec![range(first, 100), range_at(copy, at(1, 91))],
        vec![came_back()],
    );
    assert_eq!(routing(&membership), ("first".to_owned(), Vec::new()));
}

#[test]
fn a_revision_given_out_again_for_other_content_is_a_new_value() {
    let copy = vec![item_at(CONFIG_KEY, b"other", at(1, 95))];
    let membership = after_routing(
        vec![
            range(vec![item(CONFIG_KEY, b"first", 80)], 85),
            range_at(copy, at(1, 95)),
        ],
        vec![
            changes(vec![KeyChange::Put(item(CONFIG_KEY, b"second", 95))], 95),
            came_back(),
        ],
    );
    assert_eq!(routing(&membership), ("other".to_owned(), Vec::new()));
}

#[test]
fn what_was_lost_stays_if_the_era_rises_twice() {
    let copy = |era| vec![item_at(CONFIG_KEY, b"first", at(era, 80))];
    let lost = vec![
        KeyChange::Put(item(CONFIG_KEY, b"second", 95)),
        KeyChange::Put(item("op/evacuate/zarzis", b"", 96)),
    ];
    let membership = after_routing(
        vec![
            range(vec![item(CONFIG_KEY, b"first", 80)], 85),
            range_at(copy(1), at(1, 200)),
            range_at(copy(2), at(2, 88)),
        ],
        vec![changes(lost, 96), came_back(), came_back()],
    );
    let kept = ("second".to_owned(), evacuated(&["zarzis"]));
    assert_eq!(routing(&membership), kept);
}

// A process that started after the return knows the copy only.
#[test]
fn routing_that_a_peer_read_from_the_copy_does_not_replace_what_was_lost() {
    let membership = after_routing(
        vec![range(vec![item(CONFIG_KEY, b"second", 95)], 95)],
        Vec::new(),
    );
    let from_copy = RoutingConfig {
        version: at(1, 90).document_version(),
        label: "first".to_owned(),
        ..RoutingConfig::default()
    };
    assert!(!membership.adopt_routing_config(from_copy.clone()));
    assert!(!membership.should_fetch_routing(from_copy.version));
    let merged = RoutingConfig {
        carried: first_era(95).document_version(),
        label: "third".to_owned(),
        ..from_copy
    };
    assert!(membership.adopt_routing_config(merged));
}

#[test]
fn the_table_of_the_copy_does_not_replace_the_one_in_force() {
    let membership = after_table(
        vec![
            range(vec![item(TABLE_KEY, &table(43), 99)], 100),
            range_at(vec![item_at(TABLE_KEY, &table(40), at(1, 85))], at(1, 90)),
        ],
        vec![came_back()],
    );
    assert_eq!(membership.table().epoch, Epoch(43));
    let era = membership.with_ownership(|o, _| o.store_era());
    assert_eq!(era, StoreEra(1));
}

// A planner that did not know of the new era wrote on from the table of the former one, because the
// revision that it expected was given out again.
#[test]
fn a_table_planned_in_a_former_era_is_not_adopted() {
    let unaware = KeyChange::Put(item_at(TABLE_KEY, &table(44), at(1, 91)));
    let membership = after_table(
        vec![
            range(vec![item(TABLE_KEY, &table(43), 99)], 100),
            range_at(vec![item_at(TABLE_KEY, &table(40), at(1, 85))], at(1, 90)),
        ],
        vec![came_back(), changes_at(vec![unaware], at(1, 91))],
    );
    assert_eq!(membership.table().epoch, Epoch(43));
}

/// A key was revoked in the lost seconds ("teams 2"), and the store's copy has it again ("teams 1"). It
/// must not work at a daemon that had adopted the revocation. Calls in the new era must not confirm a
/// routing before the operators have written the teams again, or had time to: the store may have lost a
/// revocation that this daemon has not seen.
#[test]
fn a_key_revoked_in_the_lost_seconds_does_not_work_again() {
    let put = |value: &[u8], revision| KeyChange::Put(item_at(CONFIG_KEY, value, at(1, revision)));
    let written = |value: &[u8], revision| changes_at(vec![put(value, revision)], at(1, revision));
    let none = |revision| changes_at(Vec::new(), at(1, revision));
    let revoked = || changes(vec![KeyChange::Put(item(CONFIG_KEY, b"teams 2", 95))], 95);
    let evacuation = KeyChange::Put(item_at("op/evacuate/ajka", b"", at(1, 91)));
    let evacuation = changes_at(vec![evacuation], at(1, 91));
    // The calls: a read, two watches, and the read of the copy; then those of each case.
    let cases = [
        (
            "kept",
            revoked(),
            vec![none(90), none(93)],
            None,
            "teams 2",
            Some(0),
        ),
        (
            "none seen",
            changes(Vec::new(), 85),
            vec![none(90)],
            None,
            "teams 1",
            Some(1),
        ),
        (
            "none written again",
            changes(Vec::new(), 85),
            vec![none(90), none(93)],
            Some(4),
            "teams 1",
            Some(5),
        ),
        (
            "another value",
            revoked(),
            vec![evacuation, none(91)],
            None,
            "teams 2",
            Some(0),
        ),
        (
            "written",
            revoked(),
            vec![written(b"teams 3", 91), none(91)],
            None,
            "teams 3",
            Some(5),
        ),
        (
            "refused",
            revoked(),
            vec![written(&[0xff], 91), none(91)],
            None,
            "teams 2",
            Some(0),
        ),
        (
            "dropped",
            revoked(),
            vec![none(90), none(93), none(94)],
            Some(5),
            "teams 1",
            None,
        ),
        (
            "written late",
            revoked(),
            vec![none(93), written(b"teams 1", 94), none(94)],
            Some(4),
            "teams 1",
            Some(6),
        ),
    ];
    for (case, lost, later, forward_at, label, newest) in cases {
        let mut watches = vec![lost, came_back()];
        watches.extend(later);
        let copy = range_at(vec![item_at(CONFIG_KEY, b"teams 1", at(1, 80))], at(1, 90));
        let store = Arc::new(PreparedStore {
            ranges: Mutex::new([range(vec![item(CONFIG_KEY, b"teams 1", 80)], 85), copy].into()),
            watches: Mutex::new(watches.into()),
            forward_at,
            ..PreparedStore::default()
        });
        let membership = membership_with(Arc::clone(&store.clock) as Arc<dyn Clock>);
        watch_routing(&store, &membership);
        assert_eq!(routing(&membership).0, label, "{case}");
        assert_eq!(newest_call_of(&store, &membership), newest, "{case}");
    }
}

/// A daemon that read the store first after the last revision of the copy: a configuration written after
/// the return has a revision below that. It was taken for one that the kept one had replaced, so a key
/// that it revokes would have worked for as long as lost values are held.
#[test]
fn a_configuration_written_before_the_first_read_of_the_new_era_replaces_the_one_before() {
    let written = vec![item_at(CONFIG_KEY, b"teams 2", at(1, 91))];
    let store = prepared_store(
        vec![
            range(vec![item(CONFIG_KEY, b"teams 1", 80)], 100),
            range_at(written, at(1, 92)),
        ],
        vec![came_back()],
    );
    let membership = membership();
    watch_routing(&store, &membership);
    assert_eq!(routing(&membership).0, "teams 2");
    assert_eq!(newest_call_of(&store, &membership), Some(2));
}

/// A daemon that got the routing in force from another one, and that read only the copy itself: another
/// change by operators must not bring the key of the copy back, nor may a later read confirm it.
#[test]
fn a_change_of_another_value_does_not_make_a_revoked_key_valid() {
    let evacuation = KeyChange::Put(item_at("op/evacuate/ajka", b"", at(1, 91)));
    let none = || changes_at(Vec::new(), at(1, 93));
    for (forward_at, label) in [(None, "teams 2"), (Some(2), "teams 1")] {
        let copy = range_at(vec![item_at(CONFIG_KEY, b"teams 1", at(1, 80))], at(1, 90));
        let change = changes_at(vec![evacuation.clone()], at(1, 91));
        let store = Arc::new(PreparedStore {
            ranges: Mutex::new([copy].into()),
            watches: Mutex::new([change, none(), none()].into()),
            forward_at,
            ..PreparedStore::default()
        });
        let membership = membership_with(Arc::clone(&store.clock) as Arc<dyn Clock>);
        membership.adopt_routing_config(RoutingConfig {
            version: first_era(97).document_version(),
            label: "teams 2".to_owned(),
            teams: Some(teams("teams 2")),
            ..RoutingConfig::default()
        });
        watch_routing(&store, &membership);
        assert_eq!(routing(&membership).0, label);
        assert_eq!(newest_call_of(&store, &membership), None, "{label}");
    }
}

/// A daemon that does not read the store gets the copy's teams, with the key that was revoked, from
/// another one after the time in which lost routing is held. Neither its earlier knowledge nor a
/// witness with the same routing may make that key work.
#[test]
fn teams_that_a_peer_read_from_the_copy_are_not_confirmed() {
    let with_teams = |version: StorePosition, key: &str| RoutingConfig {
        version: version.document_version(),
        teams: Some(teams(key)),
        ..RoutingConfig::default()
    };
    let clock = Arc::new(ForwardClock::default());
    let membership = membership_with(Arc::clone(&clock) as Arc<dyn Clock>);
    let confirm = |position: StorePosition| {
        let version = position.document_version();
        membership.with_ownership(|o, now| {
            let own = o.document_version();
            let freshness = o.routing_freshness_mut();
            freshness.record_grant(now, Duration::ZERO, version, own);
            freshness.is_recent(now)
        })
    };
    assert!(membership.adopt_routing_config(with_teams(first_era(97), "after")));
    assert!(confirm(first_era(97)));
    assert!(!membership.adopt_routing_config(with_teams(at(1, 90), "before")));
    *clock.0.lock().unwrap() += HOLD_TIME;
    membership.with_ownership(|o, now| o.routing_freshness_mut().record_store_call(now));
    assert!(membership.adopt_routing_config(with_teams(at(1, 120), "before")));
    let is_recent = membership.with_ownership(|o, now| o.routing_freshness().is_recent(now));
    assert!(!is_recent, "its earlier knowledge is of the other routing");
    assert!(!confirm(at(1, 120)));
    assert!(membership.adopt_routing_config(with_teams(at(1, 121), "written")));
    assert!(confirm(at(1, 121)));
}

// An operator who removes what the copy does not have leaves no trace in the store.
#[test]
fn lost_routing_that_nobody_writes_again_is_given_up() {
    let copy = vec![item_at(CONFIG_KEY, b"first", at(1, 80))];
    let lost = KeyChange::Put(item("op/evacuate/zarzis", b"", 96));
    let membership = membership();
    let store = Arc::new(PreparedStore {
        ranges: Mutex::new(
            vec![
                range(vec![item(CONFIG_KEY, b"first", 80)], 85),
                range_at(copy, at(1, 90)),
            ]
            .into(),
        ),
        watches: Mutex::new(
            vec![
                changes(vec![lost], 96),
                came_back(),
                changes_at(Vec::new(), at(1, 90)),
            ]
            .into(),
        ),
        pause_before_last_watch: HOLD_TIME,
        ..PreparedStore::default()
    });
    let stop = Arc::clone(&store.stop);
    let protocol = Arc::new(PlainOperators);
    let sync = StoreSync::new(store, protocol, Arc::clone(&membership), InstanceId(1));
    sync.sync_routing(&stop);
    assert_eq!(routing(&membership), ("first".to_owned(), Vec::new()));
}

/// Returns a membership whose routing in force came from a peer, and takes lost content into account.
fn with_merged_routing(version: StorePosition) -> Arc<Membership> {
    let membership = membership();
    let merged = RoutingConfig {
        version: version.document_version(),
        carried: first_era(95).document_version(),
        label: "merged".to_owned(),
        ..RoutingConfig::default()
    };
    assert!(membership.adopt_routing_config(merged));
    membership
}

// Found by the soak (seed 203): a daemon that began to watch after the return refused its own reading,
// also of what the operator wrote then, and a failure domain stayed evacuated.
#[test]
fn a_daemon_that_began_to_watch_after_the_return_adopts_the_next_change() {
    let membership = with_merged_routing(at(1, 91));
    let change = KeyChange::Put(item_at(CONFIG_KEY, b"next", at(1, 93)));
    let store = Arc::new(PreparedStore {
        ranges: Mutex::new(
            vec![range_at(
                vec![item_at(CONFIG_KEY, b"copy", at(1, 80))],
                at(1, 92),
            )]
            .into(),
        ),
        watches: Mutex::new(vec![changes_at(vec![change], at(1, 93))].into()),
        ..PreparedStore::default()
    });
    let stop = Arc::clone(&store.stop);
    let protocol = Arc::new(PlainOperators);
    let sync = StoreSync::new(store, protocol, Arc::clone(&membership), InstanceId(1));
    sync.sync_routing(&stop);
    assert_eq!(routing(&membership), ("next".to_owned(), Vec::new()));
}

// Its reading was not tried again, so without a change it stayed refused after the time was over.
#[test]
fn a_refused_reading_is_adopted_once_lost_routing_is_held_no_longer() {
    let membership = with_merged_routing(at(1, 91));
    let store = Arc::new(PreparedStore {
        ranges: Mutex::new(
            vec![range_at(
                vec![item_at(CONFIG_KEY, b"copy", at(1, 80))],
                at(1, 92),
            )]
            .into(),
        ),
        watches: Mutex::new(vec![changes_at(Vec::new(), at(1, 92))].into()),
        pause_before_last_watch: HOLD_TIME,
        ..PreparedStore::default()
    });
    let stop = Arc::clone(&store.stop);
    let protocol = Arc::new(PlainOperators);
    let sync = StoreSync::new(store, protocol, Arc::clone(&membership), InstanceId(1));
    sync.sync_routing(&stop);
    assert_eq!(routing(&membership), ("copy".to_owned(), Vec::new()));
}
