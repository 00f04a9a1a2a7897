//! Which announcements of a leaving upstream outlive the daemon's process, and who holds copies of them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use foxtaildrift::process::host::departure_holders::{self, ASKED, HOLDERS};
use foxtaildrift::process::host::departure_log::DepartureLog;
use foxtaildrift::process::host::departure_recovery::DepartureRecovery;
use foxtaildrift::process::host::held_departures::HeldDepartures;
use foxtaildrift::process::moment::Moment;
use foxtaildrift::version::departed_process::DepartedProcess;
use foxtaildrift::version::epoch::Epoch;
use foxtaildrift::version::instance_id::InstanceId;
use foxtaildrift::version::member::{Member, MemberInfo, WEIGHT_FULL};
use foxtaildrift::version::session_id::SessionId;
use foxtaildrift::version::table::Table;

/// A wait that is never over in these tests.
const LONG: Duration = Duration::from_secs(60);
const DOMAINS: [&str; 4] = ["zarzis", "djerba", "tataouine", "medenine-hq"];

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn departed(instance: &str, started_ms: Option<u64>) -> DepartedProcess {
    DepartedProcess {
        instance: instance.to_owned(),
        started_ms,
    }
}

fn peer(number: u16) -> SocketAddr {
    ([10, 0, 0, 1], 7000 + number).into()
}

/// Returns a table with a daemon for each of `numbers`, in turn in one of the failure domains.
fn table(numbers: impl IntoIterator<Item = u16>) -> Table {
    let member = |number: u16| {
        let session = SessionId {
            instance: InstanceId(u64::from(number)),
            tenure: 1,
        };
        let info = MemberInfo {
            session,
            peer: peer(number),
            entry: peer(number),
            domain: DOMAINS[usize::from(number) % DOMAINS.len()]
                .parse()
                .unwrap(),
            upstream: None,
            leaving: false,
            weight: WEIGHT_FULL,
            cpu_share: 1000,
        };
        let member = Member {
            info,
            witnesses: Vec::new(),
            witnesses_since: Epoch(1),
            witnesses_confirming: false,
        };
        (session, member)
    };
    Table {
        epoch: Epoch(1),
        members: numbers.into_iter().map(member).collect::<BTreeMap<_, _>>(),
        ..Table::default()
    }
}

/// Guards against the acknowledgement of a departure that only this process knows (DRAIN).
#[test]
fn a_departure_is_durable_once_it_is_stored_or_copied() {
    let log = DepartureLog::default();
    let announced = departed("a", Some(10));
    assert!(!log.is_durable(&announced));
    log.record_copied(&[departed("b", Some(10))]);
    assert!(!log.is_durable(&announced));
    log.record_copied(std::slice::from_ref(&announced));
    assert!(log.is_durable(&announced));
    assert!(!log.await_stored(&announced, Duration::ZERO));
    log.record_stored(std::slice::from_ref(&announced));
    assert!(log.await_stored(&announced, Duration::ZERO));
}

/// Guards against the acknowledgement of one process's departure for that of an earlier one of its name.
#[test]
fn the_departure_of_a_process_does_not_make_that_of_a_later_one_durable() {
    let log = DepartureLog::default();
    log.record_stored(&[departed("a", Some(10))]);
    assert!(log.is_durable(&departed("a", Some(10))));
    assert!(!log.is_durable(&departed("a", Some(11))));
    assert!(!log.is_durable(&departed("a", None)));
}

/// Guards against a stop that waits for announcements until it is killed, and against an
/// acknowledgement after the thread that stores them has ended.
#[test]
fn an_announcement_that_waits_when_the_process_ends_is_not_durable() {
    let log = DepartureLog::default();
    let announced = departed("a", Some(10));
    thread::scope(|scope| {
        let waiting = scope.spawn(|| log.await_stored(&announced, LONG));
        log.close();
        assert!(!waiting.join().unwrap());
    });
    assert!(!log.await_stored(&announced, LONG));
}

/// Guards against copies that are all lost with one failure domain.
#[test]
fn holders_are_other_daemons_in_different_domains() {
    let table = table(0..40);
    for host in 0..40 {
        let holders = departure_holders::choose(&table, peer(host), HOLDERS);
        assert_eq!(holders.len(), HOLDERS);
        assert!(!holders.contains(&peer(host)));
        let domains: BTreeSet<u16> = holders.iter().map(|h| (h.port() - 7000) % 4).collect();
        assert_eq!(domains.len(), HOLDERS, "host {host}: {holders:?}");
    }
}

/// Guards against a next process that asks other daemons than those with the copies, because some have
/// joined or left since.
#[test]
fn the_next_process_asks_the_holders_although_some_daemons_changed() {
    let before = table(0..40);
    let after = table((0..40).filter(|n| n % 10 != 3).chain(40..44));
    for host in (0..40).filter(|n| n % 10 != 3) {
        let holders = departure_holders::choose(&before, peer(host), HOLDERS);
        let asked = departure_holders::choose(&after, peer(host), ASKED);
        let remaining = holders.iter().filter(|h| (h.port() - 7000) % 10 != 3);
        let missed: Vec<_> = remaining.filter(|h| !asked.contains(h)).collect();
        assert!(missed.len() <= 1, "host {host}: {missed:?} not asked");
    }
}

#[test]
fn a_small_cell_has_as_many_holders_as_it_has_other_daemons() {
    assert_eq!(departure_holders::choose(&table([1]), peer(1), HOLDERS), []);
    assert_eq!(
        departure_holders::choose(&table([1, 2]), peer(1), HOLDERS),
        [peer(2)]
    );
}

/// Guards against a copy without a start time that later marks another process of the same name.
#[test]
fn only_departures_with_a_start_time_are_held() {
    let mut held = HeldDepartures::default();
    held.record(at(0), peer(1), vec![departed("a", None)]);
    assert_eq!(held.of_host(at(0), peer(1)), []);
    held.record(at(1), peer(1), vec![departed("a", Some(10))]);
    let more = vec![departed("a", Some(10)), departed("b", Some(5))];
    held.record(at(2), peer(1), more);
    let expected = [departed("a", Some(10)), departed("b", Some(5))];
    assert_eq!(held.of_host(at(3), peer(1)), expected);
    assert_eq!(held.of_host(at(3), peer(2)), []);
}

/// Guards against copies that take ever more memory.
#[test]
fn copies_are_bounded_and_expire() {
    let mut held = HeldDepartures::default();
    for number in 0..100 {
        let process = departed(&format!("i-{number}"), Some(number));
        held.record(at(number), peer(1), vec![process]);
    }
    assert_eq!(held.of_host(at(100), peer(1)).len(), 16);
    for number in 0..3000 {
        held.record(at(200), peer(number), vec![departed("a", Some(1))]);
    }
    let hosts = (0..3000).filter(|&n| !held.of_host(at(201), peer(n)).is_empty());
    assert_eq!(hosts.count(), 1024);
    assert_eq!(held.of_host(at(700_000), peer(2999)), []);
}

/// Guards against an upstream that is offered before its daemon knows what its former process
/// acknowledged (DRAIN).
#[test]
fn nothing_is_recovered_before_the_members_are_known() {
    let mut recovery = DepartureRecovery::new(at(0));
    recovery.record_store_read();
    assert!(!recovery.is_complete(at(60_000)));
    recovery.begin_asking(at(60_000), vec![]);
    assert!(recovery.is_complete(at(60_000)));
}

#[test]
fn a_process_that_read_the_store_waits_for_the_living_holders_only() {
    let mut recovery = DepartureRecovery::new(at(0));
    recovery.record_store_read();
    recovery.begin_asking(at(100), vec![peer(1), peer(2)]);
    recovery.record_answer(peer(1));
    assert!(!recovery.is_complete(at(599)));
    assert_eq!(recovery.silent_holders(), [peer(2)]);
    assert!(recovery.is_complete(at(600)));
    recovery.record_answer(peer(2));
    assert!(recovery.is_complete(at(100)));
}

/// Guards against an upstream that is not used as long as the store does not answer its daemon, though
/// others go on.
#[test]
fn holders_take_the_place_of_a_store_that_does_not_answer() {
    let mut recovery = DepartureRecovery::new(at(0));
    recovery.begin_asking(at(100), vec![peer(1), peer(2)]);
    assert!(!recovery.is_complete(at(9000)), "nobody has answered");
    recovery.record_answer(peer(1));
    recovery.record_answer(peer(2));
    assert!(!recovery.is_complete(at(1499)));
    assert!(recovery.is_complete(at(1500)));
}

/// Guards against a store that is asked ever again while it refuses each call.
#[test]
fn a_store_that_fails_is_read_again_after_a_delay_only() {
    let delay = Duration::from_millis(250);
    let mut recovery = DepartureRecovery::new(at(0));
    assert!(recovery.is_store_read_due(at(0), delay));
    recovery.record_failed_read(at(10));
    assert!(!recovery.is_store_read_due(at(259), delay));
    assert!(recovery.is_store_read_due(at(260), delay));
    recovery.record_store_read();
    assert!(!recovery.is_store_read_due(at(900), delay));
}
