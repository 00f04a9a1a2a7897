//! Plans the candidates and the owner of each slice.

use std::collections::{BTreeMap, BTreeSet};

use crate::process::planner::{PlanInput, balance, ranges};
use crate::version::assignment::{Assignment, CANDIDATES_MAX};
use crate::version::epoch::Epoch;
use crate::version::member::Member;
use crate::version::rendezvous;
use crate::version::service::{Policy, Service, ServiceKind};
use crate::version::service_name::ServiceName;
use crate::version::session_id::SessionId;
use crate::version::table::ServiceSlices;

/// How far an owner may exceed its fair number of slices, in percent; within this limit the
/// measured load decides.
const SURPLUS_MAX_PERCENT: u32 = 50;
/// The share of its fair number of slices below which an owner gets more slices, in percent.
const FILL_BELOW_PERCENT: u32 = 50;
/// The number of plans over which an owner is filled up: each adds at most its fair number
/// divided by this.
const FILL_PLANS: u32 = 4;

/// Returns the slices of each service for the table of `epoch`.
pub fn plan(
    input: &PlanInput<'_>,
    epoch: Epoch,
    members: &BTreeMap<SessionId, Member>,
) -> BTreeMap<ServiceName, ServiceSlices> {
    let mut services = BTreeMap::new();
    for (name, service) in &input.document.services {
        let owners = eligible(input, name, members);
        let present = input.table.services.get(name);
        let slices = match present {
            Some(present) => present.clone(),
            None if service.ranged => ServiceSlices::ranged(service.slices),
            None => ServiceSlices {
                slices: vec![Assignment::default(); usize::try_from(service.slices).unwrap_or(1)],
                range_starts: Vec::new(),
            },
        };
        let planned = match service.ranged {
            true => ranges::plan(input, epoch, name, slices, &owners),
            false => ServiceSlices {
                slices: plan_service(input, epoch, name, service, &slices.slices, &owners),
                range_starts: Vec::new(),
            },
        };
        services.insert(name.clone(), planned);
    }
    for (name, present) in &input.table.services {
        let removed = || release_service(input, epoch, present);
        services.entry(name.clone()).or_insert_with(removed);
    }
    services
}

/// Returns the members that may own slices of `service`.
fn eligible<'m>(
    input: &PlanInput<'_>,
    service: &ServiceName,
    members: &'m BTreeMap<SessionId, Member>,
) -> BTreeMap<SessionId, &'m Member> {
    let eligible = members.iter().filter(|(_, m)| {
        let info = &m.info;
        let upstream = info.upstream.as_ref().filter(|u| u.service == *service);
        let is_active = upstream.is_some_and(|u| !input.document.is_drained(u.address));
        is_active && !info.leaving && info.weight > 0 && input.document.accepts_work(&info.domain)
    });
    eligible.map(|(&s, m)| (s, m)).collect()
}

/// Returns the slices of a service that the document no longer contains, without candidates.
fn release_service(input: &PlanInput<'_>, epoch: Epoch, present: &ServiceSlices) -> ServiceSlices {
    let slices = present.slices.iter();
    let released = slices.map(|a| successor_assignment(input, epoch, a, Vec::new()));
    ServiceSlices {
        slices: released.collect(),
        range_starts: present.range_starts.clone(),
    }
}

/// Plans the slices of one service whose keys are hashed.
fn plan_service(
    input: &PlanInput<'_>,
    epoch: Epoch,
    name: &ServiceName,
    service: &Service,
    slices: &[Assignment],
    owners: &BTreeMap<SessionId, &Member>,
) -> Vec<Assignment> {
    let mut shares = Shares::new(slices.len(), owners);
    let mut slice_owners: Vec<Option<SessionId>> = Vec::with_capacity(slices.len());
    for assignment in slices {
        let present = assignment
            .candidates
            .iter()
            .copied()
            .find(|&s| !input.has_ended(s));
        let kept = present.filter(|s| owners.contains_key(s));
        if let Some(owner) = kept {
            shares.add(owner);
        }
        slice_owners.push(kept);
    }
    assign_orphans(name, slices, owners, &mut shares, &mut slice_owners);
    rebalance(name, owners, &mut shares, &mut slice_owners);
    if service.policy == Policy::Adaptive && service.kind == ServiceKind::Keyed {
        balance::move_hot_slices(input, owners, &mut slice_owners);
    }
    let indexed = slices.iter().zip(slice_owners).enumerate();
    let planned = indexed.map(|(index, (assignment, owner))| {
        let ranked = ranked(slice_item(name, index), owners);
        let candidates = candidates(&ranked, assignment, owner, owners);
        successor_assignment(input, epoch, assignment, candidates)
    });
    planned.collect()
}

/// Assigns each slice without an owner to its next candidate, or to the owner with the best
/// rendezvous score; both only if they are below their limit.
fn assign_orphans(
    name: &ServiceName,
    slices: &[Assignment],
    owners: &BTreeMap<SessionId, &Member>,
    shares: &mut Shares,
    slice_owners: &mut [Option<SessionId>],
) {
    for (index, assignment) in slices.iter().enumerate() {
        if slice_owners[index].is_some() {
            continue;
        }
        let next = assignment
            .candidates
            .iter()
            .copied()
            .find(|s| owners.contains_key(s));
        let next = next.filter(|&s| shares.is_below_limit(s));
        let item = slice_item(name, index);
        let owner = next.or_else(|| shares.best_below_limit(item, owners));
        if let Some(owner) = owner {
            shares.add(owner);
            slice_owners[index] = Some(owner);
        }
    }
}

/// Moves slices away from owners above their limit, and from owners above their fair number to
/// owners far below theirs; prefers receivers in the same failure domain.
fn rebalance(
    name: &ServiceName,
    owners: &BTreeMap<SessionId, &Member>,
    shares: &mut Shares,
    slice_owners: &mut [Option<SessionId>],
) {
    let mut added: BTreeMap<SessionId, u32> = BTreeMap::new();
    let nearly_empty: BTreeSet<SessionId> = owners
        .keys()
        .copied()
        .filter(|&s| shares.is_nearly_empty(s))
        .collect();
    for (index, slice_owner) in slice_owners.iter_mut().enumerate() {
        let Some(owner) = *slice_owner else { continue };
        let item = slice_item(name, index);
        let domain = &owners[&owner].info.domain;
        let receivers = owners.iter().filter(|(s, _)| {
            let added_slices = added.get(s).copied().unwrap_or(0);
            let may_leave = shares.is_above_limit(owner)
                || (shares.is_above_fair(owner) && nearly_empty.contains(s));
            may_leave && shares.is_below_fair(**s) && added_slices < shares.slices_per_plan(**s)
        });
        let target = receivers.max_by(|(a, m), (b, n)| {
            let same_domain = |m: &Member| m.info.domain == *domain;
            let score = |m: &Member| rendezvous::score(item, member_node(m), m.info.weight);
            same_domain(m)
                .cmp(&same_domain(n))
                .then(score(m).total_cmp(&score(n)))
                .then(a.cmp(b))
        });
        if let Some((&target, _)) = target {
            shares.remove(owner);
            shares.add(target);
            *added.entry(target).or_default() += 1;
            *slice_owner = Some(target);
        }
    }
}

/// Returns the owners ranked by rendezvous hashing for `item`.
pub(super) fn ranked(item: u64, owners: &BTreeMap<SessionId, &Member>) -> Vec<SessionId> {
    let score = |m: &Member| rendezvous::score(item, member_node(m), m.info.weight);
    let mut scored: Vec<(f64, SessionId)> = owners.iter().map(|(&s, m)| (score(m), s)).collect();
    scored.sort_by(|(a, _), (b, _)| b.total_cmp(a));
    scored.into_iter().map(|(_, s)| s).collect()
}

/// Returns the candidates of a slice, each in its own failure domain: its owner, then the present
/// candidates, then the others in the order of `ranked`.
pub(super) fn candidates(
    ranked: &[SessionId],
    assignment: &Assignment,
    owner: Option<SessionId>,
    owners: &BTreeMap<SessionId, &Member>,
) -> Vec<SessionId> {
    let Some(owner) = owner else {
        return Vec::new();
    };
    let mut chosen = vec![owner];
    let mut domains = vec![&owners[&owner].info.domain];
    for session in assignment.candidates.iter().chain(ranked) {
        if chosen.len() >= CANDIDATES_MAX {
            break;
        }
        let Some(member) = owners.get(session) else {
            continue;
        };
        if !domains.contains(&&member.info.domain) {
            chosen.push(*session);
            domains.push(&member.info.domain);
        }
    }
    chosen
}

/// Returns the assignment that follows `present` with `candidates`.
pub(super) fn successor_assignment(
    input: &PlanInput<'_>,
    epoch: Epoch,
    present: &Assignment,
    candidates: Vec<SessionId>,
) -> Assignment {
    present.successor(
        candidates,
        epoch,
        |s| input.has_ended(s),
        |s| input.facts.adopted(s),
    )
}

/// Returns the item hash of a slice for rendezvous hashing.
pub(super) fn slice_item(name: &ServiceName, index: usize) -> u64 {
    let text = format!("{name}/{index}");
    xxhash_rust::xxh3::xxh3_64(text.as_bytes())
}

/// Returns the node hash of a member for rendezvous hashing; it is derived from the address, which
/// stays the same when the process restarts.
fn member_node(member: &Member) -> u64 {
    xxhash_rust::xxh3::xxh3_64(member.info.peer.to_string().as_bytes())
}

/// The number of slices that each owner holds, and its fair number by weight.
struct Shares {
    held: BTreeMap<SessionId, u32>,
    fair: BTreeMap<SessionId, f64>,
}

impl Shares {
    fn new(slices: usize, owners: &BTreeMap<SessionId, &Member>) -> Self {
        let total: f64 = owners.values().map(|m| f64::from(m.info.weight)).sum();
        let fair = owners.iter().map(|(&s, m)| {
            let share = f64::from(m.info.weight) / total;
            (s, share * slices as f64)
        });
        Self {
            held: BTreeMap::new(),
            fair: fair.collect(),
        }
    }

    fn held(&self, owner: SessionId) -> f64 {
        f64::from(self.held.get(&owner).copied().unwrap_or(0))
    }

    fn fair(&self, owner: SessionId) -> f64 {
        self.fair.get(&owner).copied().unwrap_or(0.0)
    }

    fn limit(&self, owner: SessionId) -> f64 {
        (self.fair(owner) * f64::from(100 + SURPLUS_MAX_PERCENT) / 100.0).ceil()
    }

    fn is_below_limit(&self, owner: SessionId) -> bool {
        self.held(owner) < self.limit(owner)
    }

    fn is_above_limit(&self, owner: SessionId) -> bool {
        self.held(owner) > self.limit(owner)
    }

    fn is_above_fair(&self, owner: SessionId) -> bool {
        self.held(owner) > self.fair(owner).ceil()
    }

    fn is_nearly_empty(&self, owner: SessionId) -> bool {
        self.held(owner) < self.fair(owner) * f64::from(FILL_BELOW_PERCENT) / 100.0
    }

    fn is_below_fair(&self, owner: SessionId) -> bool {
        self.held(owner) < self.fair(owner).floor()
    }

    fn slices_per_plan(&self, owner: SessionId) -> u32 {
        let slices = (self.fair(owner) / f64::from(FILL_PLANS)).ceil();
        slices as u32
    }

    fn add(&mut self, owner: SessionId) {
        *self.held.entry(owner).or_default() += 1;
    }

    fn remove(&mut self, owner: SessionId) {
        if let Some(held) = self.held.get_mut(&owner) {
            *held -= 1;
        }
    }

    /// Returns the owner below its limit that has the best rendezvous score for `item`.
    fn best_below_limit(
        &self,
        item: u64,
        owners: &BTreeMap<SessionId, &Member>,
    ) -> Option<SessionId> {
        let score = |m: &Member| rendezvous::score(item, member_node(m), m.info.weight);
        let below_limit = owners.iter().filter(|(s, _)| self.is_below_limit(**s));
        below_limit
            .max_by(|(_, m), (_, n)| score(m).total_cmp(&score(n)))
            .map(|(&s, _)| s)
    }
}
