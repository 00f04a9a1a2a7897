//! The release of slices whose requests are not yet recorded as completed.

use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use foxtaildrift::connection::peer_message::PeerReply;
use foxtaildrift::process::clock::{Clock, SystemClock};
use foxtaildrift::process::key_owner::Runner;
use foxtaildrift::process::moment::Moment;
use foxtaildrift::process::serve_permit::ServePermit;
use foxtaildrift::process::upstream_dispatcher::DispatchResult;
use foxtaildrift::request::envelope::Envelope;
use foxtaildrift::request::idempotency_key::IdempotencyKey;
use foxtaildrift::request::outcome::Outcome;
use foxtaildrift::request::service_response::ServiceResponse;
use foxtaildrift::version::epoch::Epoch;
use foxtaildrift::version::instance_id::InstanceId;
use foxtaildrift::version::member::MemberInfo;
use foxtaildrift::version::session_id::SessionId;

use crate::only_member::{self, OnlyMember};
use crate::product_upstream;

/// How long the caller waits.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// How long requests may take before they are cancelled.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long the request still runs after its slice was taken away.
const RUN_TIME: Duration = Duration::from_millis(300);
/// How long the test waits for an expected event.
const WAIT_MAX: Duration = Duration::from_secs(10);

/// Runs a request on another daemon's upstream until it is told to end.
struct RemoteRunner {
    started: Sender<()>,
    may_end: Mutex<Receiver<()>>,
}

impl Runner for RemoteRunner {
    fn run(&self, _: &Arc<Envelope>, _: &ServePermit, _: Moment) -> DispatchResult {
        let _ = self.started.send(());
        let _ = self.may_end.lock().unwrap().recv_timeout(WAIT_MAX);
        DispatchResult::Response(ServiceResponse::ran(200, None, Vec::new()))
    }
}

/// Returns a request that may run only once.
fn request() -> Envelope {
    let envelope = product_upstream::request(REQUEST_TIMEOUT);
    Envelope {
        idempotency_key: Some(IdempotencyKey::generate()),
        repeatable: false,
        fresh_until: Some(SystemClock.wall_time().saturating_add(REQUEST_TIMEOUT)),
        ..Arc::unwrap_or_clone(envelope)
    }
}

/// Lets the daemon adopt a table that assigns its slice to another member.
fn move_slice_away(daemon: &OnlyMember) {
    let mut table = (*daemon.membership.table()).clone();
    let other = SessionId {
        instance: InstanceId(2),
        tenure: 1,
    };
    let info = daemon.membership.with_ownership(|o, _| o.info().clone());
    let other_info = MemberInfo {
        session: other,
        peer: "127.0.0.1:1".parse().expect("valid address"),
        ..info
    };
    let other_table = only_member::table(other_info);
    table.members.extend(other_table.members);
    table.epoch = Epoch(2);
    for slices in table.services.values_mut() {
        let assignment = &mut slices.slices[0];
        *assignment = assignment.successor(vec![other], Epoch(2), |_| false, |_| Epoch(1));
    }
    daemon.membership.adopt_platform_table(table);
}

#[test]
fn a_release_waits_until_the_result_of_each_request_is_recorded() {
    // The next owner gets the records. One that it gets as running never completes there: each
    // retry of the request waits until its deadline and learns nothing.
    let daemon = Arc::new(OnlyMember::start());
    daemon.membership.with_ownership(|o, now| o.tick(now));
    let (started, has_started) = mpsc::channel();
    let (end, may_end) = mpsc::channel();
    let runner = RemoteRunner {
        started,
        may_end: Mutex::new(may_end),
    };
    let serving = Arc::clone(&daemon);
    let serving = thread::spawn(move || serving.owner.serve(request(), &runner));
    let started = has_started.recv_timeout(WAIT_MAX);
    started.expect("the request was not started");

    move_slice_away(&daemon);
    let releasing = Arc::clone(&daemon);
    let releasing = thread::spawn(move || {
        releasing
            .owner
            .release_lost_slices(Epoch(2), RELEASE_TIMEOUT)
    });
    thread::sleep(RUN_TIME);
    let session = daemon.session();
    let announced = daemon
        .membership
        .with_ownership(|o, _| o.facts().adopted(session));
    end.send(()).expect("the request has ended");
    let reply = serving.join().expect("the serving thread panicked");
    releasing.join().expect("the releasing thread panicked");
    let announced_after = daemon
        .membership
        .with_ownership(|o, _| o.facts().adopted(session));
    daemon.reactor.stop();
    assert!(matches!(reply, PeerReply::Response(r) if r.outcome == Outcome::Ran));
    assert_eq!(
        announced,
        Epoch::default(),
        "announced while the request ran"
    );
    assert_eq!(announced_after, Epoch(2));
}
