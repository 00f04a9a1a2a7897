//! A session whose witnesses no longer respond.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use foxtaildrift::Table;
use foxtaildrift::process::lease_times::LeaseTimes;
use foxtaildrift::process::moment::Moment;
use foxtaildrift::process::ownership::Ownership;
use foxtaildrift::process::ownership_action::OwnershipAction;
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

/// Returns the time after which a session without any grant from its witnesses ends, in
/// milliseconds.
fn session_end_millis(times: LeaseTimes) -> Option<u64> {
    let session = SessionId {
        instance: InstanceId(1),
        tenure: 1,
    };
    let info = MemberInfo {
        session,
        peer: peer(1),
        entry: peer(1),
        domain: "zarzis".parse().unwrap(),
        upstream: None,
        leaving: false,
        weight: WEIGHT_FULL,
        cpu_share: CPU_SHARE_DEFAULT,
    };
    let mut ownership = Ownership::new(1, times, info.clone(), at(0), 7);
    let crashed = (2..5).map(|n| WitnessAddress {
        instance: InstanceId(n.into()),
        peer: peer(n),
    });
    let member = Member {
        info,
        witnesses: vec![WitnessSet(crashed.collect())],
        witnesses_since: Epoch(1),
        witnesses_confirming: false,
    };
    let table = Table {
        epoch: Epoch(1),
        members: BTreeMap::from([(session, member)]),
        ..Table::default()
    };
    ownership.adopt_table(at(0), table.into());
    (0..12_000).step_by(25).find(|&now| {
        ownership.tick(at(now));
        let ended =
            |o: &OwnershipAction| matches!(o, OwnershipAction::SessionEnded(s) if *s == session);
        ownership.take_actions().iter().any(ended)
    })
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
