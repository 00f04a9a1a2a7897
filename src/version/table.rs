//! The assignment table, which all daemons of a cell share.

use std::collections::BTreeMap;
use std::iter;
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
use crate::version::table_error::TableError;

/// The number of shard keys of a sharded service; a `usize` for arithmetic with slice indices.
const KEY_COUNT: usize = 65_536;
/// The maximum number of slices of a service.
const SLICES_MAX: usize = 65_536;
/// The maximum number of slices of a table and sessions in their assignments, together. Runs are
/// encoded once, so a few bytes could otherwise fill the memory of the daemon that decodes them.
const TABLE_ENTRIES_MAX: usize = 8 * 1024 * 1024;

/// The slices of one service.
///
/// Encoded as runs of equal assignments, because adjacent slices mostly have the same assignment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "EncodedSlices", into = "EncodedSlices")]
pub struct ServiceSlices {
    /// The assignment of each slice, in slice order.
    pub slices: Vec<Assignment>,
    /// The first key of each slice if the slices are ranges of keys; empty if keys are hashed.
    pub range_starts: Vec<u16>,
}

/// The run-length encoded form of [`ServiceSlices`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct EncodedSlices {
    runs: Vec<(u32, Assignment)>,
    range_starts: Vec<u16>,
}

impl EncodedSlices {
    /// Returns the number of slices and of sessions in their assignments.
    fn entry_count(&self) -> usize {
        let entries = self.runs.iter().map(|(length, assignment)| {
            let former = assignment.former_candidates.values();
            let former = former.map(|f| 1 + f.predecessors.len()).sum::<usize>();
            let length = usize::try_from(*length).unwrap_or(usize::MAX);
            length.saturating_mul(1 + assignment.candidates.len() + former)
        });
        entries.fold(0, usize::saturating_add)
    }
}

/// Checks that services that belong to one table are not too large together.
///
/// # Errors
///
/// Returns an error if they have more than [`TABLE_ENTRIES_MAX`] slices and sessions.
pub(super) fn check_size<'s>(
    services: impl IntoIterator<Item = &'s EncodedSlices>,
) -> Result<(), &'static str> {
    let counts = services.into_iter().map(EncodedSlices::entry_count);
    match counts.fold(0, usize::saturating_add) > TABLE_ENTRIES_MAX {
        true => Err("the table is too large"),
        false => Ok(()),
    }
}

impl TryFrom<EncodedSlices> for ServiceSlices {
    type Error = &'static str;

    fn try_from(encoded: EncodedSlices) -> Result<Self, Self::Error> {
        check_size(iter::once(&encoded))?;
        let mut slices = Vec::new();
        for (length, assignment) in encoded.runs {
            let length = usize::try_from(length).unwrap_or(usize::MAX);
            if length > SLICES_MAX - slices.len() {
                return Err("too many slices");
            }
            slices.extend(iter::repeat_n(assignment, length));
        }
        let range_starts = encoded.range_starts;
        let is_ascending = range_starts.first().is_none_or(|&start| start == 0)
            && range_starts.is_sorted_by(|a, b| a < b);
        if !range_starts.is_empty() && (range_starts.len() != slices.len() || !is_ascending) {
            return Err("the key ranges do not match the slices");
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
    /// Returns `count` key ranges of equal width, without candidates; `count` is clamped to the
    /// range 1 to 4096.
    pub fn ranged(count: u32) -> Self {
        let count = usize::try_from(count.clamp(1, 4096)).unwrap_or(1);
        let range_start = |n: usize| u16::try_from(n * KEY_COUNT / count).unwrap_or(u16::MAX);
        Self {
            slices: vec![Assignment::default(); count],
            range_starts: (0..count).map(range_start).collect(),
        }
    }

    /// Returns the slice that contains `key`, or `None` if the service has no slices.
    pub fn slice_of(&self, key: KeyHash) -> Option<SliceId> {
        let count = u64::try_from(self.slices.len()).ok().filter(|&n| n > 0)?;
        if self.range_starts.is_empty() {
            return Some(SliceId(key.0 % count));
        }
        // Shard keys are not hashed.
        let key = u16::try_from(key.0).ok()?;
        let index = self
            .range_starts
            .partition_point(|&start| start <= key)
            .checked_sub(1)?;
        Some(self.slice_id_at(index))
    }

    /// Returns the id of the slice at `index`. The id of a key range is its first key, which stays
    /// the same when the range is split.
    pub fn slice_id_at(&self, index: usize) -> SliceId {
        let number = u64::try_from(index).unwrap_or(u64::MAX);
        SliceId(
            self.range_starts
                .get(index)
                .map_or(number, |&start| u64::from(start)),
        )
    }

    /// Returns the index of a slice.
    pub fn index_of(&self, slice: SliceId) -> Option<usize> {
        if self.range_starts.is_empty() {
            return Some(slice.index()).filter(|&i| i < self.slices.len());
        }
        let first = u16::try_from(slice.0).ok()?;
        self.range_starts.binary_search(&first).ok()
    }

    /// Returns the first and last key of the range at `index`.
    pub fn key_range_at(&self, index: usize) -> Option<(u16, u16)> {
        let first = *self.range_starts.get(index)?;
        let last = self
            .range_starts
            .get(index + 1)
            .map_or(u16::MAX, |&next| next - 1);
        Some((first, last))
    }

    /// Returns the assignment of `slice`.
    pub fn assignment(&self, slice: SliceId) -> Option<&Assignment> {
        self.slices.get(self.index_of(slice)?)
    }
}

/// The assignment table, stored as one value on the platform and changed by compare-and-swap only.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "EncodedTable")]
pub struct Table {
    /// The version of this table.
    pub epoch: Epoch,
    /// The lowest document version that a daemon may use with this table.
    pub document: DocumentVersion,
    /// The daemon process that wrote this table.
    pub planner: InstanceId,
    /// All sessions that are not known to have ended.
    pub members: BTreeMap<SessionId, Member>,
    /// The slices of each service.
    pub services: BTreeMap<ServiceName, ServiceSlices>,
}

/// A table whose services are not expanded yet.
#[derive(Deserialize)]
struct EncodedTable {
    epoch: Epoch,
    document: DocumentVersion,
    planner: InstanceId,
    members: BTreeMap<SessionId, Member>,
    services: BTreeMap<ServiceName, EncodedSlices>,
}

impl TryFrom<EncodedTable> for Table {
    type Error = &'static str;

    fn try_from(encoded: EncodedTable) -> Result<Self, Self::Error> {
        check_size(encoded.services.values())?;
        let services = encoded.services.into_iter();
        let services = services.map(|(name, slices)| Ok((name, slices.try_into()?)));
        Ok(Self {
            epoch: encoded.epoch,
            document: encoded.document,
            planner: encoded.planner,
            members: encoded.members,
            services: services.collect::<Result<_, Self::Error>>()?,
        })
    }
}

impl Table {
    /// Decodes a table and checks it.
    ///
    /// # Errors
    ///
    /// Returns an error if `bytes` is not an encoded table, or a check fails.
    pub fn decode(bytes: &[u8]) -> Result<Self, TableError> {
        let table: Self = postcard::from_bytes(bytes)?;
        table.check()?;
        Ok(table)
    }

    /// Checks that the table can be followed by further ones, and that each slice can be served under
    /// it.
    ///
    /// # Errors
    ///
    /// Returns an error if its epoch is above [`Epoch::LAST`], or below one that assigned a slice.
    pub fn check(&self) -> Result<(), TableError> {
        if self.epoch > Epoch::LAST {
            return Err(TableError::EpochTooLarge(self.epoch));
        }
        let newest = self.assignments().map(|(_, _, a)| a.since).max();
        match newest.filter(|&since| since > self.epoch) {
            Some(since) => Err(TableError::AssignedLater(since)),
            None => Ok(()),
        }
    }

    /// Returns the assignment of a slice.
    pub fn assignment(&self, service: &ServiceName, slice: SliceId) -> Option<&Assignment> {
        self.services.get(service)?.assignment(slice)
    }

    /// Returns all slices with their assignments.
    pub fn assignments(&self) -> impl Iterator<Item = (&ServiceName, SliceId, &Assignment)> {
        self.services.iter().flat_map(|(name, service)| {
            let indexed = service.slices.iter().enumerate();
            indexed.map(move |(index, a)| (name, service.slice_id_at(index), a))
        })
    }

    /// Returns the address of the daemon of `session` for datagrams and connections.
    pub fn peer(&self, session: SessionId) -> Option<SocketAddr> {
        self.members.get(&session).map(|m| m.info.peer)
    }

    /// Returns whether a session of the process `instance` is a member.
    pub fn has_instance(&self, instance: InstanceId) -> bool {
        let first = SessionId {
            instance,
            tenure: 0,
        };
        let mut from = self.members.range(first..);
        from.next().is_some_and(|(s, _)| s.instance == instance)
    }

    /// Returns the member of the newest session of the process `instance`.
    pub fn member_of(&self, instance: InstanceId) -> Option<&Member> {
        let sessions = self.members.iter().rev();
        sessions
            .map(|(_, m)| m)
            .find(|m| m.info.session.instance == instance)
    }
}
