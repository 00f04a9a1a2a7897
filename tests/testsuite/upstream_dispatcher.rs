//! Which requests the dispatcher of the product's own daemon counts as outstanding.
//!
//! A daemon releases a slice, or resigns its session, once no request for it is outstanding; the next
//! owner's upstream may then run requests for the same keys.

use std::sync::Arc;
use std::time::Duration;

use foxtaildrift::process::clock::{Clock, SystemClock};
use foxtaildrift::process::moment::Moment;
use foxtaildrift::process::upstream_dispatcher::{DispatchResult, Permit, UpstreamDispatcher};
use foxtaildrift::request::outcome::Outcome;
use foxtaildrift::version::service::Service;
use foxtaildrift::version::slice_id::SliceId;

use crate::product_upstream::{self, Conduct, StandIn};

/// How long the upstream may run a request.
const TIMEOUT: Duration = Duration::from_millis(800);
/// How long a test waits for an expected event.
const WAIT_MAX: Duration = Duration::from_secs(10);
/// HTTP status of a cancellation that shows that the request did not run.
const NOT_RUN_STATUS: u16 = 200;
/// HTTP status of a cancellation that shows nothing.
const MAY_HAVE_RUN_STATUS: u16 = 409;

/// Sends a request whose connection the upstream closes without a response; returns the dispatcher
/// and the request's deadline.
fn send_request_that_breaks(cancel_status: u16) -> (UpstreamDispatcher, Moment) {
    let upstream = StandIn::start(Conduct {
        closes_connections: true,
        cancel_status,
    });
    let dispatcher = UpstreamDispatcher::new(Arc::new(SystemClock), |_| {});
    dispatcher.register_upstream(&upstream.announcement(), &Service::default());
    let deadline = SystemClock.now() + TIMEOUT;
    let permit = Permit {
        fence: None,
        until: deadline + WAIT_MAX,
    };
    let slice = (product_upstream::service(), SliceId(0));
    let request = product_upstream::request(TIMEOUT);
    let result = dispatcher.dispatch(&request, Some(slice), deadline, |_| Ok(permit));
    let DispatchResult::Response(response) = result else {
        panic!("the request was not sent: {result:?}");
    };
    assert_eq!(response.outcome, Outcome::Unknown);
    (dispatcher, deadline)
}

#[test]
fn a_request_whose_connection_broke_is_outstanding_until_its_deadline() {
    let (dispatcher, deadline) = send_request_that_breaks(MAY_HAVE_RUN_STATUS);
    let idle = dispatcher.wait_idle(Duration::ZERO, |_| true);
    assert!(!idle, "the upstream may still run the request");
    assert!(dispatcher.wait_idle(WAIT_MAX, |_| true));
    assert!(SystemClock.now() >= deadline);
}

#[test]
fn a_request_whose_connection_broke_concerns_only_its_own_slice() {
    let (dispatcher, _) = send_request_that_breaks(MAY_HAVE_RUN_STATUS);
    let other = |(_, slice): &_| *slice == SliceId(1);
    assert!(dispatcher.wait_idle(Duration::ZERO, other));
}

#[test]
fn a_cancellation_that_the_upstream_confirms_ends_a_request_whose_connection_broke() {
    let (dispatcher, deadline) = send_request_that_breaks(NOT_RUN_STATUS);
    assert!(!dispatcher.wait_idle(Duration::ZERO, |_| true));
    dispatcher.cancel(|_| true);
    let idle = dispatcher.wait_idle(Duration::ZERO, |_| true);
    assert!(idle || SystemClock.now() >= deadline);
}

#[test]
fn a_cancellation_without_confirmation_does_not_end_a_request_whose_connection_broke() {
    let (dispatcher, deadline) = send_request_that_breaks(MAY_HAVE_RUN_STATUS);
    dispatcher.cancel(|_| true);
    let idle = dispatcher.wait_idle(Duration::ZERO, |_| true);
    assert!(!idle || SystemClock.now() >= deadline);
}
