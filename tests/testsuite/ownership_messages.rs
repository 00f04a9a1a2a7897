//! How many messages a daemon sends in a large cell when it joins, or when a session ends.
//!
//! Pattern: hundreds of daemons start or stop at about the same time. If each tells all others, or
//! forwards to all what it hears, messages grow with the square of the cell.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use foxtaildrift::process::datagram::{Datagram, Message};
use foxtaildrift::process::host::routing_freshness::RoutingFreshness;
use foxtaildrift::process::lease_times::LeaseTimes;
use foxtaildrift::process::moment::Moment;
use foxtaildrift::process::ownership::Ownership;
use foxtaildrift::process::ownership_action::OwnershipAction;
use foxtaildrift::process::session_facts::SessionFacts;
use foxtaildrift::version::assignment::Assignment;
use foxtaildrift::version::document_version::DocumentVersion;
use foxtaildrift::version::epoch::Epoch;
use foxtaildrift::version::instance_id::InstanceId;
use foxtaildrift::version::member::{Member, MemberInfo};
use foxtaildrift::version::session_id::SessionId;
use foxtaildrift::version::table::{ServiceSlices, Table};
use foxtaildrift::version::witness_set::{WitnessAddress, WitnessSet};

const CELL_HASH: u64 = 1;
const MEMBERS: u64 = 200;

fn session(n: u64) -> SessionId {
    SessionId {
        instance: InstanceId(n),
        tenure: 1,
    }
}

fn peer(n: u64) -> SocketAddr {
    let octets = [
        10,
        1,
        u8::try_from(n / 250).unwrap(),
        u8::try_from(n % 250).unwrap(),
    ];
    (octets, 7380).into()
}

fn info(n: u64, address: u64) -> MemberInfo {
    MemberInfo {
        session: session(n),
        peer: peer(address),
        entry: peer(address),
        domain: format!("domain-{}", n % 4).parse().unwrap(),
        upstream: None,
        leaving: false,
        weight: 1000,
        // Every tenth host is a strong one.
        cpu_share: if n.is_multiple_of(10) { 500 } else { 100 },
    }
}

/// Returns a table with the members `numbers`, written by the member 20.
fn table(epoch: u64, numbers: impl Iterator<Item = u64>) -> Arc<Table> {
    let members = numbers.map(|n| {
        let member = Member {
            info: info(n, n),
            witnesses: Vec::new(),
            witnesses_since: Epoch(1),
            witnesses_confirming: false,
        };
        (session(n), member)
    });
    Arc::new(Table {
        epoch: Epoch(epoch),
        planner: InstanceId(20),
        members: members.collect(),
        ..Table::default()
    })
}

fn daemon(n: u64, address: u64) -> Ownership {
    let times = LeaseTimes::default();
    Ownership::new(CELL_HASH, times, info(n, address), Moment::default(), 7)
}

/// Returns the receivers of the messages of `kind` that the daemon sends now.
fn receivers(ownership: &mut Ownership, kind: &str) -> Vec<SocketAddr> {
    let sent = ownership.take_actions().into_iter();
    let receivers = sent.filter_map(|action| match action {
        OwnershipAction::Send { to, datagram } => (datagram.message.kind() == kind).then_some(to),
        _ => None,
    });
    receivers.collect()
}

fn facts_from(n: u64, facts: SessionFacts) -> Datagram {
    Datagram {
        cell_hash: CELL_HASH,
        from: InstanceId(n),
        peer: peer(n),
        epoch: Epoch(1),
        document_version: DocumentVersion::default(),
        message: Message::Facts(facts),
    }
}

fn resignation(n: u64) -> SessionFacts {
    SessionFacts {
        resigned: BTreeMap::from([(session(n), Epoch(1))]),
        ..SessionFacts::default()
    }
}

#[test]
fn a_joining_daemon_asks_the_likely_planners_and_now_and_then_all() {
    let mut joining = daemon(MEMBERS + 5, MEMBERS + 5);
    let mut now = Moment::default() + Duration::from_secs(1);
    joining.adopt_table(now, table(1, 0..MEMBERS));
    joining.take_actions();
    let mut counts = Vec::new();
    for _ in 0..6 {
        now = now + Duration::from_millis(600);
        joining.tick(now);
        let asked = receivers(&mut joining, "join");
        // The planner, and the strong hosts that would plan in its place.
        assert!(asked.contains(&peer(20)));
        assert!(asked.contains(&peer(0)) && asked.contains(&peer(10)));
        counts.push(asked.len());
    }
    let all = usize::try_from(MEMBERS).unwrap();
    assert_eq!(counts, [5, 5, all, 5, 5, all]);
}

#[test]
fn a_daemon_that_replaces_a_member_tells_all_at_once() {
    // It is the proof that the member is gone, which may be the planner.
    let mut successor = daemon(MEMBERS + 5, 20);
    let now = Moment::default() + Duration::from_secs(1);
    successor.adopt_table(now, table(1, 0..MEMBERS));
    successor.take_actions();
    successor.tick(now + Duration::from_millis(600));
    let asked = receivers(&mut successor, "join").len();
    assert_eq!(asked, usize::try_from(MEMBERS).unwrap());
}

#[test]
fn a_resignation_is_told_to_all_once_and_forwarded_to_few() {
    let now = Moment::default() + Duration::from_secs(1);
    let mut resigning = daemon(3, 3);
    resigning.adopt_table(now, table(1, 0..MEMBERS));
    resigning.take_actions();
    resigning.resign(now);
    let told = receivers(&mut resigning, "facts").len();
    assert_eq!(told, usize::try_from(MEMBERS - 1).unwrap());

    let mut other = daemon(4, 4);
    other.adopt_table(now, table(1, 0..MEMBERS));
    other.take_actions();
    other.receive(now, facts_from(3, resignation(3)));
    assert!(other.has_ended(session(3)));
    assert_eq!(receivers(&mut other, "facts").len(), 2);
    // What is known already is not forwarded again.
    other.receive(now, facts_from(9, resignation(3)));
    assert_eq!(receivers(&mut other, "facts").len(), 0);
}

#[test]
fn the_first_two_of_each_failure_domain_are_known_to_all() {
    let now = Moment::default() + Duration::from_secs(1);
    let mut positions: BTreeMap<String, Vec<usize>> = BTreeMap::new();
    for n in 0..MEMBERS {
        let mut member = daemon(n, n);
        member.adopt_table(now, table(1, 0..MEMBERS));
        let position = member.domain_position().expect("it is a member");
        let domain = member.info().domain.to_string();
        positions.entry(domain).or_default().push(position);
    }
    assert_eq!(positions.len(), 4);
    for (domain, mut found) in positions {
        found.sort_unstable();
        let expected: Vec<usize> = (0..found.len()).collect();
        assert_eq!(found, expected, "{domain}");
    }
    // When one has ended, the next takes its place.
    let mut third = daemon(8, 8);
    third.adopt_table(now, table(1, [0, 4, 8].into_iter()));
    assert_eq!(third.domain_position(), Some(2));
    third.receive(now, facts_from(0, resignation(0)));
    assert_eq!(third.domain_position(), Some(1));
}

#[test]
fn a_table_that_assigns_a_slice_at_an_earlier_epoch_does_not_stop_the_daemon() {
    // Guards against an odd table that ends the threads which ask what this daemon serves.
    let table_with = |epoch: u64, since: u64| {
        let mut table = Arc::unwrap_or_clone(table(epoch, 1..2));
        let own = table.members.get_mut(&session(1)).unwrap();
        let witness = WitnessAddress {
            instance: InstanceId(1),
            peer: peer(1),
        };
        own.witnesses = vec![WitnessSet(vec![witness])];
        let mut slices = ServiceSlices::ranged(1);
        slices.slices[0] = Assignment {
            candidates: vec![session(1)],
            since: Epoch(since),
            ..Assignment::default()
        };
        table.services.insert("desk".parse().unwrap(), slices);
        Arc::new(table)
    };
    let mut daemon = daemon(1, 1);
    let mut now = Moment::default() + Duration::from_secs(1);
    daemon.adopt_table(now, table_with(5, 5));
    for _ in 0..3 {
        now = now + Duration::from_millis(100);
        daemon.tick(now);
    }
    assert_eq!(daemon.served_slices(now).len(), 1);
    daemon.adopt_table(now, table_with(6, 4));
    daemon.tick(now);
    daemon.served_slices(now);
}

/// Returns what `daemon` answers to a renewal of the member `from`, sent at `sent`.
fn answer(daemon: &mut Ownership, now: Moment, from: u64, sent: Moment) -> Message {
    let renewal = Datagram {
        message: Message::Renew {
            session: session(from),
            sent,
            epoch: Epoch(1),
        },
        ..facts_from(from, SessionFacts::default())
    };
    daemon.take_actions();
    daemon.receive(now, renewal);
    let sent = daemon.take_actions().into_iter().find_map(|a| match a {
        OwnershipAction::Send { datagram, .. } => Some(datagram.message),
        _ => None,
    });
    sent.expect("an answer")
}

/// A daemon that is cut off from the store must learn from its witness's grants that its routing is
/// recent, and no daemon sends an age where nothing depends on it.
#[test]
fn a_grant_carries_the_age_of_the_routing_only_where_keys_must_stop_working_in_time() {
    let now = Moment::from_millis(10_000);
    let sent = Moment::from_millis(9_990);
    let witnessed = || {
        let mut table = Arc::unwrap_or_clone(table(1, 0..3));
        let set = WitnessSet(vec![WitnessAddress {
            instance: InstanceId(1),
            peer: peer(1),
        }]);
        if let Some(member) = table.members.get_mut(&session(2)) {
            member.witnesses = vec![set];
        }
        Arc::new(table)
    };
    let strict = || RoutingFreshness::strict(Duration::from_secs(5));
    let mut witness = daemon(1, 1);
    witness.adopt_table(now, witnessed());
    witness.routing_freshness_mut().record_store_call(sent);
    let plain = answer(&mut witness, now, 2, sent);
    assert!(
        matches!(
            plain,
            Message::Grant {
                routing_age: None,
                ..
            }
        ),
        "{plain:?}"
    );
    let mut witness = daemon(1, 1).with_routing_freshness(strict());
    witness.adopt_table(now, witnessed());
    witness
        .routing_freshness_mut()
        .record_store_call(now - Duration::from_millis(300));
    let message = answer(&mut witness, now, 2, sent);
    let age = Some(Duration::from_millis(300));
    assert!(matches!(message, Message::Grant { routing_age, .. } if routing_age == age));

    let mut holder = daemon(2, 2).with_routing_freshness(strict());
    holder.adopt_table(now, witnessed());
    let newer = Datagram {
        document_version: DocumentVersion::from(4_u64),
        message: message.clone(),
        ..facts_from(1, SessionFacts::default())
    };
    holder.receive(now, newer);
    assert_eq!(
        holder.routing_freshness().newest_at(),
        None,
        "of a newer routing"
    );
    let grant = Datagram {
        message,
        ..facts_from(1, SessionFacts::default())
    };
    holder.receive(now, grant);
    let expected = Moment::from_millis(9_990 - 315);
    assert_eq!(holder.routing_freshness().newest_at(), Some(expected));
}
