//! Decides which transfer is ended when memory or threads run short. Performs no I/O: callers pass in
//! the time.
//!
//! The load it handles: many clients that send bodies or read responses slowly, or stop just short of
//! the end, and together hold all memory or all threads. A transfer that has stalled is ended first;
//! else a new body gives way to one in progress, so that of several bodies which together don't fit the
//! oldest one gets through.

use std::time::{Duration, Instant};

/// How long a transfer must have made no progress before it is ended for the memory of others. Callers
/// inside the limits that read slowly make progress within this time unless they read less than
/// 16 KiB per second.
pub const STALL_MIN: Duration = Duration::from_secs(1);
/// How long a request that arrives must have made no progress before it is ended for its thread.
pub const THREAD_STALL_MIN: Duration = Duration::from_millis(250);

/// What the choice depends on for one transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The number of the transfer.
    pub number: u64,
    /// When it began.
    pub started: Instant,
    /// How long it has made no progress.
    pub stalled: Duration,
    /// Whether it occupies a thread.
    pub has_thread: bool,
    /// The memory that it holds, in bytes.
    pub held_bytes: usize,
    /// Whether it receives a request, which can still be refused.
    pub is_receiving: bool,
}

/// Returns the transfer without progress for the longest time, if that is at least `stall_min`.
pub fn slowest(candidates: &[Candidate], stall_min: Duration) -> Option<u64> {
    let stalled = candidates.iter().filter(|c| c.stalled >= stall_min);
    stalled.max_by_key(|c| c.stalled).map(|c| c.number)
}

/// Returns the transfer that is ended so that another one gets its thread. A response is given more time
/// than a request, as its request has run.
pub fn victim_for_thread(candidates: &[Candidate]) -> Option<u64> {
    let is_slow = |c: &&Candidate| match c.is_receiving {
        true => c.stalled >= THREAD_STALL_MIN,
        false => c.stalled >= STALL_MIN,
    };
    let slow = candidates.iter().filter(|c| c.has_thread).filter(is_slow);
    slow.max_by_key(|c| c.stalled).map(|c| c.number)
}

/// Returns the transfer that is ended for the memory of one that began at `asker`, or of a response if
/// that is `None`. Returns `None` if the asker itself must give way.
pub fn victim(candidates: &[Candidate], asker: Option<Instant>) -> Option<u64> {
    let holders: Vec<_> = candidates
        .iter()
        .filter(|c| c.held_bytes > 0)
        .copied()
        .collect();
    if let Some(number) = slowest(&holders, STALL_MIN) {
        return Some(number);
    }
    let newer = holders
        .iter()
        .filter(|c| c.is_receiving && asker.is_none_or(|a| c.started > a));
    newer.max_by_key(|c| c.started).map(|c| c.number)
}
