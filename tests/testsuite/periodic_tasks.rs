//! The resignation of a session whose upstream was lost.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use foxtaildrift::process::clock::{Clock, SystemClock};
use foxtaildrift::process::key_owner::{LocalRunner, Runner};
use foxtaildrift::process::lease_times::LeaseTimes;
use foxtaildrift::process::periodic_tasks::PeriodicTasks;
use foxtaildrift::process::stop_flag::StopFlag;
use foxtaildrift::version::service::Service;
use foxtaildrift::version::slice_id::SliceId;
use tracing::field::{Field, Visit};
use tracing::span::{Attributes, Id, Record};
use tracing::{Event, Metadata, Subscriber};

use crate::only_member::OnlyMember;
use crate::product_upstream::{self, Conduct, StandIn};

/// How long a request may run.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long the log line of the resignation is held up.
const LOG_DELAY: Duration = Duration::from_millis(500);
/// How long the test waits for an expected event.
const WAIT_MAX: Duration = Duration::from_secs(20);

/// Calls a function at each log line about a resigned session.
struct ResignationHook(Box<dyn Fn() + Send + Sync>);

impl Subscriber for ResignationHook {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn new_span(&self, _: &Attributes<'_>) -> Id {
        Id::from_u64(1)
    }

    fn record(&self, _: &Id, _: &Record<'_>) {}

    fn record_follows_from(&self, _: &Id, _: &Id) {}

    fn event(&self, event: &Event<'_>) {
        let mut message = Message::default();
        event.record(&mut message);
        if message.0.contains("session resigned") {
            (self.0)();
        }
    }

    fn enter(&self, _: &Id) {}

    fn exit(&self, _: &Id) {}
}

/// The text of a log line.
#[derive(Default)]
struct Message(String);

impl Visit for Message {
    fn record_debug(&mut self, field: &Field, value: &dyn std::fmt::Debug) {
        if field.name() == "message" {
            self.0 = format!("{value:?}");
        }
    }
}

#[test]
fn no_request_begins_between_the_last_check_and_the_resignation() {
    // The upstream announces itself again, and a request for an owned key arrives, just after the
    // daemon found no request in flight.
    let daemon = Arc::new(OnlyMember::start());
    let upstream = StandIn::start(Conduct {
        closes_connections: false,
        cancel_status: 409,
    });
    let announcement = upstream.announcement();
    let first_session = daemon.session();
    let stop = Arc::new(StopFlag::default());
    let (membership, stop_ticks) = (Arc::clone(&daemon.membership), Arc::clone(&stop));
    let ticks = thread::spawn(move || membership.run(&stop_ticks));

    let request_thread = Arc::new(Mutex::new(None));
    let (hook_daemon, hook_thread) = (Arc::clone(&daemon), Arc::clone(&request_thread));
    let hook = ResignationHook(Box::new(move || {
        let (daemon, announcement) = (Arc::clone(&hook_daemon), announcement.clone());
        let thread = thread::spawn(move || {
            let dispatcher = &daemon.dispatcher;
            dispatcher.register_upstream(&announcement, &Service::default());
            let request = product_upstream::request(REQUEST_TIMEOUT);
            let permit = daemon
                .membership
                .with_ownership(|o, now| o.permit_for_slice(now, &request.service, SliceId(0)));
            let Ok(permit) = permit else {
                return;
            };
            let runner = LocalRunner {
                dispatcher: Arc::clone(dispatcher),
                membership: Arc::clone(&daemon.membership),
            };
            let deadline = SystemClock.now() + REQUEST_TIMEOUT;
            runner.run(&request, &permit, deadline);
        });
        *hook_thread.lock().unwrap() = Some(thread);
        thread::sleep(LOG_DELAY);
    }));
    let (stop_watch, watched) = (Arc::clone(&stop), Arc::clone(&daemon));
    let watch = thread::spawn(move || {
        let until = SystemClock.now() + WAIT_MAX;
        while watched.session() == first_session && SystemClock.now() < until {
            thread::sleep(Duration::from_millis(1));
        }
        let outstanding = !watched.dispatcher.wait_idle(Duration::ZERO, |_| true);
        stop_watch.set();
        outstanding
    });
    let tasks = PeriodicTasks::new(
        Arc::clone(&daemon.membership),
        Arc::clone(&daemon.dispatcher),
        Arc::clone(&daemon.owner),
        Arc::clone(&daemon.metrics),
        LeaseTimes::default(),
    );
    tracing::subscriber::with_default(hook, || tasks.run(&stop));

    let outstanding = watch.join().expect("the watching thread panicked");
    ticks.join().expect("the ticking thread panicked");
    assert_ne!(daemon.session(), first_session, "the session was resigned");
    let sent = upstream.requests.recv_timeout(LOG_DELAY).is_ok();
    let thread = request_thread.lock().unwrap().take();
    let thread = thread.expect("the log line was not seen");
    thread.join().expect("the requesting thread panicked");
    daemon.reactor.stop();
    assert!(
        !outstanding && !sent,
        "the session ended with a request at the upstream"
    );
}
