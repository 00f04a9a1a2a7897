//! Limits how much memory the bodies take that a process is receiving at the same time.
//!
//! The limit of a single body is not enough: a peer that sends without end on many connections
//! reaches it on each of them.

use std::fmt;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use crate::process::sync;

/// The size of the pieces in which large bodies are collected, in bytes.
pub const PIECE_BYTES: usize = 64 * 1024;

/// The memory for all bodies of one kind, in bytes.
#[derive(Debug)]
pub struct BodyBudget {
    bytes_max: usize,
    reserved: AtomicUsize,
    /// Empty pieces. They are used again, as the allocator would keep those that a thread has freed
    /// for that thread.
    free_pieces: Mutex<Vec<Vec<u8>>>,
    /// The most empty pieces that are kept.
    free_pieces_max: usize,
}

impl BodyBudget {
    /// Creates a budget of `bytes_max` bytes.
    pub fn new(bytes_max: usize) -> Arc<Self> {
        Arc::new(Self {
            bytes_max,
            reserved: AtomicUsize::new(0),
            free_pieces: Mutex::default(),
            free_pieces_max: bytes_max / PIECE_BYTES,
        })
    }

    /// Creates a budget without a limit, which keeps no pieces.
    pub fn unlimited() -> Arc<Self> {
        Arc::new(Self {
            bytes_max: usize::MAX,
            reserved: AtomicUsize::new(0),
            free_pieces: Mutex::default(),
            free_pieces_max: 0,
        })
    }

    /// Returns how many bytes are reserved.
    pub fn reserved(&self) -> usize {
        self.reserved.load(Ordering::SeqCst)
    }

    /// Returns an empty piece with room for [`PIECE_BYTES`].
    pub fn take_piece(&self) -> Vec<u8> {
        let free = sync::lock(&self.free_pieces).pop();
        free.unwrap_or_else(|| Vec::with_capacity(PIECE_BYTES))
    }

    /// Takes a piece back that is not needed any more.
    pub fn return_piece(&self, mut piece: Vec<u8>) {
        piece.clear();
        let mut free_pieces = sync::lock(&self.free_pieces);
        if free_pieces.len() < self.free_pieces_max {
            free_pieces.push(piece);
        }
    }

    /// Replaces a reservation of `own` bytes by one of `wanted` bytes, if that fits. A reservation
    /// beside which there is no other always fits.
    fn replace(&self, own: usize, wanted: usize) -> bool {
        let updated = self
            .reserved
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |total| {
                let others = total - own;
                let new_total = others.saturating_add(wanted);
                let fits = wanted <= own || others == 0 || new_total <= self.bytes_max;
                fits.then_some(new_total)
            });
        updated.is_ok()
    }
}

impl fmt::Display for BodyBudget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} of {} bytes", self.reserved(), self.bytes_max)
    }
}

/// The part of a [`BodyBudget`] that one body takes; dropping it returns that part.
#[derive(Debug)]
pub struct BodyReservation {
    budget: Arc<BodyBudget>,
    bytes: usize,
}

impl BodyReservation {
    /// Creates an empty reservation.
    pub fn new(budget: &Arc<BodyBudget>) -> Self {
        Self {
            budget: Arc::clone(budget),
            bytes: 0,
        }
    }

    /// Returns the budget of which it is a part.
    pub fn budget(&self) -> &Arc<BodyBudget> {
        &self.budget
    }

    /// Raises the reservation to `bytes`; returns whether the budget has room for that.
    pub fn raise_to(&mut self, bytes: usize) -> bool {
        if bytes <= self.bytes {
            return true;
        }
        let fits = self.budget.replace(self.bytes, bytes);
        if fits {
            self.bytes = bytes;
        }
        fits
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.budget.replace(self.bytes, 0);
    }
}
