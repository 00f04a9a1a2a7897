//! Measures the load that each key range puts on the upstream, smoothed over the latest periods.
//!
//! The measured rates of keys that move are sent to their next owner, which then need not measure
//! them again.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::connection::peer_message::KeyRate;
use crate::connection::protocol::KeyRange;
use crate::process::load_report::{LoadReport, RangeLoad};
use crate::request::shard_key::ShardKey;
use crate::request::upstream_load::UpstreamLoad;
use crate::version::epoch::Epoch;
use crate::version::service_name::ServiceName;
use crate::version::session_id::SessionId;
use crate::version::table::Table;

/// Weight of the newest period in the smoothed rates.
const NEWEST_WEIGHT: f64 = 0.3;
/// Rate below which a key is dropped, in requests per second.
const RATE_MIN: f64 = 0.05;
/// Largest rate of a key that is taken over from its former owner, in requests per second.
const RATE_MAX: f64 = 1e6;
/// Maximum number of ranges in a report.
const RANGES_MAX: usize = 64;
/// Target load of each part when a range is offered for splitting, in per mille of the upstream's
/// slots.
const SPLIT_PART_UTILIZATION: u32 = 100;
/// Minimum number of equally loaded parts that a range is offered to be split into.
const SPLIT_PARTS_MIN: usize = 4;
/// Maximum number of parts that a range is offered to be split into.
const SPLIT_PARTS_MAX: usize = 16;

/// Smoothed request rate of each key, in requests per second.
#[derive(Debug, Default)]
pub struct LoadMeter {
    rates: BTreeMap<u16, f64>,
    /// Total weight of all periods so far in the rates; approaches 1.
    weight: f64,
    epoch: Epoch,
}

impl LoadMeter {
    /// Records the number of requests for each key in a period.
    pub fn record(&mut self, requests: BTreeMap<u16, u32>, period: Duration) {
        for rate in self.rates.values_mut() {
            *rate *= 1.0 - NEWEST_WEIGHT;
        }
        self.weight = self.weight * (1.0 - NEWEST_WEIGHT) + NEWEST_WEIGHT;
        for (key, count) in requests {
            let rate = f64::from(count) / period.as_secs_f64();
            *self.rates.entry(key).or_default() += rate * NEWEST_WEIGHT;
        }
        self.rates.retain(|_, rate| *rate >= RATE_MIN);
    }

    /// Removes and returns the rates of keys that move to another owner.
    pub fn remove_rates(&mut self, keys: KeyRange) -> Vec<KeyRate> {
        let in_range = |key: &u16, _: &mut f64| (keys.first.0..=keys.last.0).contains(key);
        let weight = self.weight.max(NEWEST_WEIGHT);
        let removed = self.rates.extract_if(.., in_range);
        let removed = removed.map(|(key, rate)| KeyRate {
            key: ShardKey(key),
            rate: (rate / weight) as f32,
        });
        removed.collect()
    }

    /// Merges rates measured by the former owner of keys; leaves out those that are no numbers.
    pub fn merge_rates(&mut self, rates: &[KeyRate]) {
        let weight = self.weight.max(NEWEST_WEIGHT);
        for key_rate in rates.iter().filter(|r| r.rate.is_finite()) {
            let measured = f64::from(key_rate.rate).min(RATE_MAX);
            let rate = self.rates.entry(key_rate.key.0).or_default();
            *rate = rate.max(measured * weight);
        }
    }

    /// Returns the load of the ranges of `service` that the session `owner` owns. The report names
    /// the epoch of the table that was in force during the whole latest period.
    pub fn report(
        &mut self,
        table: &Table,
        service: &ServiceName,
        owner: SessionId,
        load: &UpstreamLoad,
    ) -> LoadReport {
        let utilization_per_rate = f64::from(load.mean_micros) / 1e6 / f64::from(load.slots.max(1))
            * 1000.0
            / self.weight.max(NEWEST_WEIGHT);
        let mut ranges = Vec::new();
        if let Some(slices) = table.services.get(service) {
            for (index, assignment) in slices.slices.iter().enumerate() {
                let Some((low, high)) = slices.key_range_at(index) else {
                    break;
                };
                if assignment.candidates.first() != Some(&owner) {
                    continue;
                }
                let rate: f64 = self.rates.range(low..=high).map(|(_, r)| r).sum();
                let utilization = (rate * utilization_per_rate) as u32;
                if utilization > 0 {
                    ranges.push(RangeLoad {
                        slice: slices.slice_id_at(index),
                        utilization,
                        split_keys: self.split_keys(low, high, rate, utilization),
                    });
                }
            }
        }
        ranges.sort_by_key(|r| std::cmp::Reverse(r.utilization));
        ranges.truncate(RANGES_MAX);
        let total: f64 = self.rates.values().sum();
        LoadReport {
            session: None,
            epoch: std::mem::replace(&mut self.epoch, table.epoch),
            slices: Vec::new(),
            ranges,
            rate: total as u32,
            utilization: (total * utilization_per_rate) as u32,
            capacity: 1000,
        }
    }

    /// Returns the keys at which to split a range into parts of about equal load.
    fn split_keys(&self, low: u16, high: u16, total: f64, utilization: u32) -> Vec<u16> {
        let parts =
            usize::try_from(utilization / SPLIT_PART_UTILIZATION).unwrap_or(SPLIT_PARTS_MAX);
        let parts = parts.clamp(SPLIT_PARTS_MIN, SPLIT_PARTS_MAX);
        let mut split_keys = Vec::new();
        let mut sum = 0.0;
        for (&key, rate) in self.rates.range(low..=high) {
            let threshold = total * (split_keys.len() + 1) as f64 / parts as f64;
            // A key whose load fills a part alone gets a part of its own.
            if sum >= threshold && split_keys.len() + 1 < parts && key > low {
                split_keys.push(key);
            }
            sum += rate;
        }
        split_keys
    }
}
