//! Callers that return after a refusal.

use std::time::Duration;

use foxtaildrift::process::host::returning_callers::ReturningCallers;
use foxtaildrift::process::moment::Moment;
use foxtaildrift::request::fingerprint::Fingerprint;

const REQUEST: Fingerprint = Fingerprint(7);

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

/// Records a refusal at 100 ms that asks to return after 200 ms.
fn refused(remaining: u64) -> ReturningCallers {
    let mut callers = ReturningCallers::default();
    let (delay, remaining) = (Duration::from_millis(200), Duration::from_millis(remaining));
    callers.record(at(100), REQUEST, at(90), delay, remaining);
    callers
}

/// Callers that had waited were refused again while newer ones passed.
#[test]
fn a_caller_that_returns_as_told_keeps_the_time_of_its_first_attempt() {
    let mut callers = refused(5000);
    assert_eq!(callers.take_first_attempt(at(301), REQUEST), Some(at(90)));
    assert_eq!(callers.take_first_attempt(at(302), REQUEST), None);
}

/// Callers that repeat at once and often must not gain from it.
#[test]
fn a_caller_that_returns_too_early_or_too_late_counts_as_new() {
    assert_eq!(refused(5000).take_first_attempt(at(200), REQUEST), None);
    assert_eq!(refused(5000).take_first_attempt(at(2400), REQUEST), None);
    let other = Fingerprint(8);
    assert_eq!(refused(5000).take_first_attempt(at(301), other), None);
}

#[test]
fn a_caller_with_little_time_left_may_return_sooner() {
    assert_eq!(
        refused(300).take_first_attempt(at(195), REQUEST),
        Some(at(90))
    );
}

#[test]
fn the_number_of_remembered_refusals_is_bounded() {
    let mut callers = ReturningCallers::default();
    let delay = Duration::from_millis(10);
    for request in 0..100_000 {
        callers.record(at(0), Fingerprint(request), at(0), delay, delay);
    }
    assert!(callers.len() <= 4096);
    callers.remove_expired(at(60_000));
    assert!(callers.is_empty());
}
