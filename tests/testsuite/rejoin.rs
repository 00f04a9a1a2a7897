//! A session that has ended, and whose daemon does not know that, does not come back.

use std::collections::BTreeMap;
use std::time::Duration;

use foxtaildrift::process::join_request::JoinRequest;
use foxtaildrift::process::join_requests::JoinRequests;
use foxtaildrift::process::lease_times::LeaseTimes;
use foxtaildrift::process::moment::Moment;
use foxtaildrift::process::witness::Witness;
use foxtaildrift::version::epoch::Epoch;
use foxtaildrift::version::instance_id::InstanceId;
use foxtaildrift::version::member::{Member, MemberInfo};
use foxtaildrift::version::session_id::SessionId;
use foxtaildrift::version::table::Table;
use foxtaildrift::version::witness_set::{WitnessAddress, WitnessSet};

const ME: InstanceId = InstanceId(1);
const OTHER: SessionId = SessionId {
    instance: InstanceId(2),
    tenure: 1,
};

fn info() -> MemberInfo {
    MemberInfo {
        session: OTHER,
        peer: ([127, 0, 0, 1], 7400).into(),
        entry: ([127, 0, 0, 1], 8080).into(),
        domain: "zarzis".parse().unwrap(),
        upstream: None,
        leaving: false,
        weight: 1000,
        cpu_share: 1000,
    }
}

/// Returns a table in which this process witnesses the other session, if that is a member.
fn table(epoch: u64, is_member: bool) -> Table {
    let witness = WitnessAddress {
        instance: ME,
        peer: ([127, 0, 0, 2], 7400).into(),
    };
    let member = Member {
        info: info(),
        witnesses: vec![WitnessSet(vec![witness])],
        witnesses_since: Epoch(epoch),
        witnesses_confirming: false,
    };
    let members = BTreeMap::from([(OTHER, member)]);
    Table {
        epoch: Epoch(epoch),
        members: if is_member { members } else { BTreeMap::new() },
        ..Table::default()
    }
}

// A daemon behind a cut came back with the table from before it, got its lease again, and served keys
// that others owned by then (OWNER).
#[test]
fn a_witness_grants_nothing_under_a_table_from_before_it_knew_the_session() {
    let times = LeaseTimes::default();
    let at = Moment::from_millis;
    let mut witness = Witness::default();
    witness.adopt_table(at(1000), &table(33, true), ME);
    assert!(witness.renew(at(1100), OTHER, Epoch(33), &times).is_some());
    let late = at(1100) + times.expiry_delay() + Duration::from_millis(1);
    assert_eq!(witness.expire(late, &times).len(), 1, "the session ends");
    witness.adopt_table(late, &table(34, false), ME);
    witness.adopt_table(late, &table(39, true), ME);
    assert_eq!(witness.renew(late, OTHER, Epoch(33), &times), None);
    assert_eq!(witness.renew(late, OTHER, Epoch(38), &times), None);
    assert!(witness.renew(late, OTHER, Epoch(39), &times).is_some());
}

#[test]
fn a_witness_grants_to_a_session_that_stays_a_member_whatever_its_table() {
    let times = LeaseTimes::default();
    let at = Moment::from_millis;
    let mut witness = Witness::default();
    witness.adopt_table(at(1000), &table(33, true), ME);
    witness.adopt_table(at(1100), &table(34, true), ME);
    assert!(witness.renew(at(1200), OTHER, Epoch(33), &times).is_some());
}

// Otherwise what was stated about the session would count against it: it could be taken as ended
// while its daemon serves.
#[test]
fn a_former_member_is_not_admitted_again_under_the_same_session() {
    let now = Moment::from_millis(1000);
    let mut requests = JoinRequests::default();
    let request = |is_member| JoinRequest {
        info: info(),
        is_member,
    };
    requests.record(now, request(true));
    assert_eq!(requests.current(now, &table(39, false)).len(), 0);
    assert_eq!(requests.current(now, &table(39, true)).len(), 1);
    requests.record(now, request(false));
    assert_eq!(requests.current(now, &table(39, false)).len(), 1);
}
