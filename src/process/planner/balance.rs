//! Moves hot slices from loaded owners to idle ones.
//!
//! An owner's fair rate is its share of all requests by the capacity that its upstream has now, so
//! a straggler's fair rate falls while its slowness lasts. Only reports that were measured under
//! the present table count; each move makes a new one, so a move is never made twice over.

use std::collections::BTreeMap;

use crate::process::load_report::{LoadReport, SliceLoad};
use crate::process::planner::PlanInput;
use crate::version::member::Member;
use crate::version::session_id::SessionId;

/// How many times its fair rate an owner must carry before slices leave it.
const HOT_RATIO: f64 = 1.3;
/// How many requests a second above its fair rate an owner must carry at the least.
const HOT_RATE_MIN: f64 = 20.0;
/// How busy an owner's upstream must be for slices to leave it, in per mille: a move costs its
/// callers a short wait, which is not worth it where nobody waits for the upstream.
const BUSY_MIN: u32 = 300;
/// The most slices of a service that move in one plan.
const MOVES_MAX: usize = 4;

/// The load of one owner.
struct Load<'r> {
    rate: f64,
    fair: f64,
    busy: u32,
    slices: &'r [SliceLoad],
}

impl Load<'_> {
    fn ratio(&self) -> f64 {
        self.rate / self.fair.max(1.0)
    }
}

/// Changes the owners in `first` so that the measured load is spread better.
pub fn spread(
    input: &PlanInput<'_>,
    owners: &BTreeMap<SessionId, &Member>,
    first: &mut [Option<SessionId>],
) {
    let Some(mut loads) = loads(input, owners) else {
        return;
    };
    for _ in 0..MOVES_MAX {
        let Some((from, to)) = ends(&loads) else {
            return;
        };
        let Some(moved) = hottest_that_fits(&loads[&from], &loads[&to], from, first) else {
            return;
        };
        first[moved.slice.index()] = Some(to);
        let rate = f64::from(moved.rate);
        for (owner, change) in [(from, -rate), (to, rate)] {
            if let Some(load) = loads.get_mut(&owner) {
                load.rate += change;
            }
        }
    }
}

/// Returns the load of each owner, or `None` where one was not measured under the present table.
fn loads<'r>(
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
        fair: rate * weight(s, r) / total.max(1.0),
        busy: r.utilization,
        slices: &r.slices,
    };
    Some(reports.into_iter().map(|(s, r)| (s, load(&s, r))).collect())
}

/// Returns the owner that carries too much, and the one that carries the least.
fn ends(loads: &BTreeMap<SessionId, Load<'_>>) -> Option<(SessionId, SessionId)> {
    let by_ratio = |a: &(&SessionId, &Load<'_>), b: &(&SessionId, &Load<'_>)| {
        a.1.ratio().total_cmp(&b.1.ratio())
    };
    let (from, most) = loads.iter().max_by(by_ratio)?;
    let (to, _) = loads.iter().min_by(by_ratio)?;
    let hot =
        most.ratio() > HOT_RATIO && most.rate - most.fair > HOT_RATE_MIN && most.busy > BUSY_MIN;
    (hot && from != to).then_some((*from, *to))
}

/// Returns the hottest slice of `from` whose move leaves `to` the less loaded of the two.
fn hottest_that_fits(
    load: &Load<'_>,
    other: &Load<'_>,
    from: SessionId,
    first: &[Option<SessionId>],
) -> Option<SliceLoad> {
    let owned = load
        .slices
        .iter()
        .filter(|s| first.get(s.slice.index()) == Some(&Some(from)));
    let fits = |s: &&SliceLoad| {
        let rate = f64::from(s.rate);
        let after = (other.rate + rate) / other.fair.max(1.0);
        rate > 0.0 && after < load.ratio()
    };
    // The busiest stand first.
    owned.copied().find(|s| fits(&s))
}
