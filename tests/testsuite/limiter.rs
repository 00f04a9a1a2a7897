//! The limit and queue of an upstream.

use std::time::Duration;

use foxtaildrift::process::moment::Moment;
use foxtaildrift::request::limiter::{Admission, Completion, Limiter};
use foxtaildrift::version::service::Policy;
use foxtaildrift::version::upstream::{Upstream, UpstreamBoot};

fn upstream(boot: u64) -> Upstream {
    Upstream {
        service: "order-desk".parse().unwrap(),
        address: ([127, 0, 0, 1], 9000).into(),
        boot: UpstreamBoot(boot),
        slots: 8,
        cold_slots: 2,
        connections: 100,
        checks_grants: true,
    }
}

fn limiter(policy: Policy) -> Limiter {
    let mut limiter = Limiter::new();
    limiter.configure(policy, 4);
    limiter.register_upstream(Moment(0), &upstream(1));
    limiter
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

/// Runs `count` requests one after the other, each of `took`.
fn serve(limiter: &mut Limiter, from: u64, count: u64, took: Duration) -> u64 {
    let mut millis = from;
    for _ in 0..count {
        assert_eq!(
            limiter.admit(at(millis), at(millis + 10_000)),
            Admission::Run
        );
        millis += 20;
        limiter.complete(at(millis), Completion::Ran(took));
    }
    millis
}

/// Runs requests two at a time, each of `took`, until `until` holds or `most` have run.
fn until(
    limiter: &mut Limiter,
    from: u64,
    most: u64,
    took: u64,
    until: impl Fn(&Limiter) -> bool,
) -> Option<u64> {
    let mut millis = from;
    for _ in 0..most {
        if until(limiter) {
            return Some(millis);
        }
        millis = serve(limiter, millis, 1, Duration::from_millis(took));
    }
    until(limiter).then_some(millis)
}

#[test]
fn a_new_upstream_gets_no_more_than_it_bears_cold_until_it_is_faster() {
    let mut limiter = limiter(Policy::Adaptive);
    let now = serve(&mut limiter, 0, 100, Duration::from_millis(15));
    assert_eq!(limiter.limit(), 2);
    let now = until(&mut limiter, now, 40, 5, |l| l.limit() > 2).expect("it is warm");
    until(&mut limiter, now, 200, 5, |l| l.limit() == 8).expect("it gets its full share");
}

#[test]
fn one_that_was_never_cold_is_not_held_back_for_ever() {
    let mut limiter = limiter(Policy::Adaptive);
    let full = until(&mut limiter, 0, 2000, 5, |l| l.limit() == 8).expect("it gets its share");
    assert!((8_000..12_000).contains(&full), "{full}");
}

#[test]
fn a_new_run_of_the_upstream_is_cold_again() {
    let mut limiter = warm();
    limiter.register_upstream(at(60_000), &upstream(2));
    assert_eq!(limiter.limit(), 2);
}

/// Returns the limiter of a warm upstream whose requests take 5 ms.
fn warm() -> Limiter {
    let mut limiter = limiter(Policy::Adaptive);
    until(&mut limiter, 0, 2000, 5, |l| l.limit() == 8).expect("it gets its share");
    limiter
}

#[test]
fn a_slow_upstream_that_load_makes_slower_is_taken_for_cold() {
    let mut limiter = warm();
    let now = until(&mut limiter, 60_000, 30, 40, |l| l.limit() == 4).expect("a trial begins");
    // With little load its answers are faster: it was overloaded.
    let now = serve(&mut limiter, now, 100, Duration::from_millis(15));
    assert_eq!(limiter.limit(), 2);
    until(&mut limiter, now, 400, 5, |l| l.limit() == 8).expect("it becomes warm");
}

#[test]
fn an_upstream_that_sheds_is_taken_for_cold_at_once() {
    let mut limiter = warm();
    assert_eq!(limiter.admit(at(60_000), at(70_000)), Admission::Run);
    limiter.complete(at(60_001), Completion::Shed);
    assert_eq!(limiter.limit(), 2);
}

#[test]
fn a_straggler_keeps_its_share_after_a_short_trial() {
    let mut limiter = warm();
    let now = until(&mut limiter, 60_000, 30, 25, |l| l.limit() == 4).expect("a trial begins");
    let end = until(&mut limiter, now, 15, 25, |l| l.limit() == 8).expect("the trial ends");
    assert!(end - now <= 500, "{}", end - now);
    // Slowness that goes on starts no other trial.
    let now = serve(&mut limiter, end, 100, Duration::from_millis(25));
    assert_eq!(limiter.limit(), 8);
    serve(&mut limiter, now, 100, Duration::from_millis(5));
    assert_eq!(limiter.limit(), 8);
}

#[test]
fn the_baseline_uses_the_announced_slots() {
    let mut limiter = limiter(Policy::Baseline);
    assert_eq!(limiter.limit(), 8);
    let now = serve(&mut limiter, 0, 20, Duration::from_millis(5));
    serve(&mut limiter, now, 20, Duration::from_millis(100));
    assert_eq!(limiter.limit(), 8);
}

#[test]
fn the_earliest_deadline_goes_first_and_a_full_queue_refuses() {
    let mut limiter = limiter(Policy::Adaptive);
    for _ in 0..2 {
        assert_eq!(limiter.admit(at(0), at(1000)), Admission::Run);
    }
    let tickets: Vec<_> = [900, 500, 700, 800]
        .map(|deadline| limiter.admit(at(0), at(deadline)))
        .into_iter()
        .collect();
    assert_eq!(limiter.admit(at(0), at(1000)), Admission::Full);
    let Admission::Wait(soonest) = tickets[1] else {
        panic!("{tickets:?}")
    };
    assert_eq!(limiter.complete(at(10), Completion::Failed), vec![soonest]);
}

#[test]
fn what_would_end_too_late_is_refused_at_once() {
    let mut limiter = limiter(Policy::Adaptive);
    let now = serve(&mut limiter, 0, 20, Duration::from_millis(50));
    assert_eq!(limiter.admit(at(now), at(now + 20)), Admission::TooLate);
    let mut baseline = self::limiter(Policy::Baseline);
    let now = serve(&mut baseline, 0, 10, Duration::from_millis(50));
    assert_eq!(baseline.admit(at(now), at(now + 20)), Admission::Run);
}

#[test]
fn one_that_gave_up_waiting_takes_no_place() {
    let mut limiter = limiter(Policy::Adaptive);
    for _ in 0..2 {
        limiter.admit(at(0), at(1000));
    }
    let Admission::Wait(ticket) = limiter.admit(at(0), at(500)) else {
        panic!("it must wait")
    };
    limiter.abandon(at(500), ticket);
    assert_eq!(limiter.waiting(), 0);
    assert_eq!(limiter.complete(at(10), Completion::Failed), vec![]);
}
