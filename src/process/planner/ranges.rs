//! Places slices that are ranges of keys: neighbours get the same owner, so that an upstream holds
//! few ranges.

use std::collections::BTreeMap;

use crate::process::planner::slices::Shares;
use crate::version::member::Member;
use crate::version::session_id::SessionId;

/// Gives the slices without an owner to owners below their fair number, in ranges as long as
/// possible.
pub fn place_orphans(
    owners: &BTreeMap<SessionId, &Member>,
    shares: &mut Shares,
    first: &mut [Option<SessionId>],
) {
    for number in 0..first.len() {
        if first[number].is_some() {
            continue;
        }
        let before = number.checked_sub(1).and_then(|n| first[n]);
        let neighbour = before.filter(|&s| shares.is_below(s));
        let Some(owner) = neighbour.or_else(|| emptiest(owners, shares)) else {
            return;
        };
        shares.take(owner);
        first[number] = Some(owner);
    }
}

/// Fills owners that hold far less than their fair number with a range of those that hold more.
pub fn fill(
    owners: &BTreeMap<SessionId, &Member>,
    shares: &mut Shares,
    first: &mut [Option<SessionId>],
) {
    let empty: Vec<SessionId> = owners
        .keys()
        .copied()
        .filter(|&s| shares.is_nearly_empty(s))
        .collect();
    for owner in empty {
        // Each round takes a range from one of the others.
        for _ in 0..owners.len() {
            let Some(donor) = fullest(owners, shares).filter(|&d| d != owner) else {
                break;
            };
            let wanted = shares.missing(owner).min(shares.surplus(donor));
            if wanted < 1.0 {
                break;
            }
            for number in end_of_longest(donor, first, wanted as usize) {
                shares.give_back(donor);
                shares.take(owner);
                first[number] = Some(owner);
            }
        }
    }
}

fn emptiest(owners: &BTreeMap<SessionId, &Member>, shares: &Shares) -> Option<SessionId> {
    let by_missing =
        |a: &&SessionId, b: &&SessionId| shares.missing(**a).total_cmp(&shares.missing(**b));
    owners.keys().max_by(by_missing).copied()
}

fn fullest(owners: &BTreeMap<SessionId, &Member>, shares: &Shares) -> Option<SessionId> {
    let by_surplus =
        |a: &&SessionId, b: &&SessionId| shares.surplus(**a).total_cmp(&shares.surplus(**b));
    owners.keys().max_by(by_surplus).copied()
}

/// Returns the last slices, at most `count`, of the longest range of `owner`.
fn end_of_longest(
    owner: SessionId,
    first: &[Option<SessionId>],
    count: usize,
) -> std::ops::Range<usize> {
    let mut longest = 0..0;
    let mut start = 0;
    for number in 0..=first.len() {
        let goes_on = first.get(number).is_some_and(|f| *f == Some(owner));
        if goes_on {
            continue;
        }
        if number - start > longest.len() {
            longest = start..number;
        }
        start = number + 1;
    }
    longest.end - count.min(longest.len())..longest.end
}
