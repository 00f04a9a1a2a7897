//! The difference between two assignment tables, so that a change of a large table costs little to
//! send.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3;

use crate::version::assignment::Assignment;
use crate::version::document_version::DocumentVersion;
use crate::version::epoch::Epoch;
use crate::version::instance_id::InstanceId;
use crate::version::member::Member;
use crate::version::service_name::ServiceName;
use crate::version::session_id::SessionId;
use crate::version::table::{self, EncodedSlices, ServiceSlices, Table};

/// A delta that can't be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum TableDeltaError {
    /// The delta is for a table of another epoch.
    #[error("the delta is for a table of epoch {0}")]
    OtherBase(Epoch),
    /// The result is not the table that the sender has.
    #[error("the result differs from the sender's table of epoch {0}")]
    Mismatch(Epoch),
    /// The slices of a service are invalid.
    #[error("invalid slices: {0}")]
    InvalidSlices(&'static str),
}

/// What changes a service's slices.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum SlicesDelta {
    /// All slices are replaced.
    Whole(EncodedSlices),
    /// Some key ranges are removed, and some are added or assigned anew.
    Ranges {
        removed: BTreeSet<u16>,
        changed: BTreeMap<u16, Assignment>,
    },
}

impl SlicesDelta {
    /// Returns the slices that replace all slices of the service, if they do.
    fn whole(&self) -> Option<&EncodedSlices> {
        match self {
            SlicesDelta::Whole(slices) => Some(slices),
            SlicesDelta::Ranges { .. } => None,
        }
    }
}

/// What changes the table of one epoch to that of a later one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableDelta {
    base: Epoch,
    epoch: Epoch,
    document: DocumentVersion,
    planner: InstanceId,
    removed_members: BTreeSet<SessionId>,
    changed_members: BTreeMap<SessionId, Member>,
    removed_services: BTreeSet<ServiceName>,
    changed_services: BTreeMap<ServiceName, SlicesDelta>,
    /// The digest of the resulting table.
    digest: u64,
}

impl TableDelta {
    /// Returns what changes `base` to `table`.
    pub fn between(base: &Table, table: &Table) -> Self {
        let changed_services = table.services.iter().filter_map(|(name, slices)| {
            let delta = slices_delta(base.services.get(name), slices)?;
            Some((name.clone(), delta))
        });
        Self {
            base: base.epoch,
            epoch: table.epoch,
            document: table.document,
            planner: table.planner,
            removed_members: removed_keys(&base.members, &table.members),
            changed_members: changed_entries(&base.members, &table.members),
            removed_services: removed_keys(&base.services, &table.services),
            changed_services: changed_services.collect(),
            digest: digest(table),
        }
    }

    /// Returns the epoch of the table that the delta changes.
    pub fn base(&self) -> Epoch {
        self.base
    }

    /// Returns the table that results from `base`.
    ///
    /// # Errors
    ///
    /// Returns an error if `base` is not the table that the delta changes, or the delta is invalid.
    pub fn apply(self, base: &Table) -> Result<Table, TableDeltaError> {
        if base.epoch != self.base {
            return Err(TableDeltaError::OtherBase(self.base));
        }
        let replaced = self
            .changed_services
            .values()
            .filter_map(SlicesDelta::whole);
        table::check_size(replaced).map_err(TableDeltaError::InvalidSlices)?;
        let mut table = base.clone();
        table.epoch = self.epoch;
        table.document = self.document;
        table.planner = self.planner;
        table
            .members
            .retain(|s, _| !self.removed_members.contains(s));
        table.members.extend(self.changed_members);
        table
            .services
            .retain(|name, _| !self.removed_services.contains(name));
        for (name, delta) in self.changed_services {
            let slices = table.services.entry(name).or_default();
            apply_slices_delta(slices, delta).map_err(TableDeltaError::InvalidSlices)?;
        }
        match digest(&table) == self.digest {
            true => Ok(table),
            false => Err(TableDeltaError::Mismatch(self.epoch)),
        }
    }
}

/// Returns what changes the slices `base` to `slices`, or `None` if they are equal.
fn slices_delta(base: Option<&ServiceSlices>, slices: &ServiceSlices) -> Option<SlicesDelta> {
    let base = match base {
        Some(base) if base == slices => return None,
        Some(base) if !base.range_starts.is_empty() && !slices.range_starts.is_empty() => base,
        _ => return Some(SlicesDelta::Whole(slices.clone().into())),
    };
    let (before, after) = (by_start(base), by_start(slices));
    let removed = before.keys().filter(|s| !after.contains_key(*s));
    let changed = after.iter().filter(|(s, a)| before.get(*s) != Some(*a));
    Some(SlicesDelta::Ranges {
        removed: removed.copied().collect(),
        changed: changed.map(|(&s, &a)| (s, a.clone())).collect(),
    })
}

/// Changes `slices` by `delta`; returns an error if the new slices are invalid.
fn apply_slices_delta(slices: &mut ServiceSlices, delta: SlicesDelta) -> Result<(), &'static str> {
    let (removed, changed) = match delta {
        SlicesDelta::Whole(whole) => {
            *slices = whole.try_into()?;
            return Ok(());
        }
        SlicesDelta::Ranges { removed, changed } => (removed, changed),
    };
    let starts = std::mem::take(&mut slices.range_starts).into_iter();
    let mut ranges: BTreeMap<u16, Assignment> =
        starts.zip(std::mem::take(&mut slices.slices)).collect();
    ranges.retain(|start, _| !removed.contains(start));
    ranges.extend(changed);
    (slices.range_starts, slices.slices) = ranges.into_iter().unzip();
    Ok(())
}

/// Returns the assignments of key ranges by their first keys.
fn by_start(slices: &ServiceSlices) -> BTreeMap<u16, &Assignment> {
    let starts = slices.range_starts.iter().copied();
    starts.zip(&slices.slices).collect()
}

/// Returns the keys of `base` that `next` does not have.
fn removed_keys<K: Ord + Clone, V>(base: &BTreeMap<K, V>, next: &BTreeMap<K, V>) -> BTreeSet<K> {
    let keys = base.keys().filter(|k| !next.contains_key(*k));
    keys.cloned().collect()
}

/// Returns the entries of `next` that `base` does not have or has with another value.
fn changed_entries<K: Ord + Clone, V: PartialEq + Clone>(
    base: &BTreeMap<K, V>,
    next: &BTreeMap<K, V>,
) -> BTreeMap<K, V> {
    let changed = next.iter().filter(|(k, v)| base.get(*k) != Some(*v));
    changed.map(|(k, v)| (k.clone(), v.clone())).collect()
}

/// Returns a digest of all contents of a table.
fn digest(table: &Table) -> u64 {
    // A table that was decoded or planned can always be encoded; a failure would only make the
    // receiver fetch the whole table.
    let bytes = postcard::to_stdvec(table).unwrap_or_default();
    xxh3::xxh3_64(&bytes)
}
