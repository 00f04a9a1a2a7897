//! Plans slices that are key ranges: adjacent ranges have the same owner, busy ranges are split
//! into parts of about equal load, and parts move from busy upstreams to idle ones.

use std::collections::{BTreeMap, BTreeSet};

use crate::process::load_report::RangeLoad;
use crate::process::planner::PlanInput;
use crate::process::planner::slices::{candidates, ranked, slice_item, successor_assignment};
use crate::version::epoch::Epoch;
use crate::version::member::Member;
use crate::version::service_name::ServiceName;
use crate::version::session_id::SessionId;
use crate::version::slice_id::SliceId;
use crate::version::table::ServiceSlices;

/// The number of equal parts of the key space; ranges that start in the same part share their
/// candidate ranking.
const CANDIDATE_GROUPS: usize = 24;
/// The number of shard keys of a sharded service; a `usize` for arithmetic with indices.
const KEY_COUNT: usize = 65_536;
/// The maximum number of ranges of a service.
const RANGES_MAX: usize = 768;
/// The load above which a range is split, in per mille of an upstream's slots.
const SPLIT_LOAD: u32 = 120;
/// The largest load of a range that counts, in per mille of an upstream's slots. It bounds the sums
/// over all ranges, whatever the daemons report.
const RANGE_LOAD_MAX: u32 = 10_000;
/// The weight of a range's width in its cost; its measured load has the remaining weight.
const WIDTH_WEIGHT: f64 = 0.3;
/// The multiple of its fair share up to which an owner takes over adjacent ranges without an owner.
const TAKEOVER_LIMIT: f64 = 1.05;
/// The fraction of its fair share below which an owner gets more ranges.
const FILL_THRESHOLD: f64 = 0.5;
/// The fraction of its fair width below which an owner counts as new.
const NEW_OWNER_WIDTH: f64 = 0.25;
/// The least load of an upstream at which ranges move away, in per mille of its slots.
const MOVE_LOAD_MIN: u32 = 450;
/// The least excess of that load over the mean of all owners, in per mille: among many owners, some
/// always seem busy.
const MOVE_EXCESS_MIN: u32 = 200;
/// The least difference of that load from the idlest owner's, in per mille.
const MOVE_DIFFERENCE_MIN: u32 = 180;
/// The maximum load of a moved range, as a fraction of that difference.
const MOVE_FRACTION_MAX: f64 = 0.5;
/// The maximum number of ranges that move in one plan if there are few owners.
const MOVES_MAX: usize = 8;
/// The number of owners for each range that may move in one plan if there are many owners.
const OWNERS_PER_MOVE: usize = 3;
/// The number of ranges above which adjacent idle ones are merged.
const MERGE_THRESHOLD: usize = 512;
/// The maximum number of keys of a merged range.
const MERGED_KEYS_MAX: u16 = 1024;

type Owners<'m> = BTreeMap<SessionId, &'m Member>;

/// Returns the ranges of a service for the table of `epoch`.
pub fn plan(
    input: &PlanInput<'_>,
    epoch: Epoch,
    name: &ServiceName,
    present: ServiceSlices,
    owners: &Owners<'_>,
) -> ServiceSlices {
    let loads = newest_loads(input, owners);
    let (slices, loads) = split_busy_ranges(&loads, merge_idle_ranges(&loads, present));
    let mut range_owners = kept_owners(input, &slices, owners);
    if !owners.is_empty() {
        let mut shares = Shares::new(&slices, &loads, owners, &range_owners);
        reassign_to_successors(input, &slices, owners, &mut shares, &mut range_owners);
        assign_orphans(owners, &mut shares, &mut range_owners);
        fill_new_owners(owners, &mut shares, &mut range_owners);
        balance(input, &slices, &loads, owners, &mut range_owners);
    }
    let mut planned = slices.clone();
    // Adjacent ranges get the same candidates, so that the upstream sees them as one range.
    let rankings: Vec<Vec<SessionId>> = (0..CANDIDATE_GROUPS)
        .map(|group| ranked(slice_item(name, group), owners))
        .collect();
    for (index, assignment) in slices.slices.iter().enumerate() {
        let (low, _) = slices.key_range_at(index).unwrap_or_default();
        let ranking = &rankings[usize::from(low) * CANDIDATE_GROUPS / KEY_COUNT];
        let candidates = candidates(ranking, assignment, range_owners[index], owners);
        planned.slices[index] = successor_assignment(input, epoch, assignment, candidates);
    }
    planned
}

/// Returns the newest reported load of each range from the reports of `owners`.
fn newest_loads<'i>(
    input: &PlanInput<'i>,
    owners: &Owners<'_>,
) -> BTreeMap<SliceId, &'i RangeLoad> {
    let mut newest: BTreeMap<SliceId, (Epoch, &RangeLoad)> = BTreeMap::new();
    let reports = input
        .load_reports
        .iter()
        .filter(|(s, _)| owners.contains_key(s));
    for (_, report) in reports {
        for load in &report.ranges {
            let known = newest.get(&load.slice).map(|(epoch, _)| *epoch);
            if known.is_none_or(|epoch| epoch <= report.epoch) {
                newest.insert(load.slice, (report.epoch, load));
            }
        }
    }
    newest.into_iter().map(|(s, (_, load))| (s, load)).collect()
}

/// Merges adjacent ranges that have the same assignment and no reported load, if there are many
/// ranges. No fencing token changes, since both ranges have the same.
fn merge_idle_ranges(
    loads: &BTreeMap<SliceId, &RangeLoad>,
    present: ServiceSlices,
) -> ServiceSlices {
    if present.slices.len() <= MERGE_THRESHOLD || present.range_starts.is_empty() {
        return present;
    }
    let mut merged = ServiceSlices::default();
    let mut last_is_idle = false;
    for (index, assignment) in present.slices.iter().enumerate() {
        let (low, high) = present.key_range_at(index).unwrap_or_default();
        let idle = !loads.contains_key(&present.slice_id_at(index));
        let below_size_limit = merged
            .range_starts
            .last()
            .is_some_and(|&start| high - start < MERGED_KEYS_MAX);
        let same = merged.slices.last() == Some(assignment);
        if !(idle && last_is_idle && below_size_limit && same) {
            merged.range_starts.push(low);
            merged.slices.push(assignment.clone());
        }
        last_is_idle = idle;
    }
    merged
}

/// Splits busy ranges at their reported split keys; the parts keep the assignment of the whole.
/// Returns the ranges with the load of each, in per mille of an upstream's slots.
fn split_busy_ranges(
    loads: &BTreeMap<SliceId, &RangeLoad>,
    present: ServiceSlices,
) -> (ServiceSlices, Vec<u32>) {
    let mut split = ServiceSlices::default();
    let mut range_loads = Vec::new();
    let splits_max = RANGES_MAX.saturating_sub(present.slices.len());
    let mut splits = 0;
    for (index, assignment) in present.slices.iter().enumerate() {
        let Some((low, high)) = present.key_range_at(index) else {
            // The keys are hashed: there are no ranges to split.
            let no_loads = vec![0; present.slices.len()];
            return (present, no_loads);
        };
        let load = loads.get(&present.slice_id_at(index));
        let mut starts = vec![low];
        if let Some(load) = load.filter(|l| l.utilization > SPLIT_LOAD) {
            for &split_key in &load.split_keys {
                if starts.last().is_some_and(|&l| split_key > l)
                    && split_key <= high
                    && splits < splits_max
                {
                    starts.push(split_key);
                    splits += 1;
                }
            }
        }
        // The split keys divide the load about evenly.
        let parts = u32::try_from(starts.len()).unwrap_or(1);
        for start in starts {
            split.range_starts.push(start);
            split.slices.push(assignment.clone());
            range_loads.push(load.map_or(0, |l| l.utilization.min(RANGE_LOAD_MAX)) / parts);
        }
    }
    (split, range_loads)
}

/// Returns the present owner of each range, or `None` if it may not remain the owner.
fn kept_owners(
    input: &PlanInput<'_>,
    slices: &ServiceSlices,
    owners: &Owners<'_>,
) -> Vec<Option<SessionId>> {
    let kept = slices.slices.iter().map(|assignment| {
        let mut live = assignment
            .candidates
            .iter()
            .filter(|&&s| !input.has_ended(s));
        let present = live.next().copied();
        present.filter(|s| owners.contains_key(s))
    });
    kept.collect()
}

/// Assigns ranges whose owner has ended to the next daemon process with the same upstream, which
/// still has their state.
fn reassign_to_successors(
    input: &PlanInput<'_>,
    slices: &ServiceSlices,
    owners: &Owners<'_>,
    shares: &mut Shares,
    range_owners: &mut [Option<SessionId>],
) {
    for (index, assignment) in slices.slices.iter().enumerate() {
        if range_owners[index].is_some() {
            continue;
        }
        let former = assignment.candidates.first();
        let former = former.and_then(|s| input.table.members.get(s));
        let Some(upstream) = former.and_then(|m| m.info.upstream.as_ref()) else {
            continue;
        };
        let same_upstream = |m: &Member| m.info.upstream.as_ref() == Some(upstream);
        if let Some((&owner, _)) = owners.iter().find(|(_, m)| same_upstream(m)) {
            shares.assign(index, None, owner);
            range_owners[index] = Some(owner);
        }
    }
}

/// Assigns ranges without an owner to the owner of the preceding range while it has room, otherwise
/// to the owner with the least cost.
fn assign_orphans(
    owners: &Owners<'_>,
    shares: &mut Shares,
    range_owners: &mut [Option<SessionId>],
) {
    for index in 0..range_owners.len() {
        if range_owners[index].is_some() {
            continue;
        }
        let preceding = index.checked_sub(1).and_then(|p| range_owners[p]);
        let neighbour = preceding.filter(|&s| shares.has_room(s, index));
        let Some(owner) = neighbour.or_else(|| shares.least_loaded(owners)) else {
            return;
        };
        shares.assign(index, None, owner);
        range_owners[index] = Some(owner);
    }
}

/// Moves ranges from owners above their fair share to owners far below theirs.
fn fill_new_owners(
    owners: &Owners<'_>,
    shares: &mut Shares,
    range_owners: &mut [Option<SessionId>],
) {
    let empty: Vec<SessionId> = owners
        .keys()
        .copied()
        .filter(|&s| shares.is_nearly_empty(s))
        .collect();
    for owner in empty {
        // In the order of the keys, backwards, so that the moved ranges are adjacent.
        for index in (0..range_owners.len()).rev() {
            let Some(donor) = range_owners[index] else {
                continue;
            };
            let cost = shares.costs[index];
            let fits = shares.held(owner) + cost <= shares.fair;
            let donor_keeps_share = shares.held(donor) - cost >= shares.fair;
            if donor != owner && fits && donor_keeps_share {
                shares.assign(index, Some(donor), owner);
                range_owners[index] = Some(owner);
            }
        }
    }
}

/// Moves ranges from the busiest upstreams to the idlest.
fn balance(
    input: &PlanInput<'_>,
    slices: &ServiceSlices,
    loads: &[u32],
    owners: &Owners<'_>,
    range_owners: &mut [Option<SessionId>],
) {
    let mut load_by_owner = measured_loads(input, slices, loads, owners, range_owners);
    let total: u32 = load_by_owner.values().sum();
    let mean = total / u32::try_from(load_by_owner.len().max(1)).unwrap_or(u32::MAX);
    let mut immovable = releasing_sessions(input, slices);
    for _ in 0..MOVES_MAX.max(owners.len() / OWNERS_PER_MOVE) {
        let movable = load_by_owner.iter().filter(|(s, _)| !immovable.contains(s));
        let busiest = movable.max_by_key(|(_, load)| **load);
        let idlest = load_by_owner.iter().min_by_key(|(_, load)| **load);
        let (Some((&from, &high)), Some((&to, &low))) = (busiest, idlest) else {
            return;
        };
        let above_mean = high.saturating_sub(mean) >= MOVE_EXCESS_MIN;
        if high < MOVE_LOAD_MIN || !above_mean || high.saturating_sub(low) < MOVE_DIFFERENCE_MIN {
            return;
        }
        let bound = f64::from(high - low) * MOVE_FRACTION_MAX;
        let owned = (0..range_owners.len()).filter(|&i| range_owners[i] == Some(from));
        let fits = owned.filter(|&i| loads[i] > 0 && f64::from(loads[i]) <= bound);
        let Some(index) = fits.max_by_key(|&i| loads[i]) else {
            immovable.insert(from);
            continue;
        };
        let moved = loads[index];
        tracing::info!(
            event = "range-moves", slice = %slices.slice_id_at(index), busy = moved,
            %from, from_busy = high, %to, to_busy = low
        );
        range_owners[index] = Some(to);
        load_by_owner.insert(from, high.saturating_sub(moved));
        load_by_owner.insert(to, low + moved);
    }
}

/// Returns the sessions that have not yet released all ranges that they lost. No further ranges
/// leave them: their new owners could not serve these any sooner, and the load that the sessions
/// report still includes the ranges before.
fn releasing_sessions(input: &PlanInput<'_>, slices: &ServiceSlices) -> BTreeSet<SessionId> {
    let former = slices.slices.iter().flat_map(|a| &a.former_candidates);
    let unreleased = former.filter(|(s, former)| {
        !input.has_ended(**s) && input.facts.adopted(**s) < former.release_epoch
    });
    unreleased.map(|(&s, _)| s).collect()
}

/// Returns the load of each owner's ranges, in per mille of its upstream's slots; leaves out owners
/// without a report measured since their newest range was assigned.
fn measured_loads(
    input: &PlanInput<'_>,
    slices: &ServiceSlices,
    loads: &[u32],
    owners: &Owners<'_>,
    range_owners: &[Option<SessionId>],
) -> BTreeMap<SessionId, u32> {
    let mut load_by_owner: BTreeMap<SessionId, (Epoch, u32)> = BTreeMap::new();
    for (index, assignment) in slices.slices.iter().enumerate() {
        if let Some(owner) = range_owners[index] {
            let (newest_since, sum) = load_by_owner.entry(owner).or_default();
            *newest_since = assignment.since.max(*newest_since);
            *sum += loads[index];
        }
    }
    let known = owners.keys().filter_map(|&owner| {
        let report = input.load_reports.get(&owner)?;
        let (newest_since, sum) = load_by_owner.get(&owner).copied().unwrap_or_default();
        (report.epoch >= newest_since).then_some((owner, sum))
    });
    known.collect()
}

/// The cost of each range and the total cost that each owner holds; all costs add up to 1.
struct Shares {
    costs: Vec<f64>,
    held: BTreeMap<SessionId, f64>,
    /// The fraction of the key space that each owner held before the plan.
    widths: BTreeMap<SessionId, f64>,
    fair: f64,
}

impl Shares {
    fn new(
        slices: &ServiceSlices,
        loads: &[u32],
        owners: &Owners<'_>,
        range_owners: &[Option<SessionId>],
    ) -> Self {
        let total: u32 = loads.iter().sum();
        let width_weight = if total == 0 { 1.0 } else { WIDTH_WEIGHT };
        let width = |index: usize| {
            let (low, high) = slices.key_range_at(index).unwrap_or_default();
            (f64::from(high) - f64::from(low) + 1.0) / KEY_COUNT as f64
        };
        let cost = |index: usize| {
            let load = f64::from(loads[index]) / f64::from(total.max(1));
            width(index) * width_weight + load * (1.0 - width_weight)
        };
        let costs: Vec<f64> = (0..range_owners.len()).map(cost).collect();
        let mut held = BTreeMap::new();
        let mut widths = BTreeMap::new();
        for (index, owner) in range_owners.iter().enumerate() {
            if let Some(owner) = owner {
                *held.entry(*owner).or_default() += costs[index];
                *widths.entry(*owner).or_default() += width(index);
            }
        }
        Self {
            costs,
            held,
            widths,
            fair: 1.0 / owners.len().max(1) as f64,
        }
    }

    fn held(&self, owner: SessionId) -> f64 {
        self.held.get(&owner).copied().unwrap_or(0.0)
    }

    /// Returns whether the owner has few keys and little cost, like one that has just joined. An
    /// owner with many keys but little measured load is left to [`balance`].
    fn is_nearly_empty(&self, owner: SessionId) -> bool {
        let width = self.widths.get(&owner).copied().unwrap_or(0.0);
        self.held(owner) < self.fair * FILL_THRESHOLD && width < self.fair * NEW_OWNER_WIDTH
    }

    fn has_room(&self, owner: SessionId, index: usize) -> bool {
        self.held(owner) + self.costs[index] <= self.fair * TAKEOVER_LIMIT
    }

    fn least_loaded(&self, owners: &Owners<'_>) -> Option<SessionId> {
        let by_held = |a: &&SessionId, b: &&SessionId| self.held(**a).total_cmp(&self.held(**b));
        owners.keys().min_by(by_held).copied()
    }

    fn assign(&mut self, index: usize, from: Option<SessionId>, to: SessionId) {
        let cost = self.costs[index];
        if let Some(from) = from {
            *self.held.entry(from).or_default() -= cost;
        }
        *self.held.entry(to).or_default() += cost;
    }
}
