//! The times of a graceful stop.

use std::time::Duration;

use foxtaildrift::process::host::stop_schedule::StopSchedule;
use foxtaildrift::process::moment::Moment;

/// A request that came 3.03 s after the signal, and 3 s after the process had learned of it, was passed
/// on and cut off at the end of the stop.
#[test]
fn late_in_a_stop_only_requests_are_taken_that_end_before_it() {
    let at = Moment::from_millis;
    let schedule = StopSchedule::new(at(1000), Duration::from_secs(6));
    assert_eq!(schedule.close_at(), at(4300));
    assert_eq!(schedule.deadline(), at(6700));
    for (now_ms, remaining_ms, is_admitted) in [
        (1000, 10_000, true),
        (3699, 3002, true),
        (3700, 3000, true),
        (3700, 3001, false),
        (4000, 2700, true),
        (4000, 2701, false),
        (6500, 200, true),
        (6500, 300, false),
    ] {
        let remaining = Duration::from_millis(remaining_ms);
        assert_eq!(
            schedule.admits(at(now_ms), remaining),
            is_admitted,
            "at {now_ms} ms"
        );
    }
}

/// With a grace period of 10 s, uploads that came 4.2 s after the signal and could run for 8 s were passed
/// on, and cut off at the end of the stop.
#[test]
fn a_long_grace_period_does_not_prolong_the_time_in_which_any_request_is_taken() {
    let at = Moment::from_millis;
    let schedule = StopSchedule::new(at(1000), Duration::from_secs(10));
    for (now_ms, remaining_ms, is_admitted) in [
        (1000, 60_000, true),
        (3699, 8000, true),
        (3700, 7000, true),
        (3700, 7001, false),
        (4000, 8000, false),
        (5240, 8000, false),
        (5240, 5460, true),
        (5240, 5461, false),
    ] {
        let remaining = Duration::from_millis(remaining_ms);
        assert_eq!(
            schedule.admits(at(now_ms), remaining),
            is_admitted,
            "at {now_ms} ms"
        );
    }
}
