//! A connection to the upstream without a request in progress.

use std::time::Instant;

use crate::connection::upstream_connection::UpstreamConnection;

/// A connection without a request in progress.
pub struct IdleConnection {
    /// The connection.
    pub connection: UpstreamConnection,
    /// When it must not be reused any more.
    pub expires_at: Instant,
}

impl IdleConnection {
    /// Returns whether it can be reused at `now`: it is open, and nothing is left to read.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.expires_at > now && self.connection.conn.is_reusable()
    }
}
