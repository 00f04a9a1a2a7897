//! Plans which daemons may own each slice.

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

/// The share of its fair number of slices that an owner may hold on top, in per cent; within it,
/// measured load decides.
const SURPLUS_PERCENT: u32 = 50;
/// The share of its fair number of slices below which an owner is filled up, in per cent.
const FILL_BELOW_PERCENT: u32 = 50;
/// The part of its fair number of slices that an owner gets more in one plan: one in so many.
const FILL_STEPS: u32 = 4;

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
                firsts: Vec::new(),
            },
        };
        let planned = match service.ranged {
            true => ranges::plan(input, epoch, name, slices, &owners),
            false => ServiceSlices {
                slices: plan_service(input, epoch, name, service, &slices.slices, &owners),
                firsts: Vec::new(),
            },
        };
        services.insert(name.clone(), planned);
    }
    for (name, present) in &input.table.services {
        let removed = || release(input, epoch, present);
        services.entry(name.clone()).or_insert_with(removed);
    }
    services
}

/// Returns the members that may own slices of `service`, with their weights.
fn eligible<'m>(
    input: &PlanInput<'_>,
    service: &ServiceName,
    members: &'m BTreeMap<SessionId, Member>,
) -> BTreeMap<SessionId, &'m Member> {
    let fit = members.iter().filter(|(_, m)| {
        let info = &m.info;
        let runs = info.upstream.as_ref().filter(|u| u.service == *service);
        let wanted = runs.is_some_and(|u| !input.document.is_drained(u.address));
        wanted && !info.leaving && info.weight > 0 && input.document.takes_work(&info.domain)
    });
    fit.map(|(&s, m)| (s, m)).collect()
}

/// Keeps a service that the document no longer names, with no candidates.
fn release(input: &PlanInput<'_>, epoch: Epoch, present: &ServiceSlices) -> ServiceSlices {
    let slices = present.slices.iter();
    let released = slices.map(|a| succeed(input, epoch, a, Vec::new()));
    ServiceSlices {
        slices: released.collect(),
        firsts: present.firsts.clone(),
    }
}

/// Plans the slices of one service.
fn plan_service(
    input: &PlanInput<'_>,
    epoch: Epoch,
    name: &ServiceName,
    service: &Service,
    slices: &[Assignment],
    owners: &BTreeMap<SessionId, &Member>,
) -> Vec<Assignment> {
    let mut shares = Shares::new(slices.len(), owners);
    let mut first: Vec<Option<SessionId>> = Vec::with_capacity(slices.len());
    for assignment in slices {
        let present = assignment
            .candidates
            .iter()
            .copied()
            .find(|&s| !input.has_ended(s));
        let kept = present.filter(|s| owners.contains_key(s));
        if let Some(owner) = kept {
            shares.take(owner);
        }
        first.push(kept);
    }
    place_orphans(name, slices, owners, &mut shares, &mut first);
    rebalance(name, owners, &mut shares, &mut first);
    if service.policy == Policy::Adaptive && service.kind == ServiceKind::Keyed {
        balance::spread(input, owners, &mut first);
    }
    let numbered = slices.iter().zip(first).enumerate();
    let planned = numbered.map(|(number, (assignment, owner))| {
        let ranked = ranked(item_of(name, number), owners);
        let candidates = candidates(&ranked, assignment, owner, owners);
        succeed(input, epoch, assignment, candidates)
    });
    planned.collect()
}

/// Gives each slice without an owner to its next candidate, or to the one that ranks best.
fn place_orphans(
    name: &ServiceName,
    slices: &[Assignment],
    owners: &BTreeMap<SessionId, &Member>,
    shares: &mut Shares,
    first: &mut [Option<SessionId>],
) {
    for (number, assignment) in slices.iter().enumerate() {
        if first[number].is_some() {
            continue;
        }
        let next = assignment
            .candidates
            .iter()
            .copied()
            .find(|s| owners.contains_key(s));
        let next = next.filter(|&s| shares.has_room(s));
        let item = item_of(name, number);
        let owner = next.or_else(|| shares.best(item, owners));
        if let Some(owner) = owner {
            shares.take(owner);
            first[number] = Some(owner);
        }
    }
}

/// Moves slices from owners above their bound, and from any above their fair number to owners far
/// below it.
fn rebalance(
    name: &ServiceName,
    owners: &BTreeMap<SessionId, &Member>,
    shares: &mut Shares,
    first: &mut [Option<SessionId>],
) {
    let mut filled: BTreeMap<SessionId, u32> = BTreeMap::new();
    let empty: BTreeSet<SessionId> = owners
        .keys()
        .copied()
        .filter(|&s| shares.is_nearly_empty(s))
        .collect();
    for (number, place) in first.iter_mut().enumerate() {
        let Some(owner) = *place else { continue };
        let item = item_of(name, number);
        let domain = &owners[&owner].info.domain;
        let wanting = owners.iter().filter(|(s, _)| {
            let got = filled.get(s).copied().unwrap_or(0);
            let wants = shares.is_above(owner) || (shares.has_more(owner) && empty.contains(s));
            wants && shares.is_below(**s) && got < shares.step(**s)
        });
        let target = wanting.max_by(|(a, m), (b, n)| {
            let near = |m: &Member| m.info.domain == *domain;
            let score = |m: &Member| rendezvous::score(item, node_of(m), m.info.weight);
            near(m)
                .cmp(&near(n))
                .then(score(m).total_cmp(&score(n)))
                .then(a.cmp(b))
        });
        if let Some((&target, _)) = target {
            shares.give_back(owner);
            shares.take(target);
            *filled.entry(target).or_default() += 1;
            *place = Some(target);
        }
    }
}

/// Returns the owners in the order in which rendezvous hashing ranks them for `item`.
pub(super) fn ranked(item: u64, owners: &BTreeMap<SessionId, &Member>) -> Vec<SessionId> {
    let score = |m: &Member| rendezvous::score(item, node_of(m), m.info.weight);
    let mut scored: Vec<(f64, SessionId)> = owners.iter().map(|(&s, m)| (score(m), s)).collect();
    scored.sort_by(|(a, _), (b, _)| b.total_cmp(a));
    scored.into_iter().map(|(_, s)| s).collect()
}

/// Returns the candidates of a slice: its owner, then others in other failure domains, the present
/// ones before those that `ranked` names.
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
pub(super) fn succeed(
    input: &PlanInput<'_>,
    epoch: Epoch,
    present: &Assignment,
    candidates: Vec<SessionId>,
) -> Assignment {
    present.succeed(
        candidates,
        epoch,
        |s| input.has_ended(s),
        |s| input.facts.adopted(s),
    )
}

/// Returns the item that stands for a slice in rendezvous hashing.
pub(super) fn item_of(name: &ServiceName, number: usize) -> u64 {
    let text = format!("{name}/{number}");
    xxhash_rust::xxh3::xxh3_64(text.as_bytes())
}

/// Returns the node that stands for a member in rendezvous hashing: its address, which outlives
/// its process.
fn node_of(member: &Member) -> u64 {
    xxhash_rust::xxh3::xxh3_64(member.info.peer.to_string().as_bytes())
}

/// How many slices each owner holds, and how many are its fair number.
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

    fn bound(&self, owner: SessionId) -> f64 {
        (self.fair(owner) * f64::from(100 + SURPLUS_PERCENT) / 100.0).ceil()
    }

    fn has_room(&self, owner: SessionId) -> bool {
        self.held(owner) < self.bound(owner)
    }

    fn is_above(&self, owner: SessionId) -> bool {
        self.held(owner) > self.bound(owner)
    }

    fn has_more(&self, owner: SessionId) -> bool {
        self.held(owner) > self.fair(owner).ceil()
    }

    fn is_nearly_empty(&self, owner: SessionId) -> bool {
        self.held(owner) < self.fair(owner) * f64::from(FILL_BELOW_PERCENT) / 100.0
    }

    fn is_below(&self, owner: SessionId) -> bool {
        self.held(owner) < self.fair(owner).floor()
    }

    fn step(&self, owner: SessionId) -> u32 {
        let steps = (self.fair(owner) / f64::from(FILL_STEPS)).ceil();
        steps as u32
    }

    fn take(&mut self, owner: SessionId) {
        *self.held.entry(owner).or_default() += 1;
    }

    fn give_back(&mut self, owner: SessionId) {
        if let Some(held) = self.held.get_mut(&owner) {
            *held -= 1;
        }
    }

    /// Returns the owner with room that ranks best for `item`.
    fn best(&self, item: u64, owners: &BTreeMap<SessionId, &Member>) -> Option<SessionId> {
        let score = |m: &Member| rendezvous::score(item, node_of(m), m.info.weight);
        let with_room = owners.iter().filter(|(s, _)| self.has_room(**s));
        with_room
            .max_by(|(_, m), (_, n)| score(m).total_cmp(&score(n)))
            .map(|(&s, _)| s)
    }
}
