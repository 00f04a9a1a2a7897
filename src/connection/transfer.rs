//! A request, a response or a frame that is being read or written.

use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::connection::load_shedding::Candidate;
use crate::connection::memory_budget::MemoryBudget;
use crate::process::sync;

/// After how many bytes a transfer has made progress. A peer that sends or reads a byte now and then
/// makes none.
pub const PROGRESS_BYTES: usize = 16 * 1024;
/// How long a transfer may take for [`PROGRESS_BYTES`]: a minimum rate of 3.2 KiB per second.
pub const PROGRESS_TIMEOUT: Duration = Duration::from_secs(5);
/// A request that made progress within this time is refused with its next bytes rather than cut off.
const REFUSE_TIME: Duration = Duration::from_millis(100);

/// What a transfer consists of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferKind {
    /// A request that is being received; it has not run.
    Request,
    /// A response that is being written.
    Response,
    /// A frame of another daemon that is being received, without a thread.
    Frame,
}

#[derive(Debug)]
struct Progress {
    at: Instant,
    /// The bytes that were transferred since then.
    bytes_since: usize,
}

/// A transfer in progress, which can be ended when others need its memory or its thread.
#[derive(Debug)]
pub struct Transfer {
    stream: Arc<TcpStream>,
    kind: TransferKind,
    started: Instant,
    progress: Mutex<Progress>,
    /// The memory that it holds, in bytes.
    held_bytes: AtomicUsize,
    shed: AtomicBool,
}

impl Transfer {
    /// Creates a transfer that begins at `now`.
    pub(super) fn new(stream: &Arc<TcpStream>, kind: TransferKind, now: Instant) -> Self {
        Self {
            stream: Arc::clone(stream),
            kind,
            started: now,
            progress: Mutex::new(Progress {
                at: now,
                bytes_since: 0,
            }),
            held_bytes: AtomicUsize::new(0),
            shed: AtomicBool::new(false),
        }
    }

    /// Returns when it began.
    pub fn started(&self) -> Instant {
        self.started
    }

    /// Records that `count` bytes were transferred.
    pub fn record(&self, count: usize) {
        let mut progress = sync::lock(&self.progress);
        progress.bytes_since += count;
        if progress.bytes_since >= PROGRESS_BYTES {
            *progress = Progress {
                at: Instant::now(),
                bytes_since: 0,
            };
        }
    }

    /// Sets how much memory it holds, in bytes.
    pub fn set_held_bytes(&self, bytes: usize) {
        self.held_bytes.store(bytes, Ordering::SeqCst);
    }

    /// Returns by when it must have made progress.
    pub fn progress_deadline(&self) -> Instant {
        sync::lock(&self.progress).at + PROGRESS_TIMEOUT
    }

    /// Returns whether it was ended in favour of others.
    pub fn is_shed(&self) -> bool {
        self.shed.load(Ordering::SeqCst)
    }

    /// Ends it at `now`: a thread that waits wakes with an error. A request that still arrives is refused
    /// at its next bytes, so that its caller gets a response.
    pub(super) fn shed(&self, now: Instant) {
        self.shed.store(true, Ordering::SeqCst);
        let direction = match self.kind {
            TransferKind::Request if self.stalled(now) < REFUSE_TIME => return,
            TransferKind::Request => Shutdown::Read,
            TransferKind::Response | TransferKind::Frame => Shutdown::Both,
        };
        // Fails if the peer has closed the connection already.
        let _ = self.stream.shutdown(direction);
    }

    fn stalled(&self, now: Instant) -> Duration {
        now.saturating_duration_since(sync::lock(&self.progress).at)
    }

    /// Returns what the choice of a transfer to end depends on.
    pub(super) fn candidate(&self, number: u64, now: Instant) -> Candidate {
        Candidate {
            number,
            started: self.started,
            stalled: self.stalled(now),
            has_thread: self.kind != TransferKind::Frame,
            held_bytes: self.held_bytes.load(Ordering::SeqCst),
            is_receiving: self.kind == TransferKind::Request,
        }
    }
}

/// A registered [`Transfer`]; dropping it ends the registration.
#[derive(Debug)]
pub struct TransferGuard {
    budget: Arc<MemoryBudget>,
    number: u64,
    transfer: Arc<Transfer>,
}

impl TransferGuard {
    pub(super) fn new(budget: Arc<MemoryBudget>, number: u64, transfer: Arc<Transfer>) -> Self {
        Self {
            budget,
            number,
            transfer,
        }
    }

    /// Returns the transfer.
    pub fn transfer(&self) -> &Arc<Transfer> {
        &self.transfer
    }
}

impl Drop for TransferGuard {
    fn drop(&mut self) {
        self.budget.end_transfer(self.number);
    }
}
