//! The memory that bodies take while they arrive.

use std::sync::Arc;
use std::thread;

use foxtaildrift::connection::body_budget::{BodyBudget, BodyReservation};
use foxtaildrift::connection::body_buffer::{BodyBuffer, BodyLimits};
use foxtaildrift::connection::buffered_connection::ConnectionError;

const KIB: usize = 1024;

fn buffer(budget: &Arc<BodyBudget>) -> BodyBuffer {
    BodyBuffer::new(&BodyLimits {
        bytes_max: 1024 * KIB,
        budget: Arc::clone(budget),
    })
}

// A faulty upstream that sent without end on many connections filled the memory of the host.
#[test]
fn bodies_together_take_no_more_than_the_budget() {
    let budget = BodyBudget::new(300 * KIB);
    let mut buffers: Vec<_> = (0..5).map(|_| buffer(&budget)).collect();
    let mut refused = 0;
    for _ in 0..1000 {
        for buffer in &mut buffers {
            if buffer.append(&[0; KIB]).is_err() {
                refused += 1;
            }
        }
        assert!(budget.reserved() <= 300 * KIB, "{budget}");
    }
    assert!(refused > 0);
    drop(buffers);
    assert_eq!(budget.reserved(), 0);
}

#[test]
fn a_small_body_needs_no_reservation() {
    let budget = BodyBudget::new(300 * KIB);
    let mut large = buffer(&budget);
    large.append(&vec![0; 300 * KIB]).unwrap();
    let mut small = buffer(&budget);
    small.append(&vec![1; 64 * KIB]).unwrap();
    assert!(matches!(
        small.append(&[1]),
        Err(ConnectionError::OutOfMemory)
    ));
    assert_eq!(small.into_body().bytes, vec![1; 64 * KIB]);
}

#[test]
fn a_body_alone_may_exceed_the_budget_but_not_its_own_limit() {
    let budget = BodyBudget::new(300 * KIB);
    let mut alone = buffer(&budget);
    alone.append(&vec![0; 1024 * KIB]).unwrap();
    assert!(matches!(
        alone.append(&[0]),
        Err(ConnectionError::TooLarge("body"))
    ));
}

#[test]
fn a_body_is_returned_as_it_arrived() {
    let budget = BodyBudget::new(1024 * KIB);
    let bytes: Vec<u8> = (0..200 * KIB).map(|n| (n % 251) as u8).collect();
    for step in [1000, 64 * KIB, 64 * KIB + 1, 200 * KIB] {
        let mut buffer = buffer(&budget);
        for part in bytes.chunks(step) {
            buffer.append(part).unwrap();
        }
        let body = buffer.into_body();
        assert!(body.bytes == bytes, "step {step}");
        assert_eq!(budget.reserved(), bytes.len());
    }
    assert_eq!(budget.reserved(), 0);
}

#[test]
fn a_discarded_body_counts_but_takes_no_memory() {
    let mut buffer = BodyBuffer::discarding(10);
    buffer.append(b"12345678").unwrap();
    assert_eq!(buffer.length(), 8);
    assert!(buffer.append(b"9ab").is_err());
    assert_eq!(buffer.into_body().bytes, b"");
}

#[test]
fn reservations_that_are_made_at_the_same_time_stay_within_the_budget() {
    let budget = BodyBudget::new(1000);
    thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                for bytes in 0..2000 {
                    let mut first = BodyReservation::new(&budget);
                    first.raise_to(10);
                    first.raise_to(bytes % 400);
                    // A single one may exceed the budget, so each thread holds two.
                    let mut second = BodyReservation::new(&budget);
                    second.raise_to(5);
                    assert!(budget.reserved() <= 1000, "{budget}");
                }
            });
        }
    });
    assert_eq!(budget.reserved(), 0);
}

#[test]
fn pieces_are_kept_within_the_budget_only() {
    let limited = BodyBudget::new(64 * KIB);
    let piece = limited.take_piece();
    let kept = piece.as_ptr();
    limited.return_piece(piece);
    limited.return_piece(limited.take_piece());
    let again = limited.take_piece();
    assert_eq!(again.as_ptr(), kept);
    // An unlimited budget would keep the pieces of the largest body for good.
    let unlimited = BodyBudget::unlimited();
    unlimited.return_piece(Vec::with_capacity(4 * 64 * KIB));
    assert!(unlimited.take_piece().capacity() < 4 * 64 * KIB);
}
