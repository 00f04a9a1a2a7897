//! The assignment table of a cell.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::version::assignment::Assignment;
use crate::version::document_version::DocumentVersion;
use crate::version::epoch::Epoch;
use crate::version::instance_id::InstanceId;
use crate::version::key_hash::KeyHash;
use crate::version::member::Member;
use crate::version::service_name::ServiceName;
use crate::version::session_id::SessionId;
use crate::version::slice_id::SliceId;

/// The slices of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSlices {
    /// The assignment of each slice, by its number.
    pub slices: Vec<Assignment>,
}

impl ServiceSlices {
    /// Returns the slice that `key` falls in, or `None` where the service has no slices.
    pub fn slice_of(&self, key: KeyHash) -> Option<SliceId> {
        let count = u64::try_from(self.slices.len()).ok().filter(|&n| n > 0)?;
        Some(SliceId(key.0 % count))
    }

    /// Returns the assignment of `slice`.
    pub fn assignment(&self, slice: SliceId) -> Option<&Assignment> {
        self.slices.get(slice.index())
    }
}

/// The assignment table: one value in the platform, changed by compare-and-swap only.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// The version of the table.
    pub epoch: Epoch,
    /// The lowest document version that a daemon may work by.
    pub document: DocumentVersion,
    /// The process that wrote the table.
    pub planner: InstanceId,
    /// Every session not known to have ended.
    pub members: BTreeMap<SessionId, Member>,
    /// The slices of each service.
    pub services: BTreeMap<ServiceName, ServiceSlices>,
}

impl Table {
    /// Returns the assignment of a slice.
    pub fn assignment(&self, service: &ServiceName, slice: SliceId) -> Option<&Assignment> {
        self.services.get(service)?.assignment(slice)
    }

    /// Returns all slices with their assignments.
    pub fn assignments(&self) -> impl Iterator<Item = (&ServiceName, SliceId, &Assignment)> {
        self.services.iter().flat_map(|(name, service)| {
            let numbered = (0..).map(SliceId).zip(&service.slices);
            numbered.map(move |(slice, assignment)| (name, slice, assignment))
        })
    }

    /// Returns where the daemon of `session` takes datagrams and connections.
    pub fn peer(&self, session: SessionId) -> Option<SocketAddr> {
        self.members.get(&session).map(|m| m.info.peer)
    }

    /// Returns the member whose process is `instance`, the newest session first.
    pub fn member_of(&self, instance: InstanceId) -> Option<&Member> {
        let sessions = self.members.iter().rev();
        sessions
            .map(|(_, m)| m)
            .find(|m| m.info.session.instance == instance)
    }
}
