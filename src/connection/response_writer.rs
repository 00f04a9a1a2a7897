//! Writes a response to a caller that may read it slowly.

use std::io::{ErrorKind, IoSlice, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Instant;

use rustix::event::PollFlags;

use crate::connection::buffered_connection::{self, ConnectionError};
use crate::connection::memory_budget::{MemoryBudget, ShedReason};
use crate::connection::transfer::{TransferGuard, TransferKind};

/// Writes `head` and `body`. While the caller does not read, the response is a transfer of `budget`,
/// which may be ended in favour of others.
///
/// # Errors
///
/// Returns an error if the connection fails or is closed, or if the caller reads below the minimum
/// rate.
pub fn write(
    stream: &Arc<TcpStream>,
    budget: &Arc<MemoryBudget>,
    head: &[u8],
    body: &[u8],
) -> Result<(), ConnectionError> {
    let length = head.len() + body.len();
    let mut written = 0;
    let mut transfer: Option<TransferGuard> = None;
    while written < length {
        let head_left = &head[written.min(head.len())..];
        let body_left = &body[written.saturating_sub(head.len())..];
        let parts = [IoSlice::new(head_left), IoSlice::new(body_left)];
        match (&**stream).write_vectored(&parts) {
            Ok(0) => return Err(ConnectionError::Closed),
            Ok(count) => {
                written += count;
                if let Some(transfer) = &transfer {
                    transfer.transfer().record(count);
                }
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                let transfer = transfer.get_or_insert_with(|| {
                    budget.begin_transfer(stream, TransferKind::Response, Instant::now())
                });
                transfer.transfer().set_held_bytes(length);
                wait(stream, budget, transfer)?;
            }
            Err(e) => return Err(e.into()),
        }
    }
    Ok(())
}

/// Waits until the caller has read something.
fn wait(
    stream: &TcpStream,
    budget: &MemoryBudget,
    transfer: &TransferGuard,
) -> Result<(), ConnectionError> {
    let deadline = transfer.transfer().progress_deadline();
    let waited = buffered_connection::poll_until(stream, PollFlags::OUT, deadline);
    if matches!(waited, Err(ConnectionError::TimedOut)) {
        budget.record(ShedReason::Slow);
    }
    waited.map(|_| ())
}
