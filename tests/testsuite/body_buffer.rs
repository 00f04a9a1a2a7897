//! The memory that bodies take while they arrive.

use std::process::Command;
use std::sync::Arc;
use std::thread;

use foxtaildrift::connection::body_buffer::{BodyBuffer, BodyLimits};
use foxtaildrift::connection::buffered_connection::ConnectionError;
use foxtaildrift::connection::memory_budget::MemoryBudget;
use foxtaildrift::connection::memory_reservation::MemoryReservation;

const KIB: usize = 1024;
/// Set in a process that runs a single test.
const ALONE_VARIABLE: &str = "FOXTAILDRIFT_TEST_ALONE";

fn buffer(budget: &Arc<MemoryBudget>) -> BodyBuffer {
    BodyBuffer::new(&BodyLimits {
        bytes_max: 1024 * KIB,
        budget: Arc::clone(budget),
        transfer: None,
    })
}

// A faulty upstream that sent without end on many connections filled the memory of the host.
#[test]
fn bodies_together_take_no_more_than_the_budget() {
    let budget = MemoryBudget::new(300 * KIB);
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

// Large bodies that take all memory would displace ordinary requests.
#[test]
fn a_small_body_fits_beside_large_ones() {
    let budget = MemoryBudget::new(2048 * KIB);
    let mut large: Vec<_> = (0..3).map(|_| buffer(&budget)).collect();
    for buffer in &mut large {
        while buffer.bytes_left() > 0 && buffer.append(&[0; KIB]).is_ok() {}
    }
    let mut small = buffer(&budget);
    small.append(&vec![1; 64 * KIB]).unwrap();
    assert!(matches!(
        small.append(&[1]),
        Err(ConnectionError::OutOfMemory)
    ));
    assert_eq!(small.into_body(), vec![1; 64 * KIB]);
}

#[test]
fn a_body_alone_may_exceed_the_budget_but_not_its_own_limit() {
    let budget = MemoryBudget::new(300 * KIB);
    let mut alone = buffer(&budget);
    alone.append(&vec![0; 1024 * KIB]).unwrap();
    assert!(matches!(
        alone.append(&[0]),
        Err(ConnectionError::TooLarge("body"))
    ));
}

#[test]
fn a_body_is_returned_as_it_arrived() {
    let budget = MemoryBudget::new(1024 * KIB);
    let bytes: Vec<u8> = (0..200 * KIB).map(|n| (n % 251) as u8).collect();
    for step in [1000, 64 * KIB, 64 * KIB + 1, 200 * KIB] {
        let mut buffer = buffer(&budget);
        for part in bytes.chunks(step) {
            buffer.append(part).unwrap();
        }
        let body = buffer.into_body();
        assert!(body == bytes, "step {step}");
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
    assert_eq!(buffer.into_body().as_ref(), b"");
}

#[test]
fn reservations_that_are_made_at_the_same_time_stay_within_the_budget() {
    let budget = MemoryBudget::new(1000);
    thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                for bytes in 0..2000 {
                    let mut first = MemoryReservation::new(&budget);
                    first.raise_to(10);
                    first.raise_to(bytes % 400);
                    // A single one may exceed the budget, so each thread holds two.
                    let mut second = MemoryReservation::new(&budget);
                    second.raise_to(5);
                    assert!(budget.reserved() <= 1000, "{budget}");
                }
            });
        }
    });
    assert_eq!(budget.reserved(), 0);
}

// The allocator keeps what a thread has freed for that thread: large bodies in many threads kept a
// multiple of the budget, although none was left.
#[test]
fn large_bodies_in_many_threads_leave_no_memory_behind() {
    if std::env::var_os(ALONE_VARIABLE).is_none() {
        run_alone("body_buffer::large_bodies_in_many_threads_leave_no_memory_behind");
        return;
    }
    let before = resident_bytes();
    let budget = MemoryBudget::new(1024 * KIB);
    for _ in 0..64 {
        let budget = Arc::clone(&budget);
        let body = thread::spawn(move || {
            let mut buffer = buffer(&budget);
            buffer.append(&vec![1; 1024 * KIB]).unwrap();
            buffer.into_body()
        });
        drop(body.join().unwrap());
    }
    assert_eq!(budget.reserved(), 0);
    let kept = resident_bytes().saturating_sub(before);
    assert!(kept < 16 * 1024 * KIB, "{kept} bytes");
}

/// Runs the test `name` in a process of its own: the memory of the tests beside it would count as well.
fn run_alone(name: &str) {
    let program = std::env::current_exe().unwrap();
    let output = Command::new(program)
        .args(["--exact", name])
        .env(ALONE_VARIABLE, "1")
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{text}");
    assert!(text.contains("1 passed"), "{text}");
}

fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap();
    statm.split(' ').nth(1).unwrap().parse::<usize>().unwrap() * 4096
}

// Responses that wait for their callers would take the memory of requests.
#[test]
fn a_share_takes_no_more_than_its_part_and_counts_for_the_whole() {
    let whole = MemoryBudget::new(1000 * KIB);
    let share = whole.share(400 * KIB);
    let mut first = MemoryReservation::new(&share);
    assert!(first.raise_to(300 * KIB));
    let mut second = MemoryReservation::new(&share);
    assert!(!second.raise_to(101 * KIB));
    assert_eq!((share.reserved(), whole.reserved()), (300 * KIB, 300 * KIB));
    let mut other = MemoryReservation::new(&whole);
    assert!(other.raise_to(600 * KIB));
    assert!(!second.raise_to(70 * KIB));
    assert_eq!((share.reserved(), whole.reserved()), (300 * KIB, 900 * KIB));
    drop(first);
    assert_eq!((share.reserved(), whole.reserved()), (0, 600 * KIB));
}
