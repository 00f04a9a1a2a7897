//! Uploads to hosts with slow links.
//!
//! Pattern: after a loss of power a few hosts with 10 Mbit/s get twice the uploads that their links
//! carry, from all others at once. What is on its way then takes seconds, each request is too late
//! when it arrives, and its retry adds to the queue.

use std::time::Duration;

use foxtaildrift::process::host::body_reservations::BodyReservations;
use foxtaildrift::process::moment::Moment;

const BODY_BYTES: usize = 60_000;
/// How long a body of that size occupies a link of 10 Mbit/s.
const BODY_TIME: Duration = Duration::from_millis(48);

#[test]
fn what_is_on_its_way_takes_a_tenth_of_a_second_whatever_is_asked_for() {
    let mut reservations = BodyReservations::new(10.0);
    let mut now = Moment::from_millis(1000);
    let (mut link_free_at, mut served, mut refused) = (now, 0u32, 0u32);
    let mut arriving: Vec<(Moment, String)> = Vec::new();
    // 40 bodies a second for 5 s, twice what the link carries.
    for n in 0..200 {
        now = now + Duration::from_millis(25);
        for (_, id) in arriving.extract_if(.., |(at, _)| *at <= now) {
            reservations.release(&id, 1);
        }
        let id = format!("upload-{n}");
        match reservations.reserve(now, &id, 1, BODY_BYTES) {
            Ok(()) => {
                link_free_at = link_free_at.max(now) + BODY_TIME;
                assert!(link_free_at.since(now) <= Duration::from_millis(150));
                arriving.push((link_free_at, id));
                served += 1;
            }
            Err(retry_after) => {
                assert!(!retry_after.is_zero());
                refused += 1;
            }
        }
    }
    // The link is in use nearly all the time.
    assert!(served >= 90, "{served} served, {refused} refused");
}

#[test]
fn fast_links_take_all_and_one_body_is_always_allowed() {
    let now = Moment::from_millis(1000);
    let mut fast = BodyReservations::new(1000.0);
    for n in 0..100 {
        assert!(fast.reserve(now, &n.to_string(), 1, BODY_BYTES).is_ok());
    }
    let mut slow = BodyReservations::new(1.0);
    assert!(slow.reserve(now, "a", 1, 8_000_000).is_ok());
    assert!(slow.reserve(now, "b", 1, 20_000).is_err());
}

#[test]
fn a_reservation_whose_body_never_arrives_expires() {
    let now = Moment::from_millis(1000);
    let mut reservations = BodyReservations::new(10.0);
    assert!(reservations.reserve(now, "a", 1, BODY_BYTES).is_ok());
    assert!(reservations.reserve(now, "b", 1, BODY_BYTES).is_ok());
    assert!(reservations.reserve(now, "c", 1, BODY_BYTES).is_err());
    // Another attempt of the same request is another body.
    assert!(reservations.reserve(now, "a", 2, BODY_BYTES).is_err());
    let later = now + Duration::from_millis(1100);
    assert!(reservations.reserve(later, "c", 1, BODY_BYTES).is_ok());
}

#[test]
fn bodies_of_the_largest_size_are_refused_like_others() {
    // Guards against an odd request of one daemon that makes all later ones fail.
    let mut reservations = BodyReservations::new(10.0);
    let now = Moment::from_millis(1000);
    assert!(reservations.reserve(now, "a", 1, 1).is_ok());
    assert!(reservations.reserve(now, "b", 1, usize::MAX).is_err());
    reservations.release("a", 1);
    assert!(reservations.reserve(now, "b", 1, usize::MAX).is_ok());
    assert!(reservations.reserve(now, "c", 1, usize::MAX).is_err());
}
