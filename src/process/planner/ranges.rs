//! Plans slices that are ranges of keys: neighbours get the same owner, busy ranges are split where
//! their load divides, and parts of them move from busy upstreams to idle ones.

use std::collections::{BTreeMap, BTreeSet};

use crate::process::load_report::RangeLoad;
use crate::process::planner::PlanInput;
use crate::process::planner::slices::{candidates, item_of, ranked, succeed};
use crate::version::epoch::Epoch;
use crate::version::member::Member;
use crate::version::service_name::ServiceName;
use crate::version::session_id::SessionId;
use crate::version::slice_id::SliceId;
use crate::version::table::ServiceSlices;

/// How many groups of neighbouring ranges have candidates of their own.
const GROUPS: usize = 24;
/// The number of keys.
const KEYS: usize = 65_536;
/// The most ranges of a service.
const RANGES_MAX: usize = 768;
/// How busy a range may keep an upstream before it is split, in per mille of its slots.
const SPLIT_ABOVE: u32 = 120;
/// The part that a range's width counts in its cost; its measured load counts for the rest.
const WIDTH_PART: f64 = 0.3;
/// How far above its fair share an owner may get when it takes ranges over.
const TAKE_BOUND: f64 = 1.05;
/// The part of its fair share below which an owner is filled up.
const FILL_BELOW: f64 = 0.5;
/// The part of its fair width below which an owner counts as new.
const EMPTY_WIDTH: f64 = 0.25;
/// How busy an upstream must be for ranges to leave it, in per mille of its slots.
const BUSY_MIN: u32 = 450;
/// How much busier than the mean of all it must be, in per mille: of many owners, some always
/// seem busy.
const EXCESS_MIN: u32 = 200;
/// How much busier than the idlest it must be, in per mille.
const DIFFERENCE_MIN: u32 = 180;
/// The part of that difference that may move at once.
const MOVE_PART: f64 = 0.5;
/// The most ranges that move in one plan, where there are few owners.
const MOVES_MAX: usize = 8;
/// Of how many owners at the least one range may move in one plan.
const OWNERS_PER_MOVE: usize = 3;
/// The number of ranges above which quiet neighbours are joined.
const JOIN_ABOVE: usize = 512;
/// The most keys of a range that was joined.
const JOINED_KEYS_MAX: u16 = 1024;

type Owners<'m> = BTreeMap<SessionId, &'m Member>;

/// Returns the ranges of a service for the table of `epoch`.
pub fn plan(
    input: &PlanInput<'_>,
    epoch: Epoch,
    name: &ServiceName,
    present: ServiceSlices,
    owners: &Owners<'_>,
) -> ServiceSlices {
    let loads = loads(input, owners);
    let (slices, loads) = split_busy(&loads, join_quiet(&loads, present));
    let mut first = kept_owners(input, &slices, owners);
    if !owners.is_empty() {
        let mut shares = Shares::new(&slices, &loads, owners, &first);
        give_back(input, &slices, owners, &mut shares, &mut first);
        place_orphans(owners, &mut shares, &mut first);
        fill(owners, &mut shares, &mut first);
        balance(input, &slices, &loads, owners, &mut first);
    }
    let mut planned = slices.clone();
    // Neighbouring ranges get the same candidates, so that they stay one range to the upstream.
    let orders: Vec<Vec<SessionId>> = (0..GROUPS)
        .map(|group| ranked(item_of(name, group), owners))
        .collect();
    for (place, assignment) in slices.slices.iter().enumerate() {
        let (low, _) = slices.keys_at(place).unwrap_or_default();
        let order = &orders[usize::from(low) * GROUPS / KEYS];
        let chosen = candidates(order, assignment, first[place], owners);
        planned.slices[place] = succeed(input, epoch, assignment, chosen);
    }
    planned
}

/// Returns the newest load of each range of the service whose upstreams `owners` have.
fn loads<'i>(input: &PlanInput<'i>, owners: &Owners<'_>) -> BTreeMap<SliceId, &'i RangeLoad> {
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

/// Joins neighbours that no report names and that have the same assignment, where there are many
/// ranges: no token changes, as both have the same.
fn join_quiet(loads: &BTreeMap<SliceId, &RangeLoad>, present: ServiceSlices) -> ServiceSlices {
    if present.slices.len() <= JOIN_ABOVE || present.firsts.is_empty() {
        return present;
    }
    let mut joined = ServiceSlices::default();
    let mut last_is_quiet = false;
    for (place, assignment) in present.slices.iter().enumerate() {
        let (low, high) = present.keys_at(place).unwrap_or_default();
        let quiet = !loads.contains_key(&present.slice_at(place));
        let narrow = joined
            .firsts
            .last()
            .is_some_and(|&first| high - first < JOINED_KEYS_MAX);
        let same = joined.slices.last() == Some(assignment);
        if !(quiet && last_is_quiet && narrow && same) {
            joined.firsts.push(low);
            joined.slices.push(assignment.clone());
        }
        last_is_quiet = quiet;
    }
    joined
}

/// Splits busy ranges where their load divides; the parts keep the assignment of the whole.
/// Returns them with how busy each keeps its upstream, in per mille of its slots.
fn split_busy(
    loads: &BTreeMap<SliceId, &RangeLoad>,
    present: ServiceSlices,
) -> (ServiceSlices, Vec<u32>) {
    let mut split = ServiceSlices::default();
    let mut busy = Vec::new();
    let room = RANGES_MAX.saturating_sub(present.slices.len());
    let mut added = 0;
    for (place, assignment) in present.slices.iter().enumerate() {
        let Some((low, high)) = present.keys_at(place) else {
            // Not ranges of keys: there is nothing to split.
            let unknown = vec![0; present.slices.len()];
            return (present, unknown);
        };
        let load = loads.get(&present.slice_at(place));
        let mut firsts = vec![low];
        if let Some(load) = load.filter(|l| l.utilization > SPLIT_ABOVE) {
            for &cut in &load.split_keys {
                if firsts.last().is_some_and(|&l| cut > l) && cut <= high && added < room {
                    firsts.push(cut);
                    added += 1;
                }
            }
        }
        // The cuts divide the load about evenly.
        let parts = u32::try_from(firsts.len()).unwrap_or(1);
        for first in firsts {
            split.firsts.push(first);
            split.slices.push(assignment.clone());
            busy.push(load.map_or(0, |l| l.utilization) / parts);
        }
    }
    (split, busy)
}

/// Returns the present owner of each range, where it may go on.
fn kept_owners(
    input: &PlanInput<'_>,
    slices: &ServiceSlices,
    owners: &Owners<'_>,
) -> Vec<Option<SessionId>> {
    let kept = slices.slices.iter().map(|assignment| {
        let mut alive = assignment
            .candidates
            .iter()
            .filter(|&&s| !input.has_ended(s));
        let present = alive.next().copied();
        present.filter(|s| owners.contains_key(s))
    });
    kept.collect()
}

/// Gives ranges whose owner has ended to the next process beside the same upstream, which has
/// their state still.
fn give_back(
    input: &PlanInput<'_>,
    slices: &ServiceSlices,
    owners: &Owners<'_>,
    shares: &mut Shares,
    first: &mut [Option<SessionId>],
) {
    for (place, assignment) in slices.slices.iter().enumerate() {
        if first[place].is_some() {
            continue;
        }
        let former = assignment.candidates.first();
        let former = former.and_then(|s| input.table.members.get(s));
        let Some(upstream) = former.and_then(|m| m.info.upstream.as_ref()) else {
            continue;
        };
        let same = |m: &Member| m.info.upstream.as_ref() == Some(upstream);
        if let Some((&owner, _)) = owners.iter().find(|(_, m)| same(m)) {
            shares.give(place, None, owner);
            first[place] = Some(owner);
        }
    }
}

/// Gives the ranges without an owner to owners below their fair share, as many neighbours as
/// possible to the same.
fn place_orphans(owners: &Owners<'_>, shares: &mut Shares, first: &mut [Option<SessionId>]) {
    for place in 0..first.len() {
        if first[place].is_some() {
            continue;
        }
        let before = place.checked_sub(1).and_then(|p| first[p]);
        let neighbour = before.filter(|&s| shares.has_room(s, place));
        let Some(owner) = neighbour.or_else(|| shares.emptiest(owners)) else {
            return;
        };
        shares.give(place, None, owner);
        first[place] = Some(owner);
    }
}

/// Fills owners that hold far less than their fair share with ranges of those that hold more.
fn fill(owners: &Owners<'_>, shares: &mut Shares, first: &mut [Option<SessionId>]) {
    let empty: Vec<SessionId> = owners
        .keys()
        .copied()
        .filter(|&s| shares.is_nearly_empty(s))
        .collect();
    for owner in empty {
        // From the end of the keys on: the ranges that come over are neighbours.
        for place in (0..first.len()).rev() {
            let Some(donor) = first[place] else { continue };
            let cost = shares.costs[place];
            let fits = shares.held(owner) + cost <= shares.fair;
            let spare = shares.held(donor) - cost >= shares.fair;
            if donor != owner && fits && spare {
                shares.give(place, Some(donor), owner);
                first[place] = Some(owner);
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
    first: &mut [Option<SessionId>],
) {
    let mut busy = measured(input, slices, loads, owners, first);
    let total: u32 = busy.values().sum();
    let mean = total / u32::try_from(busy.len().max(1)).unwrap_or(u32::MAX);
    let mut stuck: BTreeSet<SessionId> = BTreeSet::new();
    for _ in 0..MOVES_MAX.max(owners.len() / OWNERS_PER_MOVE) {
        let movable = busy.iter().filter(|(s, _)| !stuck.contains(s));
        let most = movable.max_by_key(|(_, b)| **b);
        let least = busy.iter().min_by_key(|(_, b)| **b);
        let (Some((&from, &high)), Some((&to, &low))) = (most, least) else {
            return;
        };
        let above_mean = high.saturating_sub(mean) >= EXCESS_MIN;
        if high < BUSY_MIN || !above_mean || high.saturating_sub(low) < DIFFERENCE_MIN {
            return;
        }
        let bound = f64::from(high - low) * MOVE_PART;
        let owned = (0..first.len()).filter(|&p| first[p] == Some(from));
        let fits = owned.filter(|&p| loads[p] > 0 && f64::from(loads[p]) <= bound);
        let Some(place) = fits.max_by_key(|&p| loads[p]) else {
            stuck.insert(from);
            continue;
        };
        let moved = loads[place];
        tracing::info!(
            event = "range-moves", slice = %slices.slice_at(place), busy = moved,
            %from, from_busy = high, %to, to_busy = low
        );
        first[place] = Some(to);
        busy.insert(from, high.saturating_sub(moved));
        busy.insert(to, low + moved);
    }
}

/// Returns how busy the ranges of each owner keep its upstream, in per mille of its slots; owners
/// without a report since their newest range came are left out.
fn measured(
    input: &PlanInput<'_>,
    slices: &ServiceSlices,
    loads: &[u32],
    owners: &Owners<'_>,
    first: &[Option<SessionId>],
) -> BTreeMap<SessionId, u32> {
    let mut busy: BTreeMap<SessionId, (Epoch, u32)> = BTreeMap::new();
    for (place, assignment) in slices.slices.iter().enumerate() {
        if let Some(owner) = first[place] {
            let (gained, sum) = busy.entry(owner).or_default();
            *gained = assignment.since.max(*gained);
            *sum += loads[place];
        }
    }
    let known = owners.keys().filter_map(|&owner| {
        let report = input.load_reports.get(&owner)?;
        let (gained, sum) = busy.get(&owner).copied().unwrap_or_default();
        (report.epoch >= gained).then_some((owner, sum))
    });
    known.collect()
}

/// The costs of ranges, and how much of them each owner holds; all costs together make one.
struct Shares {
    costs: Vec<f64>,
    held: BTreeMap<SessionId, f64>,
    /// How much of all keys each owner held before the plan.
    widths: BTreeMap<SessionId, f64>,
    fair: f64,
}

impl Shares {
    fn new(
        slices: &ServiceSlices,
        loads: &[u32],
        owners: &Owners<'_>,
        first: &[Option<SessionId>],
    ) -> Self {
        let total: u32 = loads.iter().sum();
        let width_part = if total == 0 { 1.0 } else { WIDTH_PART };
        let width = |place: usize| {
            let (low, high) = slices.keys_at(place).unwrap_or_default();
            (f64::from(high) - f64::from(low) + 1.0) / KEYS as f64
        };
        let cost = |place: usize| {
            let load = f64::from(loads[place]) / f64::from(total.max(1));
            width(place) * width_part + load * (1.0 - width_part)
        };
        let costs: Vec<f64> = (0..first.len()).map(cost).collect();
        let mut held = BTreeMap::new();
        let mut widths = BTreeMap::new();
        for (place, owner) in first.iter().enumerate() {
            if let Some(owner) = owner {
                *held.entry(*owner).or_default() += costs[place];
                *widths.entry(*owner).or_default() += width(place);
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

    /// Returns whether the owner has next to nothing, as one that has just joined; measured load
    /// alone is for [`balance`].
    fn is_nearly_empty(&self, owner: SessionId) -> bool {
        let width = self.widths.get(&owner).copied().unwrap_or(0.0);
        self.held(owner) < self.fair * FILL_BELOW && width < self.fair * EMPTY_WIDTH
    }

    fn has_room(&self, owner: SessionId, place: usize) -> bool {
        self.held(owner) + self.costs[place] <= self.fair * TAKE_BOUND
    }

    fn emptiest(&self, owners: &Owners<'_>) -> Option<SessionId> {
        let by_held = |a: &&SessionId, b: &&SessionId| self.held(**a).total_cmp(&self.held(**b));
        owners.keys().min_by(by_held).copied()
    }

    fn give(&mut self, place: usize, from: Option<SessionId>, to: SessionId) {
        let cost = self.costs[place];
        if let Some(from) = from {
            *self.held.entry(from).or_default() -= cost;
        }
        *self.held.entry(to).or_default() += cost;
    }
}
