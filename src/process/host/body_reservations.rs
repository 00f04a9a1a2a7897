//! Decides how many large bodies other daemons may send to this host at a time. Performs no I/O:
//! callers pass in the time.
//!
//! Without a limit, many daemons that send bodies to a host with a slow link fill that link for
//! seconds: each request arrives too late, small ones too, although the upstream is idle.

use std::collections::HashMap;
use std::time::Duration;

use crate::process::moment::Moment;

/// How long the bodies that may be on their way together occupy the host's link.
const LINK_TIME: Duration = Duration::from_millis(100);
/// How long a reservation is kept if its body does not arrive.
const RESERVATION_TIMEOUT: Duration = Duration::from_millis(1000);

/// Request id and attempt number.
type AttemptId = (String, u32);

/// Bodies that may be on their way to this host.
#[derive(Debug)]
pub struct BodyReservations {
    bytes_max: usize,
    /// The expiry and the size of each reserved body, in bytes.
    reserved: HashMap<AttemptId, (Moment, usize)>,
}

impl BodyReservations {
    /// Creates the reservations of a host with a link of `link_mbps` megabits per second.
    pub fn new(link_mbps: f64) -> Self {
        let bytes = link_mbps * 1e6 / 8.0 * LINK_TIME.as_secs_f64();
        Self {
            bytes_max: bytes as usize,
            reserved: HashMap::new(),
        }
    }

    /// Reserves room for a body of `bytes` bytes. One body is always allowed, whatever its size.
    ///
    /// # Errors
    ///
    /// Returns after which delay another attempt is more likely to succeed.
    pub fn reserve(
        &mut self,
        now: Moment,
        id: &str,
        attempt: u32,
        bytes: usize,
    ) -> Result<(), Duration> {
        self.reserved.retain(|_, (expiry, _)| *expiry > now);
        let sizes = self.reserved.values().map(|(_, bytes)| *bytes);
        let total = sizes.fold(0, usize::saturating_add);
        if total > 0 && total.saturating_add(bytes) > self.bytes_max {
            return Err(LINK_TIME);
        }
        let expiry = now + RESERVATION_TIMEOUT;
        self.reserved
            .insert((id.to_owned(), attempt), (expiry, bytes));
        Ok(())
    }

    /// Records that the body of an attempt has arrived.
    pub fn release(&mut self, id: &str, attempt: u32) {
        self.reserved.remove(&(id.to_owned(), attempt));
    }
}
