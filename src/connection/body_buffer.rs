//! Collects the bytes of a body as they arrive, within the limits for it.

use std::sync::Arc;

use bytes::Bytes;
use memmap2::MmapMut;

use crate::connection::buffered_connection::ConnectionError;
use crate::connection::memory_budget::MemoryBudget;
use crate::connection::memory_reservation::MemoryReservation;
use crate::connection::transfer::Transfer;
use crate::request::body::HEAP_BYTES_MAX;
use crate::request::mapping;

/// The smallest mapping of a body whose length is not known, in bytes, unless its limit is lower. While a
/// body is moved to a larger mapping it takes its memory twice, so the first one has room for all usual
/// limits; it takes address space only.
const MAPPING_BYTES_MIN: usize = 128 * 1024 * 1024;

/// The limits on the size of a body.
#[derive(Clone, Debug)]
pub struct BodyLimits {
    /// The largest body, in bytes.
    pub bytes_max: usize,
    /// The memory for all bodies.
    pub budget: Arc<MemoryBudget>,
    /// The transfer that the body is a part of, if its peer must keep to the minimum rate.
    pub transfer: Option<Arc<Transfer>>,
}

/// A body that was received. Its part of the budget is returned when the bytes are dropped.
#[derive(Debug)]
struct OwnedBody {
    storage: Storage,
    length: usize,
    _reservation: MemoryReservation,
}

impl AsRef<[u8]> for OwnedBody {
    fn as_ref(&self) -> &[u8] {
        match &self.storage {
            Storage::Heap(bytes) => bytes,
            Storage::Mapping(mapping) => &mapping[..self.length],
        }
    }
}

#[derive(Debug)]
enum Storage {
    Heap(Vec<u8>),
    /// Takes memory only for the pages that were written.
    Mapping(MmapMut),
}

/// A body that is being received.
#[derive(Debug)]
pub struct BodyBuffer {
    storage: Storage,
    length: usize,
    bytes_max: usize,
    /// `None` if the bytes are only counted.
    reservation: Option<MemoryReservation>,
    transfer: Option<Arc<Transfer>>,
}

impl BodyBuffer {
    /// Creates an empty buffer.
    pub fn new(limits: &BodyLimits) -> Self {
        Self {
            storage: Storage::Heap(Vec::new()),
            length: 0,
            bytes_max: limits.bytes_max,
            reservation: Some(MemoryReservation::new(&limits.budget)),
            transfer: limits.transfer.clone(),
        }
    }

    /// Creates a buffer for a body of at most `bytes_max` bytes that is not needed: the buffer
    /// counts its bytes and discards them.
    pub fn discarding(bytes_max: usize) -> Self {
        Self {
            storage: Storage::Heap(Vec::new()),
            length: 0,
            bytes_max,
            reservation: None,
            transfer: None,
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

    /// Returns the transfer that the body is a part of.
    pub fn transfer(&self) -> Option<&Arc<Transfer>> {
        self.transfer.as_ref()
    }

    /// Makes room for a body of `length` bytes, without reserving the memory yet.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is too large.
    pub fn expect_length(&mut self, length: usize) -> Result<(), ConnectionError> {
        if length > self.bytes_max {
            return Err(ConnectionError::TooLarge("body"));
        }
        match self.reservation.is_some() && length > HEAP_BYTES_MAX {
            true => self.grow(length),
            false => Ok(()),
        }
    }

    /// Appends `bytes`.
    ///
    /// # Errors
    ///
    /// Returns an error if the body becomes too large, or if others take the memory for it.
    pub fn append(&mut self, bytes: &[u8]) -> Result<(), ConnectionError> {
        if bytes.is_empty() {
            return Ok(());
        }
        if bytes.len() > self.bytes_left() {
            return Err(ConnectionError::TooLarge("body"));
        }
        let length = self.length + bytes.len();
        if let Some(reservation) = &mut self.reservation {
            let transfer = self.transfer.as_deref();
            if transfer.is_some_and(Transfer::is_shed)
                || !reservation.raise_or_shed(length, transfer)
            {
                return Err(ConnectionError::OutOfMemory);
            }
            self.store(bytes, length)?;
        }
        self.length = length;
        if let Some(transfer) = &self.transfer {
            transfer.set_held_bytes(length);
            transfer.record(bytes.len());
        }
        Ok(())
    }

    /// Returns the body.
    pub fn into_body(self) -> Bytes {
        match self.reservation {
            Some(reservation) if self.length > 0 => Bytes::from_owner(OwnedBody {
                storage: self.storage,
                length: self.length,
                _reservation: reservation,
            }),
            _ => Bytes::new(),
        }
    }

    /// Stores `bytes` as the last of a body of `length` bytes.
    fn store(&mut self, bytes: &[u8], length: usize) -> Result<(), ConnectionError> {
        let capacity = match &self.storage {
            Storage::Heap(_) => HEAP_BYTES_MAX,
            Storage::Mapping(mapping) => mapping.len(),
        };
        if length > capacity {
            let next = capacity.saturating_mul(2).max(MAPPING_BYTES_MIN);
            self.grow(length.max(next.min(self.bytes_max)))?;
        }
        match &mut self.storage {
            Storage::Heap(stored) => stored.extend_from_slice(bytes),
            Storage::Mapping(mapping) => mapping[self.length..length].copy_from_slice(bytes),
        }
        Ok(())
    }

    /// Moves the stored bytes to a mapping of `capacity` bytes.
    fn grow(&mut self, capacity: usize) -> Result<(), ConnectionError> {
        let mapping = mapping::allocate(capacity);
        let mut mapping = mapping.map_err(|_| ConnectionError::OutOfMemory)?;
        let stored = match &self.storage {
            Storage::Heap(stored) => &stored[..],
            Storage::Mapping(mapping) => &mapping[..self.length],
        };
        mapping[..self.length].copy_from_slice(stored);
        self.storage = Storage::Mapping(mapping);
        Ok(())
    }
}
