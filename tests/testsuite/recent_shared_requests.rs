//! Orders of shared services that must not run again.

use std::time::Duration;

use foxtaildrift::connection::peer_message::PeerReply;
use foxtaildrift::process::moment::Moment;
use foxtaildrift::process::recent_shared_requests::RecentSharedRequests;
use foxtaildrift::request::request_id::RequestId;

const DEADLINE: Moment = Moment(2_000_000);

#[test]
fn a_repeat_joins_and_gets_the_reply() {
    let (mut ran, id) = (RecentSharedRequests::default(), RequestId::draw());
    assert!(ran.begin(Moment(1), id, DEADLINE));
    assert!(!ran.begin(Moment(2), id, DEADLINE));
    assert!(ran.is_running(id));
    ran.finish(Moment(3), id, &PeerReply::Accepted, false);
    assert!(!ran.begin(Moment(3), id, DEADLINE));
    assert_eq!(ran.reply(id), Some(PeerReply::Accepted));
}

#[test]
fn a_repeatable_order_may_run_again_soon_after_it_ended() {
    let (mut ran, id) = (RecentSharedRequests::default(), RequestId::draw());
    assert!(ran.begin(Moment(1), id, DEADLINE));
    ran.finish(Moment(2), id, &PeerReply::Accepted, true);
    assert!(!ran.begin(Moment(3), id, DEADLINE));
    assert!(ran.begin(Moment(3) + Duration::from_secs(1), id, DEADLINE));
}

#[test]
fn an_order_is_remembered_past_its_deadline_and_then_forgotten() {
    let (mut ran, id) = (RecentSharedRequests::default(), RequestId::draw());
    assert!(ran.begin(Moment(1), id, DEADLINE));
    ran.finish(Moment(3), id, &PeerReply::Accepted, false);
    assert!(!ran.begin(DEADLINE + Duration::from_secs(4), id, DEADLINE));
    assert!(ran.begin(DEADLINE + Duration::from_secs(10), id, DEADLINE));
}
