//! A connection to the upstream, and what it has carried.

use crate::connection::buffered_connection::BufferedConnection;
use crate::connection::connection_group::ConnectionGroup;

/// The most refused requests on one connection; it is not reused after that.
const REFUSALS_MAX: usize = 8;

/// A connection to the upstream.
pub struct UpstreamConnection {
    /// The connection.
    pub conn: BufferedConnection,
    /// The group of connections to which it belongs.
    pub group: ConnectionGroup,
    /// The ids of the requests that the upstream refused on it.
    refused: Vec<String>,
}

impl UpstreamConnection {
    /// Wraps a connection that has carried nothing.
    pub fn new(conn: BufferedConnection, group: ConnectionGroup) -> Self {
        Self {
            conn,
            group,
            refused: Vec::new(),
        }
    }

    /// Records that the upstream refused the request with this id on the connection.
    pub fn record_refusal(&mut self, id: &str) {
        self.refused.push(id.to_owned());
    }

    /// Returns whether the upstream refused the request with this id on the connection. A late copy of
    /// the refusal would be taken for the response to its next attempt.
    pub fn has_refused(&self, id: &str) -> bool {
        self.refused.iter().any(|r| r == id)
    }

    /// Returns whether it must not be reused: something is left to read, or it has carried too many
    /// refusals.
    pub fn is_spent(&self) -> bool {
        !self.conn.buffered().is_empty() || self.refused.len() > REFUSALS_MAX
    }
}
