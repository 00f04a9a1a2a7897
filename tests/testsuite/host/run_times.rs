//! Estimates of run times.

use std::time::Duration;

use foxtaildrift::process::host::run_times::RunTimes;
use foxtaildrift::process::moment::Moment;
use foxtaildrift::request::request_kind::RequestKind;

const LOOKUP: RequestKind = RequestKind(1);

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn record(times: &mut RunTimes, now: u64, millis: u64) {
    times.record(at(now), LOOKUP, Duration::from_millis(millis));
}

fn estimate(times: &RunTimes, now: u64) -> u128 {
    times.estimate(at(now), LOOKUP).as_millis()
}

/// A neighbour slows an upstream threefold for some 400 ms.
#[test]
fn a_moment_of_slowness_raises_the_estimate_and_passes() {
    let mut times = RunTimes::default();
    for now in 0..100 {
        record(&mut times, now * 10, 200);
    }
    assert!((190..=210).contains(&estimate(&times, 1000)));
    for now in 0..12 {
        record(&mut times, 1000 + now * 10, 600);
    }
    let slowed = estimate(&times, 1120);
    assert!((350..=650).contains(&slowed), "{slowed}");
    let afterwards = estimate(&times, 4000);
    assert!((190..=440).contains(&afterwards), "{afterwards}");
}

/// Operators rename routes all the time.
#[test]
fn the_number_of_kinds_is_bounded() {
    let mut times = RunTimes::default();
    for kind in 0..10_000 {
        times.record(at(kind), RequestKind(kind), Duration::from_millis(10));
    }
    assert!(format!("{times:?}").matches("samples").count() <= 64);
}
