//! Collects the bytes of a body as they arrive, within the limits for it.

use std::sync::Arc;

use crate::connection::body_budget::{BodyBudget, BodyReservation, PIECE_BYTES};
use crate::connection::buffered_connection::ConnectionError;

/// The largest body that needs no reservation, in bytes, so that large bodies never displace small
/// ones.
const UNRESERVED_BYTES_MAX: usize = 64 * 1024;

/// The limits on the size of a body.
#[derive(Clone, Debug)]
pub struct BodyLimits {
    /// The largest body, in bytes.
    pub bytes_max: usize,
    /// The memory for all bodies of its kind.
    pub budget: Arc<BodyBudget>,
}

/// A body that was received, with its part of the memory for bodies.
#[derive(Debug)]
pub struct ReceivedBody {
    /// The bytes of the body.
    pub bytes: Vec<u8>,
    /// The part of the budget that the body takes; `None` if its bytes were discarded.
    pub reservation: Option<BodyReservation>,
}

/// A body that is being received.
#[derive(Debug)]
pub struct BodyBuffer {
    /// The first bytes, at most [`UNRESERVED_BYTES_MAX`].
    start: Vec<u8>,
    /// The bytes after these.
    pieces: Vec<Vec<u8>>,
    length: usize,
    bytes_max: usize,
    /// `None` if the bytes are only counted.
    reservation: Option<BodyReservation>,
}

impl BodyBuffer {
    /// Creates a buffer for a body within `limits`.
    pub fn new(limits: &BodyLimits) -> Self {
        Self {
            start: Vec::new(),
            pieces: Vec::new(),
            length: 0,
            bytes_max: limits.bytes_max,
            reservation: Some(BodyReservation::new(&limits.budget)),
        }
    }

    /// Creates a buffer for a body of at most `bytes_max` bytes that is not needed: the buffer
    /// counts its bytes and discards them.
    pub fn discarding(bytes_max: usize) -> Self {
        Self {
            start: Vec::new(),
            pieces: Vec::new(),
            length: 0,
            bytes_max,
            reservation: None,
        }
    }

    /// Returns how many bytes were appended.
    pub fn length(&self) -> usize {
        self.length
    }

    /// Returns how many bytes may be appended.
    pub fn bytes_left(&self) -> usize {
        self.bytes_max - self.length
    }

    /// Appends `bytes`.
    ///
    /// # Errors
    ///
    /// Returns an error if the body becomes too large, or if other bodies take the memory for it.
    pub fn append(&mut self, bytes: &[u8]) -> Result<(), ConnectionError> {
        if bytes.len() > self.bytes_left() {
            return Err(ConnectionError::TooLarge("body"));
        }
        let length = self.length + bytes.len();
        let Some(reservation) = &mut self.reservation else {
            self.length = length;
            return Ok(());
        };
        if length > UNRESERVED_BYTES_MAX && !reservation.raise_to(length) {
            return Err(ConnectionError::OutOfMemory);
        }
        self.length = length;
        let (first, mut rest) =
            bytes.split_at(bytes.len().min(UNRESERVED_BYTES_MAX - self.start.len()));
        self.start.extend_from_slice(first);
        while !rest.is_empty() {
            if self.pieces.last().is_none_or(|p| p.len() == PIECE_BYTES) {
                self.pieces.push(reservation.budget().take_piece());
            }
            let last = self.pieces.len() - 1;
            let piece = &mut self.pieces[last];
            let (fitting, others) = rest.split_at(rest.len().min(PIECE_BYTES - piece.len()));
            piece.extend_from_slice(fitting);
            rest = others;
        }
        Ok(())
    }

    /// Returns the body with its reservation.
    pub fn into_body(mut self) -> ReceivedBody {
        let mut bytes = std::mem::take(&mut self.start);
        bytes.reserve_exact(self.pieces.iter().map(Vec::len).sum());
        for piece in &self.pieces {
            bytes.extend_from_slice(piece);
        }
        self.return_pieces();
        ReceivedBody {
            bytes,
            reservation: self.reservation.take(),
        }
    }

    fn return_pieces(&mut self) {
        let Some(reservation) = &self.reservation else {
            return;
        };
        for piece in self.pieces.drain(..) {
            reservation.budget().return_piece(piece);
        }
    }
}

impl Drop for BodyBuffer {
    fn drop(&mut self) {
        self.return_pieces();
    }
}
