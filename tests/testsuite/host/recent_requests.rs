//! Copies of orders that came before.

use std::time::Duration;

use foxtaildrift::connection::peer_message::PeerReply;
use foxtaildrift::connection::peer_pool::PeerCallReply;
use foxtaildrift::process::host::recent_requests::{RecentRequests, RequestStatus};
use foxtaildrift::process::moment::Moment;
use foxtaildrift::request::upstream_outcome::UpstreamOutcome;

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

#[test]
fn a_copy_joins_the_first_and_a_late_one_never_runs() {
    let recent = RecentRequests::default();
    let RequestStatus::New(execution) = recent.begin(at(0), "a", 1) else {
        panic!("it is the first");
    };
    assert!(matches!(
        recent.begin(at(5), "a", 1),
        RequestStatus::Duplicate(_)
    ));
    recent.finish(at(10), "a", 1, &execution, &PeerReply::Accepted);
    let RequestStatus::Duplicate(copy) = recent.begin(at(20), "a", 1) else {
        panic!("its outcome is known");
    };
    assert_eq!(copy.wait(Duration::ZERO), Some(PeerReply::Accepted));
    assert!(matches!(
        recent.begin(at(5000), "a", 1),
        RequestStatus::Expired
    ));
    assert!(matches!(
        recent.begin(at(5000), "b", 1),
        RequestStatus::New(_)
    ));
}

#[test]
fn a_later_try_is_no_copy_of_an_earlier_one() {
    // Found by reading: a try after "not owner" was answered with that for three seconds.
    let recent = RecentRequests::default();
    let RequestStatus::New(execution) = recent.begin(at(0), "a", 1) else {
        panic!("it is the first");
    };
    recent.finish(at(1), "a", 1, &execution, &PeerReply::Accepted);
    assert!(matches!(
        recent.begin(at(20), "a", 2),
        RequestStatus::New(_)
    ));
}

#[test]
fn an_outcome_can_be_asked_for_without_the_order() {
    // karite-sud-grown: orders that took long were sent again whole each 0.6 s, and their bodies
    // filled the links of the hosts that were slow already.
    let recent = RecentRequests::default();
    assert!(recent.status("a", 1).is_none(), "it never came");
    let RequestStatus::New(execution) = recent.begin(at(0), "a", 1) else {
        panic!("it is the first");
    };
    assert!(matches!(
        recent.status("a", 1),
        Some(RequestStatus::Duplicate(_))
    ));
    assert!(recent.status("a", 2).is_none(), "another try");
    recent.finish(at(10), "a", 1, &execution, &PeerReply::Accepted);
    recent.begin(at(5000), "b", 1);
    assert!(matches!(
        recent.status("a", 1),
        Some(RequestStatus::Expired)
    ));
}

#[test]
fn another_process_cannot_say_that_a_repeated_order_did_not_run() {
    // Found by reading: an order sent again after its process was replaced was told "not run".
    let verdict = |resent| {
        let reply = PeerReply::NotServing("another process".to_owned());
        PeerCallReply { reply, resent }.into_outcome().0
    };
    assert!(matches!(verdict(false), UpstreamOutcome::NotRun { .. }));
    assert!(matches!(verdict(true), UpstreamOutcome::Unknown { .. }));
}
