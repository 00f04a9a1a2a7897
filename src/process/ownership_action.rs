//! What the ownership rules ask of the process.

use std::net::SocketAddr;

use crate::process::datagram::Datagram;
use crate::version::document_version::DocumentVersion;
use crate::version::epoch::Epoch;
use crate::version::session_id::SessionId;

/// What the daemon must do.
#[derive(Clone, Debug)]
pub enum OwnershipAction {
    /// Send a datagram.
    Send {
        /// Where to.
        to: SocketAddr,
        /// What.
        datagram: Datagram,
    },
    /// Get the table of a daemon that holds a newer one.
    FetchTable {
        /// The daemon.
        from: SocketAddr,
        /// Its epoch.
        epoch: Epoch,
    },
    /// Get the document of a daemon that holds a newer one.
    FetchDocument {
        /// The daemon.
        from: SocketAddr,
        /// Its version.
        version: DocumentVersion,
    },
    /// Finish or cancel the work on slices served no more, hand their records over, and call
    /// [`crate::process::ownership::Ownership::announce_release`] with the epoch.
    TableAdopted(Epoch),
    /// Cancel all work: the lease has lapsed.
    LeaseLapsed,
    /// The session is live again.
    LeaseLive,
    /// The session has ended and a new one wants to join.
    SessionEnded(SessionId),
}
