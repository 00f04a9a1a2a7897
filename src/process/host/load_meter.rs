//! How busy each range of keys keeps the upstream, smoothed over the latest reports.
//!
//! What was measured of keys goes to their next holder with them, so that it need not be measured
//! anew there.

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

/// The weight of the newest span in the smoothed rates.
const NEWEST_WEIGHT: f64 = 0.3;
/// The rate below which a key is forgotten, in orders a second.
const RATE_MIN: f64 = 0.05;
/// The most ranges in a report.
const RANGES_MAX: usize = 64;
/// How busy each part of a range shall keep the upstream where it is offered to be cut, in per
/// mille of its slots.
const SPLIT_PART_UTILIZATION: u32 = 100;
/// Into how many parts of the same load a range is offered to be cut at the least.
const SPLIT_PARTS_MIN: usize = 4;
/// Into how many at the most.
const SPLIT_PARTS_MAX: usize = 16;

/// The orders a second of each key.
#[derive(Debug, Default)]
pub struct LoadMeter {
    rates: BTreeMap<u16, f64>,
    /// The weight that all spans so far have in the rates; it nears one.
    weight: f64,
    epoch: Epoch,
}

impl LoadMeter {
    /// Takes in the orders that came in a span of time, by key.
    pub fn record(&mut self, orders: BTreeMap<u16, u32>, period: Duration) {
        for rate in self.rates.values_mut() {
            *rate *= 1.0 - NEWEST_WEIGHT;
        }
        self.weight = self.weight * (1.0 - NEWEST_WEIGHT) + NEWEST_WEIGHT;
        for (key, count) in orders {
            let rate = f64::from(count) / period.as_secs_f64();
            *self.rates.entry(key).or_default() += rate * NEWEST_WEIGHT;
        }
        self.rates.retain(|_, rate| *rate >= RATE_MIN);
    }

    /// Takes out what was measured of keys that go to another holder.
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

    /// Takes in what the former holder of keys measured.
    pub fn merge_rates(&mut self, rates: &[KeyRate]) {
        let weight = self.weight.max(NEWEST_WEIGHT);
        for key_rate in rates {
            let rate = self.rates.entry(key_rate.key.0).or_default();
            *rate = rate.max(f64::from(key_rate.rate) * weight);
        }
    }

    /// Returns the report of the session `me` on its ranges of a service; it counts for the table
    /// under which the whole latest span was measured.
    pub fn report(
        &mut self,
        table: &Table,
        service: &ServiceName,
        me: SessionId,
        load: &UpstreamLoad,
    ) -> LoadReport {
        let per_order = f64::from(load.mean_micros) / 1e6 / f64::from(load.slots.max(1)) * 1000.0
            / self.weight.max(NEWEST_WEIGHT);
        let mut ranges = Vec::new();
        if let Some(slices) = table.services.get(service) {
            for (place, assignment) in slices.slices.iter().enumerate() {
                let Some((low, high)) = slices.keys_at(place) else {
                    break;
                };
                if assignment.candidates.first() != Some(&me) {
                    continue;
                }
                let rate: f64 = self.rates.range(low..=high).map(|(_, r)| r).sum();
                let busy = (rate * per_order) as u32;
                if busy > 0 {
                    ranges.push(RangeLoad {
                        slice: slices.slice_at(place),
                        utilization: busy,
                        split_keys: self.split_keys(low, high, rate, busy),
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
            utilization: (total * per_order) as u32,
            capacity: 1000,
        }
    }

    /// Returns the keys at which a range falls into parts of about the same load.
    fn split_keys(&self, low: u16, high: u16, total: f64, busy: u32) -> Vec<u16> {
        let parts = usize::try_from(busy / SPLIT_PART_UTILIZATION).unwrap_or(SPLIT_PARTS_MAX);
        let parts = parts.clamp(SPLIT_PARTS_MIN, SPLIT_PARTS_MAX);
        let mut split_keys = Vec::new();
        let mut sum = 0.0;
        for (&key, rate) in self.rates.range(low..=high) {
            let due = total * (split_keys.len() + 1) as f64 / parts as f64;
            // A key that carries a part of its own begins one, and ends it too.
            if sum >= due && split_keys.len() + 1 < parts && key > low {
                split_keys.push(key);
            }
            sum += rate;
        }
        split_keys
    }
}
