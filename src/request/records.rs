//! Idempotency records, which prevent a request from running twice.
//!
//! Each slice has its own records, which move with it in a planned handover. A slice's *horizon* is
//! the time before which its records may be incomplete: a request whose idempotency key is older
//! and has no record may have been run by a former owner.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::process::wall_time::WallTime;
use crate::request::fingerprint::Fingerprint;
use crate::request::idempotency_key::IdempotencyKey;
use crate::request::outcome::Outcome;
use crate::request::service_response::ServiceResponse;
use crate::version::service_name::ServiceName;
use crate::version::slice_id::SliceId;

/// How long a record is kept after its idempotency key was created.
pub const RECORD_RETENTION: Duration = Duration::from_secs(600);
/// The memory used by a record without its response body, in bytes.
const RECORD_OVERHEAD_BYTES: usize = 200;

/// The record of one operation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The fingerprint of the request that the idempotency key was used for.
    pub fingerprint: Fingerprint,
    /// The response, or `None` while the operation is running.
    pub response: Option<ServiceResponse>,
}

impl Record {
    fn bytes(&self) -> usize {
        RECORD_OVERHEAD_BYTES + self.response.as_ref().map_or(0, |r| r.body.0.len())
    }
}

/// The records of one slice.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SliceRecords {
    /// The time before which the records may be incomplete.
    pub horizon: WallTime,
    /// The records by idempotency key, the oldest key first.
    pub records: BTreeMap<IdempotencyKey, Record>,
}

/// Whether a request may run, according to the records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BeginResult {
    /// The request has not run before and is now recorded as running.
    Started,
    /// The request has run or may have run, with this response.
    Completed(ServiceResponse),
    /// The request is running.
    InProgress,
    /// The request may have run at a former owner whose records are lost.
    Lost,
    /// The idempotency key was used for a different request.
    KeyReused,
    /// The daemon does not serve the slice.
    NotServed,
}

/// The records of all slices that a daemon serves.
#[derive(Debug)]
pub struct Records {
    slices: BTreeMap<(ServiceName, SliceId), SliceRecords>,
    bytes: usize,
    bytes_max: usize,
}

impl Records {
    /// Creates an empty set of records that uses at most `bytes_max` bytes.
    pub fn new(bytes_max: usize) -> Self {
        Self {
            slices: BTreeMap::new(),
            bytes: 0,
            bytes_max,
        }
    }

    /// Returns whether this set contains the records of a slice.
    pub fn has_slice(&self, service: &ServiceName, slice: SliceId) -> bool {
        self.slices.contains_key(&(service.clone(), slice))
    }

    /// Returns the slices whose records this set contains.
    pub fn slices(&self) -> Vec<(ServiceName, SliceId)> {
        self.slices.keys().cloned().collect()
    }

    /// Returns whether a request of the slice is recorded as running.
    pub fn has_running(&self, service: &ServiceName, slice: SliceId) -> bool {
        let records = self.slices.get(&(service.clone(), slice));
        records.is_some_and(SliceRecords::has_running)
    }

    /// Returns the memory that the records use, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Inserts a slice with its records: those of its former owner, or no records and a horizon.
    pub fn insert_slice(&mut self, service: &ServiceName, slice: SliceId, records: SliceRecords) {
        self.remove_slice(service, slice);
        self.bytes += records.records.values().map(Record::bytes).sum::<usize>();
        self.slices.insert((service.clone(), slice), records);
        self.evict_over_limit();
    }

    /// Removes a slice and returns its records.
    pub fn remove_slice(&mut self, service: &ServiceName, slice: SliceId) -> Option<SliceRecords> {
        let records = self.slices.remove(&(service.clone(), slice))?;
        self.bytes -= records.records.values().map(Record::bytes).sum::<usize>();
        Some(records)
    }

    /// Removes all slices.
    pub fn clear(&mut self) {
        self.slices.clear();
        self.bytes = 0;
    }

    /// Checks whether a non-idempotent request may run, and records it as running if so.
    ///
    /// `first_attempt` states that there was no earlier attempt of the operation, so that no former
    /// owner can have run it.
    pub fn begin(
        &mut self,
        service: &ServiceName,
        slice: SliceId,
        idempotency_key: IdempotencyKey,
        fingerprint: Fingerprint,
        first_attempt: bool,
    ) -> BeginResult {
        let Some(records) = self.slices.get_mut(&(service.clone(), slice)) else {
            return BeginResult::NotServed;
        };
        if let Some(record) = records.records.get(&idempotency_key) {
            if record.fingerprint != fingerprint {
                return BeginResult::KeyReused;
            }
            return record
                .response
                .clone()
                .map_or(BeginResult::InProgress, BeginResult::Completed);
        }
        if idempotency_key.created_at() < records.horizon && !first_attempt {
            return BeginResult::Lost;
        }
        let record = Record {
            fingerprint,
            response: None,
        };
        self.bytes += record.bytes();
        records.records.insert(idempotency_key, record);
        self.evict_over_limit();
        BeginResult::Started
    }

    /// Records the response to a running request, or removes its record if it did not run.
    pub fn finish(
        &mut self,
        service: &ServiceName,
        slice: SliceId,
        idempotency_key: IdempotencyKey,
        response: &ServiceResponse,
    ) {
        let Some(records) = self.slices.get_mut(&(service.clone(), slice)) else {
            return;
        };
        let Some(record) = records.records.get_mut(&idempotency_key) else {
            return;
        };
        self.bytes -= record.bytes();
        if response.outcome == Outcome::NotRun {
            records.records.remove(&idempotency_key);
            return;
        }
        record.response = Some(response.clone());
        self.bytes += record.bytes();
        self.evict_over_limit();
    }

    /// Removes the records whose retention has passed.
    pub fn expire(&mut self, now: WallTime) {
        let oldest = now.saturating_sub(RECORD_RETENTION);
        for records in self.slices.values_mut() {
            while let Some(bytes) = records.remove_oldest_completed(|key| key.created_at() < oldest)
            {
                self.bytes -= bytes;
            }
        }
    }

    /// Removes the records with the oldest keys until the rest fits into `bytes_max`.
    fn evict_over_limit(&mut self) {
        while self.bytes > self.bytes_max {
            let oldest_key = |r: &SliceRecords| r.records.keys().next().copied();
            let nonempty = self.slices.values_mut().filter(|r| oldest_key(r).is_some());
            let Some(records) = nonempty.min_by_key(|r| oldest_key(r)) else {
                return;
            };
            let Some(bytes) = records.remove_oldest_completed(|_| true) else {
                return;
            };
            self.bytes -= bytes;
        }
    }
}

impl SliceRecords {
    /// Returns whether a request is recorded as running.
    fn has_running(&self) -> bool {
        self.records.values().any(|r| r.response.is_none())
    }

    /// Removes the completed record with the oldest key if `may_remove` returns true for the key;
    /// returns the size of the record.
    ///
    /// Records of running requests stay, because their responses are still to be recorded.
    fn remove_oldest_completed(
        &mut self,
        may_remove: impl Fn(IdempotencyKey) -> bool,
    ) -> Option<usize> {
        let mut completed = self.records.iter().filter(|(_, r)| r.response.is_some());
        let key = completed
            .next()
            .map(|(&key, _)| key)
            .filter(|&key| may_remove(key))?;
        let horizon = WallTime(key.created_at().0 + 1);
        self.horizon = self.horizon.max(horizon);
        self.records.remove(&key).map(|r| r.bytes())
    }
}
