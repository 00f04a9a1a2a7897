//! The records that keep a request from being run twice.
//!
//! Each slice has its own records, which move with it at a planned handover. A slice's *horizon*
//! is the time before which the records may have gaps: an idempotency key minted earlier and not
//! recorded may have been run by a former owner.

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

/// How long a record is kept.
pub const RECORD_RETENTION: Duration = Duration::from_secs(600);
/// What a record takes in memory besides its answer's body, in bytes.
const RECORD_BYTES: usize = 200;

/// What is known of one piece of work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The request that the idempotency key was used for.
    pub fingerprint: Fingerprint,
    /// The answer, or `None` while the work is running.
    pub answer: Option<ServiceResponse>,
}

impl Record {
    fn bytes(&self) -> usize {
        RECORD_BYTES + self.answer.as_ref().map_or(0, |a| a.body.0.len())
    }
}

/// The records of one slice.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SliceRecords {
    /// The time before which the records may have gaps.
    pub horizon: WallTime,
    /// The records by idempotency key, the earliest minted first.
    pub records: BTreeMap<IdempotencyKey, Record>,
}

/// What the records say of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BeginResult {
    /// The request was not run before, and is now recorded as running.
    Started,
    /// The request has run or may have run; this is its answer.
    Completed(ServiceResponse),
    /// The request is running.
    InProgress,
    /// The request may have run under a former owner whose records are lost.
    Lost,
    /// The idempotency key was used for another request.
    KeyReused,
    /// The slice is not served here.
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
    /// Creates an empty store that holds `bytes_max` bytes at the most.
    pub fn new(bytes_max: usize) -> Self {
        Self {
            slices: BTreeMap::new(),
            bytes: 0,
            bytes_max,
        }
    }

    /// Returns whether the records of a slice are kept here.
    pub fn has_slice(&self, service: &ServiceName, slice: SliceId) -> bool {
        self.slices.contains_key(&(service.clone(), slice))
    }

    /// Returns the slices whose records are kept here.
    pub fn slices(&self) -> Vec<(ServiceName, SliceId)> {
        self.slices.keys().cloned().collect()
    }

    /// Returns the memory that the records take, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Takes up a slice with what was handed over, or with nothing before `horizon`.
    pub fn insert_slice(&mut self, service: &ServiceName, slice: SliceId, records: SliceRecords) {
        self.remove_slice(service, slice);
        self.bytes += records.records.values().map(Record::bytes).sum::<usize>();
        self.slices.insert((service.clone(), slice), records);
        self.keep_within_bound();
    }

    /// Gives up a slice and returns its records.
    pub fn remove_slice(&mut self, service: &ServiceName, slice: SliceId) -> Option<SliceRecords> {
        let records = self.slices.remove(&(service.clone(), slice))?;
        self.bytes -= records.records.values().map(Record::bytes).sum::<usize>();
        Some(records)
    }

    /// Gives up all slices.
    pub fn clear(&mut self) {
        self.slices.clear();
        self.bytes = 0;
    }

    /// Decides on a request that may not be repeated.
    ///
    /// `fresh` tells that no other attempt at the work exists or did, so that no former owner can
    /// have run it.
    pub fn begin(
        &mut self,
        service: &ServiceName,
        slice: SliceId,
        id: IdempotencyKey,
        fingerprint: Fingerprint,
        fresh: bool,
    ) -> BeginResult {
        let Some(records) = self.slices.get_mut(&(service.clone(), slice)) else {
            return BeginResult::NotServed;
        };
        if let Some(record) = records.records.get(&id) {
            if record.fingerprint != fingerprint {
                return BeginResult::KeyReused;
            }
            return record
                .answer
                .clone()
                .map_or(BeginResult::InProgress, BeginResult::Completed);
        }
        if id.created_at() < records.horizon && !fresh {
            return BeginResult::Lost;
        }
        let record = Record {
            fingerprint,
            answer: None,
        };
        self.bytes += record.bytes();
        records.records.insert(id, record);
        self.keep_within_bound();
        BeginResult::Started
    }

    /// Records the answer to a request that was running; one that was not run leaves no record.
    pub fn finish(
        &mut self,
        service: &ServiceName,
        slice: SliceId,
        id: IdempotencyKey,
        answer: &ServiceResponse,
    ) {
        let Some(records) = self.slices.get_mut(&(service.clone(), slice)) else {
            return;
        };
        let Some(record) = records.records.get_mut(&id) else {
            return;
        };
        self.bytes -= record.bytes();
        if answer.outcome == Outcome::NotRun {
            records.records.remove(&id);
            return;
        }
        record.answer = Some(answer.clone());
        self.bytes += record.bytes();
        self.keep_within_bound();
    }

    /// Forgets what was minted longer ago than records are kept.
    pub fn expire(&mut self, now: WallTime) {
        let oldest = now.saturating_sub(RECORD_RETENTION);
        for records in self.slices.values_mut() {
            while let Some(bytes) = records.forget_first(|id| id.created_at() < oldest) {
                self.bytes -= bytes;
            }
        }
    }

    /// Forgets the earliest minted records until the rest fits.
    fn keep_within_bound(&mut self) {
        while self.bytes > self.bytes_max {
            let first = |r: &SliceRecords| r.records.keys().next().copied();
            let earliest = self.slices.values_mut().filter(|r| first(r).is_some());
            let Some(records) = earliest.min_by_key(|r| first(r)) else {
                return;
            };
            let Some(bytes) = records.forget_first(|_| true) else {
                return;
            };
            self.bytes -= bytes;
        }
    }
}

impl SliceRecords {
    /// Forgets the earliest minted answered record where `old` holds; returns its size.
    ///
    /// A running record stays, since its answer is still to come.
    fn forget_first(&mut self, old: impl Fn(IdempotencyKey) -> bool) -> Option<usize> {
        let mut answered = self.records.iter().filter(|(_, r)| r.answer.is_some());
        let id = answered.next().map(|(&id, _)| id).filter(|&id| old(id))?;
        let after = WallTime(id.created_at().0 + 1);
        self.horizon = self.horizon.max(after);
        self.records.remove(&id).map(|r| r.bytes())
    }
}
