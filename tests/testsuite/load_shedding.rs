//! Which transfer is ended when many clients hold the memory or the threads.

use std::time::{Duration, Instant};

use foxtaildrift::connection::load_shedding::{self, Candidate};

fn receiving(number: u64, started: Instant, stalled_ms: u64) -> Candidate {
    Candidate {
        number,
        started,
        stalled: Duration::from_millis(stalled_ms),
        has_thread: true,
        held_bytes: 1000,
        is_receiving: true,
    }
}

// Bodies that stop just short of their end held all memory until their deadlines.
#[test]
fn the_transfer_that_stalled_longest_is_ended_first() {
    let now = Instant::now();
    let crowd = [
        receiving(1, now, 0),
        receiving(2, now, 4000),
        receiving(3, now, 1500),
    ];
    assert_eq!(load_shedding::victim(&crowd, Some(now)), Some(2));
    assert_eq!(load_shedding::victim(&crowd, None), Some(2));
}

// Two bodies that together don't fit would wait for each other, or both be refused.
#[test]
fn of_bodies_in_progress_the_newest_gives_way_and_the_oldest_gets_through() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let crowd = [receiving(1, at(0), 10), receiving(2, at(50), 10)];
    assert_eq!(load_shedding::victim(&crowd, Some(at(0))), Some(2));
    assert_eq!(load_shedding::victim(&crowd, Some(at(50))), None);
    assert_eq!(load_shedding::victim(&crowd, Some(at(100))), None);
}

// A response whose request has run is worth more than a body that can be sent again, and is not
// ended while its caller reads.
#[test]
fn a_response_that_is_read_is_not_ended() {
    let now = Instant::now();
    let response = Candidate {
        is_receiving: false,
        ..receiving(1, now + Duration::from_secs(1), 900)
    };
    assert_eq!(load_shedding::victim(&[response], None), None);
    let crowd = [response, receiving(2, now, 10)];
    assert_eq!(load_shedding::victim(&crowd, None), Some(2));
}

// Ending a transfer without memory would help nobody.
#[test]
fn only_holders_of_what_is_short_are_ended() {
    let now = Instant::now();
    let head = Candidate {
        held_bytes: 0,
        ..receiving(1, now, 5000)
    };
    let frame = Candidate {
        has_thread: false,
        ..receiving(2, now, 4000)
    };
    assert_eq!(load_shedding::victim(&[head, frame], Some(now)), Some(2));
    assert_eq!(load_shedding::victim_for_thread(&[head, frame]), Some(1));
    let quick = receiving(3, now, 200);
    assert_eq!(load_shedding::victim_for_thread(&[frame, quick]), None);
    let response = Candidate {
        is_receiving: false,
        ..receiving(4, now, 900)
    };
    assert_eq!(load_shedding::victim_for_thread(&[response]), None);
}
