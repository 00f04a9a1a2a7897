//! Requests for keys that are moving.
//!
//! Pattern: hundreds of ranges move within seconds, and each takes as long as the requests that its
//! former owner still runs. Callers that ask again and again send their bodies many times; those that
//! are refused at once come back too late.

use std::time::Duration;

use foxtaildrift::process::host::grant_wait::{GrantWait, MOVE_WAIT_DIVISOR};
use foxtaildrift::process::moment::Moment;
use foxtaildrift::request::upstream_outcome::{NotRunCause, UpstreamOutcome};

const OBJECTIVE: Duration = Duration::from_millis(1000);

fn refusal(cause: NotRunCause) -> UpstreamOutcome {
    UpstreamOutcome::not_run(cause, Duration::from_millis(100))
}

#[test]
fn a_request_waits_once_at_the_next_owner_until_half_of_its_objective() {
    let start = Moment::from_millis(5000);
    let wait = GrantWait::new(start, OBJECTIVE);
    let mut now = start;
    let mut checks = 0;
    while let Some(pause) = wait.next(now, &refusal(NotRunCause::NotOwner), true) {
        assert!(!pause.is_zero());
        now = now + pause;
        checks += 1;
    }
    assert_eq!(now.since(start), OBJECTIVE / MOVE_WAIT_DIVISOR);
    assert!(checks <= 12, "{checks}");
}

#[test]
fn what_is_not_expected_here_or_has_another_cause_is_refused_at_once() {
    let now = Moment::from_millis(5000);
    let wait = GrantWait::new(now, OBJECTIVE);
    // The former owner gets no grant for it any more.
    assert_eq!(wait.next(now, &refusal(NotRunCause::NotOwner), false), None);
    for cause in [
        NotRunCause::Draining,
        NotRunCause::Evacuated,
        NotRunCause::Down,
        NotRunCause::Stopping,
    ] {
        assert_eq!(wait.next(now, &refusal(cause), true), None, "{cause:?}");
    }
    let none_left = GrantWait::new(now, Duration::ZERO);
    assert_eq!(
        none_left.next(now, &refusal(NotRunCause::NotOwner), true),
        None
    );
}
