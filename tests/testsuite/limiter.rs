//! The concurrency limit and the queue of an upstream.

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

fn at_ms(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

/// Runs `count` requests one after the other, each with `latency`; returns the time of the end.
fn serve(limiter: &mut Limiter, from_ms: u64, count: u64, latency: Duration) -> u64 {
    let mut millis = from_ms;
    for _ in 0..count {
        assert_eq!(
            limiter.admit(at_ms(millis), at_ms(millis + 10_000)),
            Admission::Run
        );
        millis += 20;
        limiter.complete(at_ms(millis), Completion::Ran(latency));
    }
    millis
}

/// Runs requests one after the other, each with a latency of `latency_ms`, until `condition` holds;
/// returns the time, or `None` if it does not hold after `max_requests`.
fn run_until(
    limiter: &mut Limiter,
    from_ms: u64,
    max_requests: u64,
    latency_ms: u64,
    condition: impl Fn(&Limiter) -> bool,
) -> Option<u64> {
    let mut millis = from_ms;
    for _ in 0..max_requests {
        if condition(limiter) {
            return Some(millis);
        }
        millis = serve(limiter, millis, 1, Duration::from_millis(latency_ms));
    }
    condition(limiter).then_some(millis)
}

#[test]
fn new_upstream_is_limited_to_its_cold_slots_until_it_is_faster() {
    let mut limiter = limiter(Policy::Adaptive);
    let now = serve(&mut limiter, 0, 100, Duration::from_millis(15));
    assert_eq!(limiter.limit(), 2);
    let now = run_until(&mut limiter, now, 40, 5, |l| l.limit() > 2)
        .expect("the limit rises above the cold slots");
    run_until(&mut limiter, now, 200, 5, |l| l.limit() == 8).expect("the limit reaches all slots");
}

#[test]
fn upstream_with_constant_latency_reaches_its_full_limit() {
    let mut limiter = limiter(Policy::Adaptive);
    let full_at = run_until(&mut limiter, 0, 2000, 5, |l| l.limit() == 8)
        .expect("the limit reaches all slots");
    assert!((8_000..12_000).contains(&full_at), "{full_at}");
}

#[test]
fn restarted_upstream_is_cold_again() {
    let mut limiter = warm();
    limiter.register_upstream(at_ms(60_000), &upstream(2));
    assert_eq!(limiter.limit(), 2);
}

/// Returns the limiter of a warm upstream whose requests take 5 ms.
fn warm() -> Limiter {
    let mut limiter = limiter(Policy::Adaptive);
    run_until(&mut limiter, 0, 2000, 5, |l| l.limit() == 8).expect("the limit reaches all slots");
    limiter
}

#[test]
fn upstream_slowed_by_load_is_treated_as_cold() {
    let mut limiter = warm();
    let now = run_until(&mut limiter, 60_000, 30, 40, |l| l.limit() == 4).expect("a trial begins");
    // Lower load makes the responses faster, so the upstream was overloaded.
    let now = serve(&mut limiter, now, 100, Duration::from_millis(15));
    assert_eq!(limiter.limit(), 2);
    run_until(&mut limiter, now, 400, 5, |l| l.limit() == 8)
        .expect("the limit reaches all slots again");
}

#[test]
fn upstream_that_sheds_is_treated_as_cold_at_once() {
    let mut limiter = warm();
    assert_eq!(limiter.admit(at_ms(60_000), at_ms(70_000)), Admission::Run);
    limiter.complete(at_ms(60_001), Completion::Shed);
    assert_eq!(limiter.limit(), 2);
}

#[test]
fn upstream_slow_at_any_load_keeps_its_limit_after_a_trial() {
    let mut limiter = warm();
    let now = run_until(&mut limiter, 60_000, 30, 25, |l| l.limit() == 4).expect("a trial begins");
    let trial_end =
        run_until(&mut limiter, now, 15, 25, |l| l.limit() == 8).expect("the trial ends");
    assert!(trial_end - now <= 500, "{}", trial_end - now);
    // Persistent slowness does not start another trial.
    let now = serve(&mut limiter, trial_end, 100, Duration::from_millis(25));
    assert_eq!(limiter.limit(), 8);
    serve(&mut limiter, now, 100, Duration::from_millis(5));
    assert_eq!(limiter.limit(), 8);
}

#[test]
fn baseline_policy_uses_the_announced_slots() {
    let mut limiter = limiter(Policy::Baseline);
    assert_eq!(limiter.limit(), 8);
    let now = serve(&mut limiter, 0, 20, Duration::from_millis(5));
    serve(&mut limiter, now, 20, Duration::from_millis(100));
    assert_eq!(limiter.limit(), 8);
}

#[test]
fn earliest_deadline_is_admitted_first_and_a_full_queue_refuses() {
    let mut limiter = limiter(Policy::Adaptive);
    for _ in 0..2 {
        assert_eq!(limiter.admit(at_ms(0), at_ms(1000)), Admission::Run);
    }
    let tickets: Vec<_> = [900, 500, 700, 800]
        .map(|deadline| limiter.admit(at_ms(0), at_ms(deadline)))
        .into_iter()
        .collect();
    assert_eq!(limiter.admit(at_ms(0), at_ms(1000)), Admission::Full);
    let Admission::Wait(earliest) = tickets[1] else {
        panic!("{tickets:?}")
    };
    assert_eq!(
        limiter.complete(at_ms(10), Completion::Failed),
        vec![earliest]
    );
}

#[test]
fn request_that_would_miss_its_deadline_is_refused_at_once() {
    let mut limiter = limiter(Policy::Adaptive);
    let now = serve(&mut limiter, 0, 20, Duration::from_millis(50));
    assert_eq!(
        limiter.admit(at_ms(now), at_ms(now + 20)),
        Admission::TooLate
    );
    let mut baseline = self::limiter(Policy::Baseline);
    let now = serve(&mut baseline, 0, 10, Duration::from_millis(50));
    assert_eq!(baseline.admit(at_ms(now), at_ms(now + 20)), Admission::Run);
}

#[test]
fn abandoned_request_leaves_the_queue() {
    let mut limiter = limiter(Policy::Adaptive);
    for _ in 0..2 {
        limiter.admit(at_ms(0), at_ms(1000));
    }
    let Admission::Wait(ticket) = limiter.admit(at_ms(0), at_ms(500)) else {
        panic!("the request must be queued")
    };
    limiter.abandon(at_ms(500), ticket);
    assert_eq!(limiter.waiting(), 0);
    assert_eq!(limiter.complete(at_ms(10), Completion::Failed), vec![]);
}
