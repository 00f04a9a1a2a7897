//! The actions that the ownership state machine requests from the process.

use std::net::SocketAddr;

use crate::process::datagram::Datagram;
use crate::version::document_version::DocumentVersion;
use crate::version::epoch::Epoch;
use crate::version::session_id::SessionId;

/// An action that the process must take.
#[derive(Clone, Debug)]
pub enum OwnershipAction {
    /// Send a datagram.
    Send {
        /// The peer address of the receiver.
        to: SocketAddr,
        /// The datagram.
        datagram: Datagram,
    },
    /// Fetch the table from a daemon that has a newer one.
    FetchTable {
        /// The peer address of that daemon.
        from: SocketAddr,
        /// The epoch of its table.
        epoch: Epoch,
    },
    /// Fetch the configuration from a daemon that has a newer one.
    FetchConfiguration {
        /// The peer address of that daemon.
        from: SocketAddr,
        /// The version of its configuration.
        version: DocumentVersion,
    },
    /// Finish or cancel the work on slices that are no longer served here, hand over their records,
    /// and call [`crate::process::ownership::Ownership::announce_release`] with the epoch.
    TableAdopted(Epoch),
    /// Cancel all work: the lease has lapsed.
    LeaseLapsed,
    /// Log that the session is live.
    LeaseLive,
    /// Discard the state of the session: it has ended, and a new one requests to join.
    SessionEnded(SessionId),
}
