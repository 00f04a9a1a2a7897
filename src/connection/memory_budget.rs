//! The memory that everything which grows in the process takes together: bodies of requests and
//! responses, frames between daemons, connections, and the work on requests.
//!
//! The limit of a single body is not enough: a peer that sends without end on many connections
//! reaches it on each of them.

use std::collections::HashMap;
use std::fmt;
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::connection::load_shedding::{self, Candidate};
use crate::connection::memory_reservation::MemoryReservation;
use crate::connection::transfer::{Transfer, TransferGuard, TransferKind};
use crate::process::sync;

/// The largest reservation that may use the part of the budget that is kept for small ones, in bytes.
const SMALL_BYTES_MAX: usize = 64 * 1024;
/// The part of the budget that is kept for small reservations: one in this number. Without it, large
/// bodies would displace ordinary requests.
const SMALL_SHARE: usize = 16;
/// How long a reservation waits until the connections that were closed for it give their memory back.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(200);
/// The most connections that are closed for one reservation.
const SHED_MAX: usize = 256;
/// The shortest time between two log lines for the same reason.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Why the budget refused or ended something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShedReason {
    /// A connection made too little progress while others needed its memory.
    Memory,
    /// A connection made too little progress while others needed its thread.
    Threads,
    /// A reservation did not fit.
    Refused,
    /// A connection was closed because too many are open.
    Connections,
    /// A peer sent or read below the minimum rate.
    Slow,
}

impl ShedReason {
    /// All reasons.
    pub const ALL: [Self; 5] = [
        Self::Memory,
        Self::Threads,
        Self::Refused,
        Self::Connections,
        Self::Slow,
    ];

    /// Returns the name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Threads => "threads",
            Self::Refused => "refused",
            Self::Connections => "connections",
            Self::Slow => "slow",
        }
    }
}

/// The counts of one [`ShedReason`].
#[derive(Debug, Default)]
struct ReasonCount {
    total: AtomicU64,
    logged_at: Mutex<Option<Instant>>,
}

/// A limit on the memory of the process, and the transfers that can be ended to keep it.
#[derive(Debug)]
pub struct MemoryBudget {
    /// The budget of which this one is a share.
    parent: Option<Arc<MemoryBudget>>,
    bytes_max: usize,
    reserved: AtomicUsize,
    /// The transfers in progress, by number.
    transfers: Mutex<HashMap<u64, Arc<Transfer>>>,
    last_number: AtomicU64,
    /// The number of threads that wait for memory.
    waiting: Mutex<usize>,
    released: Condvar,
    counts: [ReasonCount; ShedReason::ALL.len()],
}

impl MemoryBudget {
    /// Creates a budget of `bytes_max` bytes.
    pub fn new(bytes_max: usize) -> Arc<Self> {
        Self::with_parent(None, bytes_max)
    }

    /// Creates a share of at most `bytes_max` bytes: what is reserved of it is reserved of this budget too.
    pub fn share(self: &Arc<Self>, bytes_max: usize) -> Arc<Self> {
        Self::with_parent(Some(Arc::clone(self)), bytes_max)
    }

    fn with_parent(parent: Option<Arc<Self>>, bytes_max: usize) -> Arc<Self> {
        Arc::new(Self {
            parent,
            bytes_max,
            reserved: AtomicUsize::new(0),
            transfers: Mutex::default(),
            last_number: AtomicU64::new(0),
            waiting: Mutex::default(),
            released: Condvar::new(),
            counts: Default::default(),
        })
    }

    /// Creates a budget without a limit.
    pub fn unlimited() -> Arc<Self> {
        Self::new(usize::MAX)
    }

    /// Returns how many bytes are reserved.
    pub fn reserved(&self) -> usize {
        self.reserved.load(Ordering::SeqCst)
    }

    /// Returns how often something was refused or ended for `reason`.
    pub fn count(&self, reason: ShedReason) -> u64 {
        self.counts[reason as usize].total.load(Ordering::SeqCst)
    }

    /// Registers a transfer that begins at `now` on `stream`.
    pub fn begin_transfer(
        self: &Arc<Self>,
        stream: &Arc<TcpStream>,
        kind: TransferKind,
        now: Instant,
    ) -> TransferGuard {
        let number = self.last_number.fetch_add(1, Ordering::SeqCst) + 1;
        let transfer = Arc::new(Transfer::new(stream, kind, now));
        sync::lock(&self.transfers).insert(number, Arc::clone(&transfer));
        TransferGuard::new(Arc::clone(self), number, transfer)
    }

    /// Returns how many transfers are in progress.
    pub fn transfers(&self) -> usize {
        sync::lock(&self.transfers).len()
    }

    /// Removes a transfer that has ended.
    pub(super) fn end_transfer(&self, number: u64) {
        sync::lock(&self.transfers).remove(&number);
    }

    /// Ends the transfer with the slowest progress at `now`, if it is slow, so that its thread can be
    /// used by another one.
    pub fn shed_for_thread(&self, now: Instant) {
        if self.shed(now, load_shedding::victim_for_thread) {
            self.record(ShedReason::Threads);
        }
    }

    /// Counts and logs that something was refused or ended for `reason`.
    pub fn record(&self, reason: ShedReason) {
        let count = &self.counts[reason as usize];
        let total = count.total.fetch_add(1, Ordering::SeqCst) + 1;
        let mut logged_at = sync::lock(&count.logged_at);
        if logged_at.is_some_and(|at| at.elapsed() < LOG_INTERVAL) {
            return;
        }
        *logged_at = Some(Instant::now());
        drop(logged_at);
        let reason = reason.as_str();
        tracing::warn!(
            event = "load-shed",
            reason,
            total,
            reserved = self.reserved()
        );
    }

    /// Replaces a reservation of `own` bytes by one of `wanted` bytes, if that fits. A reservation
    /// beside which there is no other always fits.
    pub(super) fn replace(&self, own: usize, wanted: usize) -> bool {
        if !self.replace_here(own, wanted) {
            return false;
        }
        let fits = self.parent.as_ref().is_none_or(|p| p.replace(own, wanted));
        if !fits {
            self.replace_here(wanted, own);
        }
        fits
    }

    fn replace_here(&self, own: usize, wanted: usize) -> bool {
        let bytes_max = match wanted > SMALL_BYTES_MAX {
            true => self.bytes_max - self.bytes_max / SMALL_SHARE,
            false => self.bytes_max,
        };
        let updated = self
            .reserved
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |total| {
                let others = total - own;
                let new_total = others.saturating_add(wanted);
                let fits = wanted <= own || others == 0 || new_total <= bytes_max;
                fits.then_some(new_total)
            });
        if wanted < own && *sync::lock(&self.waiting) > 0 {
            self.released.notify_all();
        }
        updated.is_ok()
    }

    /// Raises `reservation` to `bytes`. While that does not fit, ends the transfers that
    /// [`load_shedding`] selects for `asker` and waits for their memory.
    pub(super) fn raise(
        &self,
        reservation: &mut MemoryReservation,
        bytes: usize,
        asker: Option<&Transfer>,
    ) -> bool {
        if reservation.raise_to(bytes) {
            return true;
        }
        // The transfers are registered at the whole budget.
        if let Some(parent) = &self.parent {
            return parent.raise(reservation, bytes, asker);
        }
        let deadline = Instant::now() + RELEASE_TIMEOUT;
        let asker_started = asker.map(Transfer::started);
        for _ in 0..SHED_MAX {
            let now = Instant::now();
            let shed = self.shed(now, |c| load_shedding::victim(c, asker_started));
            if shed {
                self.record(ShedReason::Memory);
            }
            let raised = match shed {
                true => self.wait_for(deadline, || reservation.raise_to(bytes)),
                false => reservation.raise_to(bytes),
            };
            if raised {
                return true;
            }
            if !shed || now >= deadline {
                break;
            }
        }
        self.record(ShedReason::Refused);
        false
    }

    /// Ends transfers whose memory others need, without waiting for it.
    pub(super) fn shed_stalled(&self) {
        let now = Instant::now();
        if self.shed(now, |c| load_shedding::victim(c, Some(now))) {
            self.record(ShedReason::Memory);
        }
    }

    /// Ends the transfer that `select` returns; returns whether there was one.
    fn shed(&self, now: Instant, select: impl FnOnce(&[Candidate]) -> Option<u64>) -> bool {
        let transfers = sync::lock(&self.transfers);
        let candidates: Vec<_> = transfers
            .iter()
            .filter(|(_, t)| !t.is_shed())
            .map(|(&number, t)| t.candidate(number, now))
            .collect();
        let selected = select(&candidates).and_then(|n| transfers.get(&n).cloned());
        drop(transfers);
        match selected {
            Some(transfer) => {
                transfer.shed(now);
                true
            }
            None => false,
        }
    }

    /// Waits until `is_done`, checked whenever memory is released, or a part of the time up to
    /// `deadline`.
    fn wait_for(&self, deadline: Instant, mut is_done: impl FnMut() -> bool) -> bool {
        let mut waiting = sync::lock(&self.waiting);
        *waiting += 1;
        let step_end = deadline.min(Instant::now() + RELEASE_TIMEOUT / 8);
        let mut done = false;
        loop {
            let left = step_end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let waited = self.released.wait_timeout(waiting, left);
            waiting = waited.unwrap_or_else(PoisonError::into_inner).0;
            // `is_done` raises a reservation, which takes no lock.
            done = is_done();
            if done {
                break;
            }
        }
        *waiting -= 1;
        done
    }
}

impl fmt::Display for MemoryBudget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} of {} bytes", self.reserved(), self.bytes_max)
    }
}
