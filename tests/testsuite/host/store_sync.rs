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
use foxtaildrift::process::host::store_sync::StoreSync;
use foxtaildrift::process::lease_times::LeaseTimes;
use foxtaildrift::process::membership::Membership;
use foxtaildrift::process::metrics::Metrics;
use foxtaildrift::process::ownership::Ownership;
use foxtaildrift::process::platform::Revision;
use foxtaildrift::process::stop_flag::StopFlag;
use foxtaildrift::process::store::{
    CommitOutcome, KeyChange, KeyValue, RangeResponse, Store, StoreError, TABLE_KEY, Transaction,
    WatchResponse,
};
use foxtaildrift::process::store_position::StorePosition;
use foxtaildrift::process::unreadable_entry::UnreadableEntry;
use foxtaildrift::version::epoch::Epoch;
use foxtaildrift::version::instance_id::InstanceId;
use foxtaildrift::version::member::{CPU_SHARE_DEFAULT, MemberInfo, WEIGHT_FULL};
use foxtaildrift::version::routing_config::RoutingConfig;
use foxtaildrift::version::session_id::SessionId;
use foxtaildrift::version::store_era::StoreEra;

/// The key of the configuration in [`PlainOperators`].
const CONFIG_KEY: &str = "op/config";
/// The prefix of the keys of evacuated failure domains in [`PlainOperators`].
const EVACUATE_PREFIX: &str = "op/evacuate/";

/// The value of [`CONFIG_KEY`] is the label; it must be UTF-8 text.
struct PlainOperators;

impl OperatorProtocol for PlainOperators {
    fn key_prefix(&self) -> &str {
        "op/"
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
    /// How long the last prepared watch takes.
    pause_before_last_watch: Duration,
    stop: Arc<StopFlag>,
}

impl PreparedStore {
    fn next<T>(&self, prepared: &Mutex<VecDeque<T>>) -> Result<T, StoreError> {
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

    fn watch(&self, _: &str, _: StorePosition, _: Duration) -> Result<WatchResponse, StoreError> {
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

fn membership() -> Arc<Membership> {
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
    let ownership = Ownership::new(1, LeaseTimes::default(), info, clock.now(), 7);
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

/// Returns a position in era 0.
fn first_era(revision: u64) -> StorePosition {
    at(0, revision)
}

fn at(era: u64, revision: u64) -> StorePosition {
    StorePosition::new(StoreEra(era), Revision(revision))
}

fn item(key: &str, value: &[u8], revision: u64) -> KeyValue {
    item_at(key, value, first_era(revision))
}

fn item_at(key: &str, value: &[u8], position: StorePosition) -> KeyValue {
    KeyValue {
        key: key.to_owned(),
        value: value.to_vec(),
        position,
    }
}

fn range(items: Vec<KeyValue>, as_of: u64) -> RangeResponse {
    range_at(items, first_era(as_of))
}

fn range_at(items: Vec<KeyValue>, as_of: StorePosition) -> RangeResponse {
    RangeResponse {
        items,
        as_of,
        ..RangeResponse::default()
    }
}

fn changes(changes: Vec<KeyChange>, as_of: u64) -> WatchResponse {
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
    let store = Arc::new(PreparedStore {
        ranges: Mutex::new(ranges.into()),
        watches: Mutex::new(watches.into()),
        pause_before_last_watch: Duration::ZERO,
        stop: Arc::default(),
    });
    let stop = Arc::clone(&store.stop);
    let protocol = Arc::new(PlainOperators);
    let sync = StoreSync::new(store, protocol, Arc::clone(&membership), InstanceId(1));
    watch(&sync, &stop);
    membership
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
        stop: Arc::default(),
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
