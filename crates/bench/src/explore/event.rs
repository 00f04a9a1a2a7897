//! The events of a simulation.

use std::sync::Arc;

use foxtaildrift::process::datagram::Datagram;
use foxtaildrift::process::platform::Revision;
use foxtaildrift::process::release_tracker::ReleaseId;
use foxtaildrift::version::document_version::DocumentVersion;
use foxtaildrift::version::instance_id::InstanceId;
use foxtaildrift::version::table::Table;

use crate::explore::release::Release;

/// A scheduled event.
#[derive(Clone, Debug)]
pub enum Event {
    /// The periodic work of a daemon.
    Tick(usize),
    /// A planner pass of a daemon.
    Plan(usize),
    /// The arrival of a compare-and-swap of the table at the platform.
    WriteTable {
        /// The host of the planner.
        node: usize,
        /// The process that planned.
        instance: InstanceId,
        /// The revision that the write replaces.
        base: Revision,
        /// The next table.
        table: Arc<Table>,
        /// Whether the planner gets no reply.
        reply_lost: bool,
    },
    /// The arrival of a datagram.
    Deliver {
        /// The receiving host.
        to: usize,
        /// The datagram.
        datagram: Box<Datagram>,
    },
    /// The arrival of a table that a daemon fetched from another.
    ReceiveTable {
        /// The receiving host.
        to: usize,
        /// The table.
        table: Arc<Table>,
    },
    /// The arrival of a document version that a daemon fetched from another.
    ReceiveDocumentVersion {
        /// The receiving host.
        to: usize,
        /// The version.
        version: DocumentVersion,
    },
    /// The begin of a release.
    BeginRelease(Release),
    /// A check whether the work of a release has ended.
    EndRelease(Release, ReleaseId),
    /// The next fault.
    InjectFault,
}
