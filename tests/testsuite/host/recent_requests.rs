//! Duplicates of requests from other daemons.

use std::time::Duration;

use foxtaildrift::connection::peer_message::PeerReply;
use foxtaildrift::connection::peer_pool::PeerCallReply;
use foxtaildrift::connection::recipient::Recipient;
use foxtaildrift::process::host::recent_requests::{RecentRequests, RequestStatus};
use foxtaildrift::process::moment::Moment;
use foxtaildrift::request::upstream_outcome::UpstreamOutcome;

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

#[test]
fn a_duplicate_joins_the_first_copy_and_a_late_one_never_runs() {
    let recent = RecentRequests::default();
    let RequestStatus::New(execution) = recent.begin(at(0), "a", 1) else {
        panic!("it must be new");
    };
    assert!(matches!(
        recent.begin(at(5), "a", 1),
        RequestStatus::Duplicate(_)
    ));
    recent.finish(at(10), "a", 1, &execution, &PeerReply::Accepted);
    let RequestStatus::Duplicate(copy) = recent.begin(at(20), "a", 1) else {
        panic!("its reply must be kept");
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
fn a_later_attempt_is_not_a_duplicate_of_an_earlier_one() {
    // Found by reading the code: attempts after a "not owner" reply got the same reply for three
    // seconds.
    let recent = RecentRequests::default();
    let RequestStatus::New(execution) = recent.begin(at(0), "a", 1) else {
        panic!("it must be new");
    };
    recent.finish(at(1), "a", 1, &execution, &PeerReply::Accepted);
    assert!(matches!(
        recent.begin(at(20), "a", 2),
        RequestStatus::New(_)
    ));
}

#[test]
fn an_outcome_can_be_fetched_without_sending_the_request_again() {
    // Found by karite-sud-grown: slow requests were sent again in full every 0.6 s, and their
    // bodies saturated the links of hosts that were slow already.
    let recent = RecentRequests::default();
    assert!(recent.status("a", 1).is_none(), "it was never received");
    let RequestStatus::New(execution) = recent.begin(at(0), "a", 1) else {
        panic!("it must be new");
    };
    assert!(matches!(
        recent.status("a", 1),
        Some(RequestStatus::Duplicate(_))
    ));
    assert!(recent.status("a", 2).is_none(), "another attempt");
    recent.finish(at(10), "a", 1, &execution, &PeerReply::Accepted);
    recent.begin(at(5000), "b", 1);
    assert!(matches!(
        recent.status("a", 1),
        Some(RequestStatus::Expired)
    ));
}

#[test]
fn a_replaced_process_can_not_report_that_a_resent_request_did_not_run() {
    // Found by reading the code: a request sent again after the daemon's process was replaced got
    // "not run", although the former process may have run it.
    let outcome = |resent| {
        let reply = PeerReply::NotServing("another process".to_owned());
        PeerCallReply { reply, resent }.into_outcome().0
    };
    assert!(matches!(outcome(false), UpstreamOutcome::NotRun { .. }));
    assert!(matches!(outcome(true), UpstreamOutcome::Unknown { .. }));
}

/// What happens to a connection on which a result is awaited.
enum Event {
    Cancelled,
    CutOff,
    Left,
}

#[test]
fn work_is_cancelled_once_nobody_waits_for_it_on_any_connection() {
    // Guards against work for callers that left (incident GONE on golobnik-mesh, found by reading):
    // after an outcome had been fetched, nothing cancelled the work any more.
    use Event::{Cancelled, CutOff, Left};
    for (what, first, fetch, is_cancelled) in [
        ("all wait", None, None, false),
        ("the caller left", Some(Cancelled), None, true),
        (
            "the caller left during a fetch",
            None,
            Some(Cancelled),
            true,
        ),
        (
            "the first link broke, a fetch waits",
            Some(CutOff),
            None,
            false,
        ),
        ("the link of the fetch broke", None, Some(CutOff), false),
        ("both links broke", Some(CutOff), Some(CutOff), true),
        (
            "the caller left after a broken link",
            Some(CutOff),
            Some(Cancelled),
            true,
        ),
        (
            "the fetch ended, then the link broke",
            Some(CutOff),
            Some(Left),
            true,
        ),
    ] {
        let recent = RecentRequests::default();
        let RequestStatus::New(execution) = recent.begin(at(0), "a", 1) else {
            panic!("it must be new");
        };
        let recipients = [Recipient::connected(), Recipient::connected()];
        for recipient in &recipients {
            recipient.join(&execution.waiters);
        }
        for (recipient, event) in recipients.iter().zip([first, fetch]).rev() {
            match event {
                Some(Cancelled) => recipient.disconnect(),
                Some(CutOff) => recipient.cut_off(),
                Some(Left) => recipient.leave(),
                None => {}
            }
        }
        let work = execution.waiters.work();
        assert_eq!(work.has_disconnected(), is_cancelled, "{what}");
    }
}
