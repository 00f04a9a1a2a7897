//! Which process of the local upstream is the current one.

use std::time::Duration;

use foxtaildrift::connection::protocol::StatusReport;
use foxtaildrift::process::host::local_upstream::{LocalUpstream, ReportEffect, UpstreamLoss};
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
fn a_late_report_of_a_former_process_is_ignored() {
    let mut upstream = LocalUpstream::default();
    assert_eq!(
        upstream.apply_report(at(0), &report("a", 10, 1)),
        ReportEffect::NewProcess
    );
    assert_eq!(
        upstream.apply_report(at(900), &report("b", 20, 1)),
        ReportEffect::NewProcess
    );
    assert_eq!(
        upstream.apply_report(at(950), &report("a", 10, 2)),
        ReportEffect::Outdated
    );
    assert_eq!(upstream.running().unwrap().instance, "b");
}

#[test]
fn a_reordered_report_is_ignored() {
    let mut upstream = LocalUpstream::default();
    upstream.apply_report(at(0), &report("a", 10, 5));
    assert_eq!(
        upstream.apply_report(at(1), &report("a", 10, 4)),
        ReportEffect::Outdated
    );
    assert_eq!(
        upstream.apply_report(at(2), &report("a", 10, 6)),
        ReportEffect::Refreshed
    );
}

#[test]
fn a_later_start_time_under_the_same_name_is_a_new_process() {
    let mut upstream = LocalUpstream::default();
    upstream.apply_report(at(0), &report("a", 10, 5));
    let before = upstream.running().unwrap().boot();
    assert_eq!(
        upstream.apply_report(at(9), &report("a", 11, 1)),
        ReportEffect::NewProcess
    );
    assert_ne!(upstream.running().unwrap().boot(), before);
}

#[test]
fn an_earlier_start_time_is_accepted_once_the_current_process_is_silent() {
    // Otherwise an upstream whose clock was set back would be ignored forever.
    let mut upstream = LocalUpstream::default();
    upstream.apply_report(at(0), &report("a", 1000, 1));
    assert_eq!(
        upstream.apply_report(at(500), &report("b", 10, 1)),
        ReportEffect::Outdated
    );
    assert_eq!(
        upstream.apply_report(at(3100), &report("b", 10, 2)),
        ReportEffect::NewProcess
    );
}

#[test]
fn a_lost_process_is_up_again_only_with_its_next_report() {
    let mut upstream = LocalUpstream::default();
    upstream.apply_report(at(0), &report("a", 10, 5));
    assert!(upstream.mark_down(UpstreamLoss::GrantsNotAnswered));
    assert_eq!(upstream.gone_at(), None, "its process may still run");
    let loss = UpstreamLoss::Refused { at: at(7) };
    assert!(!upstream.mark_down(loss), "it was down already");
    assert_eq!(upstream.gone_at(), Some(at(7)));
    assert!(upstream.running().is_none());
    assert_eq!(
        upstream.apply_report(at(1), &report("a", 10, 5)),
        ReportEffect::Outdated
    );
    assert_eq!(
        upstream.apply_report(at(2), &report("a", 10, 6)),
        ReportEffect::NewProcess
    );
}

#[test]
fn a_leave_applies_only_to_the_process_that_it_names() {
    let mut upstream = LocalUpstream::default();
    upstream.apply_report(at(0), &report("a", 10, 1));
    assert!(!upstream.mark_leaving(at(1), "b", None));
    assert!(!upstream.mark_leaving(at(1), "a", Some(9)));
    assert!(upstream.mark_leaving(at(1), "a", Some(10)));
    assert!(
        !upstream.mark_leaving(at(2), "a", None),
        "it was leaving already"
    );
    assert_eq!(
        upstream.apply_report(at(3), &draining("a", 10, 2)),
        ReportEffect::Refreshed
    );
    assert_eq!(upstream.running().unwrap().leaving_since, Some(at(1)));
}

/// A report that announces that the process will stop.
fn draining(instance: &str, started_ms: u64, sequence: u64) -> StatusReport {
    StatusReport {
        draining: true,
        ..report(instance, started_ms, sequence)
    }
}

// An upstream whose leave was acknowledged got requests again after a report that was sent before it.
#[test]
fn a_leave_before_the_first_report_binds() {
    let mut upstream = LocalUpstream::default();
    upstream.mark_leaving(at(1), "a", Some(10));
    assert_eq!(
        upstream.apply_report(at(2500), &report("a", 10, 3)),
        ReportEffect::NewProcess
    );
    assert_eq!(upstream.running().unwrap().leaving_since, Some(at(1)));
}

#[test]
fn a_leave_without_a_start_time_binds_the_next_process_of_that_name_only() {
    let mut upstream = LocalUpstream::default();
    upstream.mark_leaving(at(1), "a", None);
    upstream.apply_report(at(2500), &report("a", 10, 3));
    assert_eq!(upstream.running().unwrap().leaving_since, Some(at(1)));
    upstream.apply_report(at(2600), &report("a", 20, 1));
    assert_eq!(upstream.running().unwrap().leaving_since, None);
}

#[test]
fn a_leave_binds_a_process_that_is_not_the_current_one() {
    let mut upstream = LocalUpstream::default();
    upstream.apply_report(at(0), &report("a", 10, 1));
    upstream.mark_leaving(at(1), "b", Some(20));
    assert_eq!(upstream.running().unwrap().leaving_since, None);
    upstream.apply_report(at(2), &report("b", 20, 1));
    assert_eq!(upstream.running().unwrap().leaving_since, Some(at(1)));
}

#[test]
fn a_leave_outlasts_a_loss_of_the_process() {
    let mut upstream = LocalUpstream::default();
    upstream.apply_report(at(0), &report("a", 10, 1));
    upstream.mark_leaving(at(1), "a", Some(10));
    upstream.mark_down(UpstreamLoss::GrantsNotAnswered);
    assert_eq!(
        upstream.apply_report(at(2), &report("a", 10, 2)),
        ReportEffect::NewProcess
    );
    assert_eq!(upstream.running().unwrap().leaving_since, Some(at(1)));
}

#[test]
fn a_leave_outlasts_another_process() {
    let mut upstream = LocalUpstream::default();
    upstream.apply_report(at(0), &report("a", 10, 1));
    upstream.apply_report(at(1), &draining("a", 10, 2));
    upstream.apply_report(at(2), &report("b", 20, 1));
    assert_eq!(upstream.running().unwrap().leaving_since, None);
    assert_eq!(
        upstream.apply_report(at(4000), &report("a", 10, 3)),
        ReportEffect::NewProcess,
        "the other process is silent"
    );
    assert_eq!(upstream.running().unwrap().leaving_since, Some(at(1)));
}

#[test]
fn an_outdated_report_that_announces_a_stop_binds() {
    let mut upstream = LocalUpstream::default();
    upstream.apply_report(at(0), &report("a", 10, 5));
    assert_eq!(
        upstream.apply_report(at(1), &draining("a", 10, 4)),
        ReportEffect::Leaving
    );
    assert_eq!(upstream.running().unwrap().leaving_since, Some(at(1)));
    assert_eq!(
        upstream.apply_report(at(2), &report("a", 10, 6)),
        ReportEffect::Refreshed
    );
    assert_eq!(upstream.running().unwrap().leaving_since, Some(at(1)));
}

/// Guards against an announcement without a start time that is acknowledged for an earlier process.
#[test]
fn an_announcement_without_a_start_time_is_about_the_current_process_of_its_name() {
    let mut upstream = LocalUpstream::default();
    assert_eq!(upstream.departed_process("a", None).started_ms, None);
    upstream.apply_report(at(0), &report("a", 10, 1));
    assert_eq!(upstream.departed_process("a", None).started_ms, Some(10));
    assert_eq!(upstream.departed_process("a", Some(7)).started_ms, Some(7));
    assert_eq!(upstream.departed_process("b", None).started_ms, None);
}
