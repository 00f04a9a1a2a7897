//! A connection to the upstream, and what it has carried.

use crate::connection::buffered_connection::BufferedConnection;
use crate::connection::connection_group::ConnectionGroup;
use crate::connection::connection_use::ConnectionUse;

/// The most refused requests on one connection; it is not reused after that.
const REFUSALS_MAX: usize = 8;

/// A connection to the upstream.
pub struct UpstreamConnection {
    /// The connection.
    pub conn: BufferedConnection,
    /// The group of connections to which it belongs.
    pub group: ConnectionGroup,
    /// The ids of the requests that the upstream refused on it. A late copy of the refusal would be
    /// taken for the response to another attempt with the same id.
    refused: Vec<String>,
    /// Whether it has carried a request of the daemon itself. Responses to these have no id, so that a
    /// late copy of one would be taken for the response to the next.
    has_carried_control: bool,
}

impl UpstreamConnection {
    /// Wraps a connection that has carried nothing.
    pub fn new(conn: BufferedConnection, group: ConnectionGroup) -> Self {
        Self {
            conn,
            group,
            refused: Vec::new(),
            has_carried_control: false,
        }
    }

    /// Records that the upstream refused the request with this id on the connection.
    pub fn record_refusal(&mut self, id: &str) {
        self.refused.push(id.to_owned());
    }

    /// Records that the connection carries a request of the daemon itself.
    pub fn record_control(&mut self) {
        self.has_carried_control = true;
    }

    /// Returns whether no late copy on the connection can be taken for the response to the next
    /// request.
    pub fn is_safe_for(&self, usage: ConnectionUse<'_>) -> bool {
        match usage {
            ConnectionUse::Request(id) => self.refused.iter().all(|r| r != id),
            ConnectionUse::Control => !self.has_carried_control,
        }
    }

    /// Returns whether it must not be reused: something is left to read, or it has carried too many
    /// refusals.
    pub fn is_spent(&self) -> bool {
        !self.conn.buffered().is_empty() || self.refused.len() > REFUSALS_MAX
    }
}
