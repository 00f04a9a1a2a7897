//! A session whose witnesses no longer respond.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use foxtaildrift::Table;
use foxtaildrift::process::datagram::{Datagram, Message};
use foxtaildrift::process::lease_times::LeaseTimes;
use foxtaildrift::process::moment::Moment;
use foxtaildrift::process::ownership::Ownership;
use foxtaildrift::process::ownership_action::OwnershipAction;
use foxtaildrift::version::document_version::DocumentVersion;
use foxtaildrift::version::epoch::Epoch;
use foxtaildrift::version::instance_id::InstanceId;
use foxtaildrift::version::member::{CPU_SHARE_DEFAULT, Member, MemberInfo, WEIGHT_FULL};
use foxtaildrift::version::session_id::SessionId;
use foxtaildrift::version::witness_set::{WitnessAddress, WitnessSet};

fn at(millis: u64) -> Moment {
    Moment::from_millis(1000 + millis)
}

fn peer(last: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 1, last], 7400))
}

const CELL_HASH: u64 = 1;

fn own_session() -> SessionId {
    SessionId {
        instance: InstanceId(1),
        tenure: 1,
    }
}

fn info() -> MemberInfo {
    MemberInfo {
        session: own_session(),
        peer: peer(1),
        entry: peer(1),
        domain: "zarzis".parse().unwrap(),
        upstream: None,
        leaving: false,
        weight: WEIGHT_FULL,
        cpu_share: CPU_SHARE_DEFAULT,
    }
}

fn witnesses(numbers: std::ops::Range<u8>) -> WitnessSet {
    let addresses = numbers.map(|n| WitnessAddress {
        instance: InstanceId(n.into()),
        peer: peer(n),
    });
    WitnessSet(addresses.collect())
}

/// Returns the table of `epoch` with one member, whose witnesses are `sets`.
fn table(epoch: u64, sets: Vec<WitnessSet>) -> Table {
    let member = Member {
        info: info(),
        witnesses: sets,
        witnesses_since: Epoch(epoch),
        witnesses_confirming: false,
    };
    Table {
        epoch: Epoch(epoch),
        members: BTreeMap::from([(own_session(), member)]),
        ..Table::default()
    }
}

fn daemon(times: LeaseTimes) -> Ownership {
    Ownership::new(CELL_HASH, times, info(), at(0), 7)
}

/// Returns the grant of `witness` for the renewal sent at `sent`.
fn grant_of(witness: u8, sent: Moment) -> Datagram {
    Datagram {
        cell_hash: CELL_HASH,
        from: InstanceId(witness.into()),
        peer: peer(witness),
        epoch: Epoch(1),
        document_version: DocumentVersion::default(),
        message: Message::Grant {
            session: own_session(),
            sent,
            epoch: Epoch(1),
            routing_age: None,
        },
    }
}

/// Runs the daemon from `start` for 12 s; returns when its session ends, in milliseconds.
fn run_to_session_end(ownership: &mut Ownership, start: u64) -> Option<u64> {
    let session = own_session();
    (start..start + 12_000).step_by(25).find(|&now| {
        ownership.tick(at(now));
        let ended =
            |o: &OwnershipAction| matches!(o, OwnershipAction::SessionEnded(s) if *s == session);
        ownership.take_actions().iter().any(ended)
    })
}

/// Returns the time after which a session without any grant from its witnesses ends, in
/// milliseconds.
fn session_end_millis(times: LeaseTimes) -> Option<u64> {
    let mut ownership = daemon(times);
    ownership.adopt_table(at(0), table(1, vec![witnesses(2..5)]).into());
    run_to_session_end(&mut ownership, 0)
}

#[test]
fn a_session_without_live_witnesses_ends_after_the_configured_time() {
    // New members got witnesses that had crashed, and waited 10 s before they started a new
    // session (soak run twice-dark, karite-sud, seed 2).
    let times = LeaseTimes {
        give_up_after: Duration::from_millis(1200),
        ..LeaseTimes::default()
    };
    let ended = session_end_millis(times);
    assert!(
        ended.is_some_and(|ms| (1200..1400).contains(&ms)),
        "{ended:?}"
    );
    let ended = session_end_millis(LeaseTimes::default());
    assert!(
        ended.is_some_and(|ms| (10_000..10_200).contains(&ms)),
        "{ended:?}"
    );
}

#[test]
fn a_session_whose_new_witnesses_do_not_respond_outlasts_the_permits_given_before() {
    // A change of witnesses ends the lease before the permits given under the former ones, and a
    // successor may serve as soon as the session has been resigned.
    let times = LeaseTimes {
        give_up_after: Duration::from_millis(1200),
        ..LeaseTimes::default()
    };
    let mut ownership = daemon(times);
    ownership.adopt_table(at(0), table(1, vec![witnesses(2..5)]).into());
    for witness in 2..4 {
        ownership.receive(at(5), grant_of(witness, at(0)));
    }
    let permits_end = ownership.live_until(at(10));
    assert_eq!(permits_end, Some(at(0) + times.lease));
    let crashed = witnesses(5..8);
    ownership.adopt_table(at(10), table(2, vec![witnesses(2..5), crashed]).into());
    assert_eq!(ownership.live_until(at(10)), None);
    let ended = run_to_session_end(&mut ownership, 25);
    let margin = times.lease + times.drift_margin;
    let earliest = u64::try_from(margin.as_millis()).unwrap();
    assert!(ended.is_some_and(|ms| ms >= earliest), "{ended:?}");
}
