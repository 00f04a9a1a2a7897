//! Requests of shared services that must not run twice.

use std::time::Duration;

use foxtaildrift::connection::peer_message::PeerReply;
use foxtaildrift::process::moment::Moment;
use foxtaildrift::process::recent_shared_requests::RecentSharedRequests;
use foxtaildrift::request::request_id::RequestId;

const DEADLINE: Moment = Moment(2_000_000);

#[test]
fn a_repeated_request_does_not_start_again_and_gets_the_reply() {
    let (mut recent, id) = (RecentSharedRequests::default(), RequestId::generate());
    assert!(recent.begin(Moment(1), id, DEADLINE));
    assert!(!recent.begin(Moment(2), id, DEADLINE));
    assert!(recent.is_running(id));
    recent.finish(Moment(3), id, &PeerReply::Accepted, false);
    assert!(!recent.begin(Moment(3), id, DEADLINE));
    assert_eq!(recent.reply(id), Some(PeerReply::Accepted));
}

#[test]
fn an_idempotent_request_may_run_again_soon_after_it_finished() {
    let (mut recent, id) = (RecentSharedRequests::default(), RequestId::generate());
    assert!(recent.begin(Moment(1), id, DEADLINE));
    recent.finish(Moment(2), id, &PeerReply::Accepted, true);
    assert!(!recent.begin(Moment(3), id, DEADLINE));
    assert!(recent.begin(Moment(3) + Duration::from_secs(1), id, DEADLINE));
}

#[test]
fn a_finished_request_is_remembered_past_its_deadline_and_then_removed() {
    let (mut recent, id) = (RecentSharedRequests::default(), RequestId::generate());
    assert!(recent.begin(Moment(1), id, DEADLINE));
    recent.finish(Moment(3), id, &PeerReply::Accepted, false);
    assert!(!recent.begin(DEADLINE + Duration::from_secs(4), id, DEADLINE));
    assert!(recent.begin(DEADLINE + Duration::from_secs(10), id, DEADLINE));
}
