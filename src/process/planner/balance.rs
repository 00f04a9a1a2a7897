//! Moves hot slices from overloaded owners to idle ones.
//!
//! An owner's fair rate is its share of all requests in proportion to the present capacity of its
//! upstream, so the fair rate of a straggler falls while it is slow. Only reports measured under
//! the present table count; each move creates a new table, so no report causes the same move twice.

use std::collections::BTreeMap;

use crate::process::load_report::{LoadReport, SliceLoad};
use crate::process::planner::PlanInput;
use crate::version::member::Member;
use crate::version::session_id::SessionId;

/// The ratio of an owner's rate to its fair rate above which slices move away.
const HOT_RATIO: f64 = 1.3;
/// The excess over its fair rate above which slices move away, in requests per second.
const HOT_EXCESS_RATE: f64 = 20.0;
/// The utilization of an owner's upstream above which slices move away, in per mille: a move delays
/// callers for a short time, which does not pay off while no request waits for the upstream.
const UTILIZATION_MIN: u32 = 300;
/// The maximum number of slices of a service that move in one plan.
const MOVES_MAX: usize = 4;

/// The load of one owner; its rates are in requests per second.
struct Load<'r> {
    rate: f64,
    fair_rate: f64,
    utilization: u32,
    slices: &'r [SliceLoad],
}

impl Load<'_> {
    fn ratio(&self) -> f64 {
        self.rate / self.fair_rate.max(1.0)
    }
}

/// Reassigns slices in `slice_owners` to spread the measured load.
pub fn move_hot_slices(
    input: &PlanInput<'_>,
    owners: &BTreeMap<SessionId, &Member>,
    slice_owners: &mut [Option<SessionId>],
) {
    let Some(mut loads) = owner_loads(input, owners) else {
        return;
    };
    for _ in 0..MOVES_MAX {
        let Some((from, to)) = overloaded_and_idlest(&loads) else {
            return;
        };
        let Some(moved) = hottest_movable_slice(&loads[&from], &loads[&to], from, slice_owners)
        else {
            return;
        };
        slice_owners[moved.slice.index()] = Some(to);
        let rate = f64::from(moved.rate);
        for (owner, change) in [(from, -rate), (to, rate)] {
            if let Some(load) = loads.get_mut(&owner) {
                load.rate += change;
            }
        }
    }
}

/// Returns the load of each owner, or `None` if one has no report measured under the present table.
fn owner_loads<'r>(
    input: &PlanInput<'r>,
    owners: &BTreeMap<SessionId, &Member>,
) -> Option<BTreeMap<SessionId, Load<'r>>> {
    let mut reports: BTreeMap<SessionId, &LoadReport> = BTreeMap::new();
    for &owner in owners.keys() {
        let report = input
            .load_reports
            .get(&owner)
            .filter(|r| r.epoch >= input.table.epoch)?;
        reports.insert(owner, report);
    }
    let rate: f64 = reports.values().map(|r| f64::from(r.rate)).sum();
    let weight =
        |s: &SessionId, r: &LoadReport| f64::from(r.capacity) * f64::from(owners[s].info.weight);
    let total: f64 = reports.iter().map(|(s, r)| weight(s, r)).sum();
    let load = |s: &SessionId, r: &'r LoadReport| Load {
        rate: f64::from(r.rate),
        fair_rate: rate * weight(s, r) / total.max(1.0),
        utilization: r.utilization,
        slices: &r.slices,
    };
    Some(reports.into_iter().map(|(s, r)| (s, load(&s, r))).collect())
}

/// Returns the busiest owner if it is overloaded, and the idlest one.
fn overloaded_and_idlest(loads: &BTreeMap<SessionId, Load<'_>>) -> Option<(SessionId, SessionId)> {
    let by_ratio = |a: &(&SessionId, &Load<'_>), b: &(&SessionId, &Load<'_>)| {
        a.1.ratio().total_cmp(&b.1.ratio())
    };
    let (from, busiest) = loads.iter().max_by(by_ratio)?;
    let (to, _) = loads.iter().min_by(by_ratio)?;
    let hot = busiest.ratio() > HOT_RATIO
        && busiest.rate - busiest.fair_rate > HOT_EXCESS_RATE
        && busiest.utilization > UTILIZATION_MIN;
    (hot && from != to).then_some((*from, *to))
}

/// Returns the hottest slice of `from` whose move leaves the receiver less loaded than `from` is
/// now.
fn hottest_movable_slice(
    from_load: &Load<'_>,
    to_load: &Load<'_>,
    from: SessionId,
    slice_owners: &[Option<SessionId>],
) -> Option<SliceLoad> {
    let owned = from_load
        .slices
        .iter()
        .filter(|s| slice_owners.get(s.slice.index()) == Some(&Some(from)));
    let fits = |s: &&SliceLoad| {
        let rate = f64::from(s.rate);
        let new_ratio = (to_load.rate + rate) / to_load.fair_rate.max(1.0);
        rate > 0.0 && new_ratio < from_load.ratio()
    };
    // Reports list the hottest slices first.
    owned.copied().find(|s| fits(&s))
}
