//! Establishes the connections to the local upstream.

use std::io::ErrorKind;
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use crate::connection::buffered_connection::BufferedConnection;
use crate::connection::connection_group::ConnectionGroups;
use crate::connection::upstream_connection::UpstreamConnection;
use crate::connection::upstream_request_failure::UpstreamRequestFailure;

/// The timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// From which time on a connection that took long to establish is logged.
const CONNECT_SLOW_MIN: Duration = Duration::from_millis(200);

/// Establishes connections to one address, and assigns them to groups.
#[derive(Debug)]
pub struct UpstreamConnector {
    to: SocketAddr,
    from: Option<IpAddr>,
    groups: ConnectionGroups,
}

impl UpstreamConnector {
    /// Creates a connector to `to` from the address `from`, or from one of the kernel's choice.
    pub fn new(to: SocketAddr, from: Option<IpAddr>) -> Self {
        Self {
            to,
            from,
            groups: ConnectionGroups::default(),
        }
    }

    /// Establishes a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if it is refused, or not established before `deadline`.
    pub fn connect(&self, deadline: Instant) -> Result<UpstreamConnection, UpstreamRequestFailure> {
        let now = Instant::now();
        let connect_deadline = deadline.min(now + CONNECT_TIMEOUT);
        let connected = BufferedConnection::connect(self.to, self.from, connect_deadline);
        let elapsed = now.elapsed();
        if elapsed >= CONNECT_SLOW_MIN {
            let ms = elapsed.as_millis() as u64;
            tracing::info!(
                event = "upstream-connect-slow",
                ms,
                connected = connected.is_ok()
            );
        }
        let conn = connected.map_err(|e| match e.kind() {
            ErrorKind::ConnectionRefused => UpstreamRequestFailure::Refused,
            _ => UpstreamRequestFailure::NotSent(e.to_string()),
        })?;
        let group = self.groups.add(conn.stream());
        Ok(UpstreamConnection::new(conn, group))
    }
}
