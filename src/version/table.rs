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

/// The number of keys of a service that is divided by ranges.
const KEY_COUNT: usize = 65_536;
/// The most slices of a service.
const SLICES_MAX: usize = 65_536;

/// The slices of one service.
///
/// Encoded as runs of equal assignments, as neighbours mostly are alike.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "EncodedSlices", into = "EncodedSlices")]
pub struct ServiceSlices {
    /// The assignment of each slice, in the order of the slices.
    pub slices: Vec<Assignment>,
    /// The first key of each slice where the slices are ranges of keys; empty where keys are
    /// hashed.
    pub range_starts: Vec<u16>,
}

/// The encoded form of a service's slices.
#[derive(Serialize, Deserialize)]
struct EncodedSlices {
    runs: Vec<(u32, Assignment)>,
    range_starts: Vec<u16>,
}

impl TryFrom<EncodedSlices> for ServiceSlices {
    type Error = &'static str;

    fn try_from(encoded: EncodedSlices) -> Result<Self, Self::Error> {
        let mut slices = Vec::new();
        for (length, assignment) in encoded.runs {
            let length = usize::try_from(length).unwrap_or(usize::MAX);
            if length > SLICES_MAX - slices.len() {
                return Err("too many slices");
            }
            slices.extend(std::iter::repeat_n(assignment, length));
        }
        let range_starts = encoded.range_starts;
        let rises =
            range_starts.first().is_none_or(|&f| f == 0) && range_starts.is_sorted_by(|a, b| a < b);
        if !range_starts.is_empty() && (range_starts.len() != slices.len() || !rises) {
            return Err("the ranges don't fit the slices");
        }
        Ok(Self {
            slices,
            range_starts,
        })
    }
}

impl From<ServiceSlices> for EncodedSlices {
    fn from(service: ServiceSlices) -> Self {
        let mut runs: Vec<(u32, Assignment)> = Vec::new();
        for assignment in service.slices {
            match runs.last_mut() {
                Some((length, last)) if *last == assignment => *length += 1,
                _ => runs.push((1, assignment)),
            }
        }
        Self {
            runs,
            range_starts: service.range_starts,
        }
    }
}

impl ServiceSlices {
    /// Returns `count` ranges of keys of equal width, without candidates.
    pub fn ranged(count: u32) -> Self {
        let count = usize::try_from(count.clamp(1, 4096)).unwrap_or(1);
        let first = |n: usize| u16::try_from(n * KEY_COUNT / count).unwrap_or(u16::MAX);
        Self {
            slices: vec![Assignment::default(); count],
            range_starts: (0..count).map(first).collect(),
        }
    }

    /// Returns the slice that `key` falls in, or `None` where the service has no slices.
    pub fn slice_of(&self, key: KeyHash) -> Option<SliceId> {
        let count = u64::try_from(self.slices.len()).ok().filter(|&n| n > 0)?;
        if self.range_starts.is_empty() {
            return Some(SliceId(key.0 % count));
        }
        let key = u16::try_from(key.0).ok()?;
        let place = self
            .range_starts
            .partition_point(|&f| f <= key)
            .checked_sub(1)?;
        Some(self.slice_id_at(place))
    }

    /// Returns the slice at a place in the order; a range goes by its first key, which stays when
    /// it is split.
    pub fn slice_id_at(&self, place: usize) -> SliceId {
        let plain = u64::try_from(place).unwrap_or(u64::MAX);
        SliceId(
            self.range_starts
                .get(place)
                .map_or(plain, |&f| u64::from(f)),
        )
    }

    /// Returns the place of a slice in the order.
    pub fn index_of(&self, slice: SliceId) -> Option<usize> {
        if self.range_starts.is_empty() {
            return Some(slice.index()).filter(|&i| i < self.slices.len());
        }
        let first = u16::try_from(slice.0).ok()?;
        self.range_starts.binary_search(&first).ok()
    }

    /// Returns the first and last key of the range at a place in the order.
    pub fn key_range_at(&self, place: usize) -> Option<(u16, u16)> {
        let first = *self.range_starts.get(place)?;
        let last = self
            .range_starts
            .get(place + 1)
            .map_or(u16::MAX, |&next| next - 1);
        Some((first, last))
    }

    /// Returns the assignment of `slice`.
    pub fn assignment(&self, slice: SliceId) -> Option<&Assignment> {
        self.slices.get(self.index_of(slice)?)
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
            let placed = service.slices.iter().enumerate();
            placed.map(move |(place, a)| (name, service.slice_id_at(place), a))
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
