//! What is expected of an upstream, from reports of any age.

use std::time::Duration;

use foxtaildrift::process::host::load_estimate::{LoadEstimate, TypicalLoad};
use foxtaildrift::process::host::upstream_selector::AttemptOutcome;
use foxtaildrift::process::moment::Moment;
use foxtaildrift::request::upstream_load::UpstreamLoad;

const NOW: Moment = Moment(1_000_000);
const TYPICAL: TypicalLoad = TypicalLoad {
    utilization: 0.5,
    run_micros: 40_000.0,
};

/// Returns an estimate with a report of `in_flight` requests at `NOW`.
fn estimate(in_flight: u32, failed: bool) -> LoadEstimate {
    let mut estimate = LoadEstimate::default();
    estimate.record_start();
    let load = UpstreamLoad {
        in_flight,
        slots: 10,
        mean_micros: 40_000,
        ..UpstreamLoad::default()
    };
    let outcome = AttemptOutcome {
        failed,
        duration: Duration::from_millis(1),
        load: Some(load),
    };
    estimate.record_end(NOW, outcome);
    estimate
}

#[test]
fn a_report_counts_less_the_older_it_is() {
    // Guards against daemons that avoid an upstream, or rush to it, for what it reported long ago.
    for in_flight in [0, 30] {
        let estimate = estimate(in_flight, false);
        let expected = |ms| estimate.expected(NOW + Duration::from_millis(ms), 10, &TYPICAL);
        assert!((expected(0).requests - f64::from(in_flight)).abs() < 1e-9);
        let distance = |ms| (expected(ms).requests - 5.0).abs();
        assert!(distance(0) > distance(100) && distance(100) > distance(400));
        assert!(distance(10_000) < 0.01, "{:?}", expected(10_000));
        assert!(expected(0).deviation < expected(400).deviation);
    }
}

#[test]
fn an_upstream_without_a_report_counts_as_typical_but_slower() {
    let expected = LoadEstimate::default().expected(NOW, 10, &TYPICAL);
    assert_eq!(expected.requests, 5.0);
    assert!(expected.run_micros > TYPICAL.run_micros);
}

#[test]
fn own_requests_count_although_the_report_is_older() {
    let mut estimate = estimate(0, false);
    for _ in 0..9 {
        estimate.record_start();
    }
    assert_eq!(estimate.expected(NOW, 10, &TYPICAL).requests, 9.0);
}

#[test]
fn an_outcome_without_a_report_keeps_the_earlier_one() {
    let mut estimate = estimate(8, false);
    let outcome = AttemptOutcome {
        failed: true,
        duration: Duration::from_millis(1),
        load: None,
    };
    estimate.record_end(NOW + Duration::from_millis(20), outcome);
    let age = estimate.report_age(NOW + Duration::from_millis(30));
    assert_eq!(age, Some(Duration::from_millis(30)));
    let rate = |s| {
        let now = NOW + Duration::from_secs(s);
        estimate.expected(now, 10, &TYPICAL).failure_rate
    };
    assert!(rate(1) > 0.1 && rate(20) < 0.01);
}

#[test]
fn the_expected_wait_rises_with_load_and_uncertainty() {
    let wait = |in_flight: u32, ms: u64| {
        let now = NOW + Duration::from_millis(ms);
        estimate(in_flight, false).expected(now, 10, &TYPICAL)
    };
    assert_eq!(wait(9, 0).wait_micros(), 0.0);
    assert!((wait(20, 0).wait_micros() - 44_000.0).abs() < 1.0);
    assert!(wait(9, 20).wait_micros() > 0.0);
    assert!(wait(20, 0).free_share() == 0.0 && wait(2, 0).free_share() > 0.7);
}

#[test]
fn odd_reports_do_not_make_the_typical_load_odd() {
    let mut odd = LoadEstimate::default();
    odd.record_start();
    let load = UpstreamLoad {
        in_flight: u32::MAX,
        waiting: u32::MAX,
        mean_micros: u32::MAX,
        ..UpstreamLoad::default()
    };
    let outcome = AttemptOutcome {
        failed: false,
        duration: Duration::MAX,
        load: Some(load),
    };
    odd.record_end(NOW, outcome);
    let typical = TypicalLoad::of([estimate(5, false), odd, estimate(5, false)]);
    assert!(typical.utilization <= 1.0);
    assert_eq!(typical.run_micros, 40_000.0);
}
