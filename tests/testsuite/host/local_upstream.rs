//! Which run of the upstream is the present one.

use std::time::Duration;

use foxtaildrift::connection::protocol::StatusReport;
use foxtaildrift::process::host::local_upstream::{Change, LocalUpstream};
use foxtaildrift::process::moment::Moment;

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn report(instance: &str, started_ms: u64, sequence: u64) -> StatusReport {
    StatusReport {
        instance: instance.to_owned(),
        started_ms,
        sequence,
        service: "order-desk".parse().unwrap(),
        address: ([127, 0, 0, 1], 9000).into(),
        domain: "zarzis".parse().unwrap(),
        slots: 9,
        draining: false,
        warmup_remaining: Duration::ZERO,
    }
}

#[test]
fn a_late_report_of_a_former_run_changes_nothing() {
    let mut beside = LocalUpstream::default();
    assert_eq!(
        beside.report(at(0), &report("a", 10, 1)),
        Change::NewProcess
    );
    assert_eq!(
        beside.report(at(900), &report("b", 20, 1)),
        Change::NewProcess
    );
    assert_eq!(
        beside.report(at(950), &report("a", 10, 2)),
        Change::Outdated
    );
    assert_eq!(beside.up().unwrap().instance, "b");
}

#[test]
fn reports_are_taken_in_their_order() {
    let mut beside = LocalUpstream::default();
    beside.report(at(0), &report("a", 10, 5));
    assert_eq!(beside.report(at(1), &report("a", 10, 4)), Change::Outdated);
    assert_eq!(beside.report(at(2), &report("a", 10, 6)), Change::Refreshed);
}

#[test]
fn a_run_under_the_same_name_is_a_new_one() {
    let mut beside = LocalUpstream::default();
    beside.report(at(0), &report("a", 10, 5));
    let before = beside.up().unwrap().boot();
    assert_eq!(
        beside.report(at(9), &report("a", 11, 1)),
        Change::NewProcess
    );
    assert_ne!(beside.up().unwrap().boot(), before);
}

#[test]
fn a_run_that_seems_older_is_believed_once_the_present_one_is_silent() {
    // A clock that was set back must not shut an upstream out for good.
    let mut beside = LocalUpstream::default();
    beside.report(at(0), &report("a", 1000, 1));
    assert_eq!(
        beside.report(at(500), &report("b", 10, 1)),
        Change::Outdated
    );
    assert_eq!(
        beside.report(at(3100), &report("b", 10, 2)),
        Change::NewProcess
    );
}

#[test]
fn a_lost_run_is_back_with_its_next_report_only() {
    let mut beside = LocalUpstream::default();
    beside.report(at(0), &report("a", 10, 5));
    assert!(beside.lose());
    assert!(!beside.lose(), "that is no news");
    assert!(beside.up().is_none());
    assert_eq!(beside.report(at(1), &report("a", 10, 5)), Change::Outdated);
    assert_eq!(
        beside.report(at(2), &report("a", 10, 6)),
        Change::NewProcess
    );
}

#[test]
fn a_leave_counts_for_the_run_that_it_names() {
    let mut beside = LocalUpstream::default();
    beside.report(at(0), &report("a", 10, 1));
    assert!(!beside.leave(at(1), "b", None));
    assert!(!beside.leave(at(1), "a", Some(9)));
    assert!(beside.leave(at(1), "a", Some(10)));
    assert!(!beside.leave(at(2), "a", None), "it leaves already");
    let draining = StatusReport {
        draining: true,
        ..report("a", 10, 2)
    };
    assert_eq!(beside.report(at(3), &draining), Change::Refreshed);
    assert_eq!(beside.up().unwrap().leaving_since, Some(at(1)));
}
