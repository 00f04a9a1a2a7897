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

/// The most slices of a service.
const SLICES_MAX: usize = 65_536;

/// The slices of one service.
///
/// Encoded as runs of equal assignments, as neighbours mostly are alike.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<(u32, Assignment)>", into = "Vec<(u32, Assignment)>")]
pub struct ServiceSlices {
    /// The assignment of each slice, by its number.
    pub slices: Vec<Assignment>,
}

impl From<Vec<(u32, Assignment)>> for ServiceSlices {
    fn from(runs: Vec<(u32, Assignment)>) -> Self {
        let mut slices = Vec::new();
        for (length, assignment) in runs {
            let room = SLICES_MAX - slices.len();
            let length = usize::try_from(length).unwrap_or(usize::MAX).min(room);
            slices.extend(std::iter::repeat_n(assignment, length));
        }
        Self { slices }
    }
}

impl From<ServiceSlices> for Vec<(u32, Assignment)> {
    fn from(service: ServiceSlices) -> Self {
        let mut runs: Self = Vec::new();
        for assignment in service.slices {
            match runs.last_mut() {
                Some((length, last)) if *last == assignment => *length += 1,
                _ => runs.push((1, assignment)),
            }
        }
        runs
    }
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
