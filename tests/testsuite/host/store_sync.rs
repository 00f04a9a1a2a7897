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
use foxtaildrift::process::unreadable_entry::UnreadableEntry;
use foxtaildrift::version::document_version::DocumentVersion;
use foxtaildrift::version::epoch::Epoch;
use foxtaildrift::version::instance_id::InstanceId;
use foxtaildrift::version::member::{CPU_SHARE_DEFAULT, MemberInfo, WEIGHT_FULL};
use foxtaildrift::version::routing_config::RoutingConfig;
use foxtaildrift::version::session_id::SessionId;
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
            teams: label.starts_with(WITH_TEAMS).then(Teams::default),
            label,
            evacuated: evacuated.filter_map(|d| d.parse().ok()).collect(),
            ..RoutingConfig::default()
        })
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
    stop: Arc<StopFlag>,
}

impl PreparedStore {
    fn next<T>(&self, prepared: &Mutex<VecDeque<T>>) -> Result<T, StoreError> {
        self.calls.lock().unwrap().push(SystemClock.now());
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

    fn watch(&self, _: &str, _: Revision, wait: Duration) -> Result<WatchResponse, StoreError> {
        self.waits.lock().unwrap().push(wait);
        self.next(&self.watches)
    }

    fn commit(&self, _: &Transaction) -> Result<CommitOutcome, StoreError> {
        Err(StoreError::Refused(503))
    }

    fn close(&self) {}
}

pub fn membership() -> Arc<Membership> {
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
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

pub fn item(key: &str, value: &[u8], revision: u64) -> KeyValue {
    KeyValue {
        key: key.to_owned(),
        value: value.to_vec(),
        revision: Revision(revision),
    }
}

pub fn range(items: Vec<KeyValue>, as_of: u64) -> RangeResponse {
    RangeResponse {
        items,
        as_of: Revision(as_of),
        ..RangeResponse::default()
    }
}

pub fn changes(changes: Vec<KeyChange>, as_of: u64) -> WatchResponse {
    WatchResponse::Changes {
        changes,
        as_of: Revision(as_of),
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
        as_of: Revision(5),
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
        routing.version = DocumentVersion(4);
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
        DocumentVersion(6)
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

    fn watch(&self, _: &str, _: Revision, wait: Duration) -> Result<WatchResponse, StoreError> {
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
