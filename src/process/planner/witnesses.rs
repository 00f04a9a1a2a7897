//! Plans the witnesses that grant each session its lease.
//!
//! A witness set changes in steps, so that any two daemons that may be active at once share a set,
//! and no session becomes live again after an end certificate. First a majority of both the old and
//! the new set is required. Once each member is known to have adopted that rule, none can form an
//! end certificate from the old set alone any more, but one may have formed it before. The session
//! must therefore show that a majority of each set has granted it a still later epoch, which a
//! witness that issued an end statement would not have done. Only then is the old set dropped.

use std::collections::BTreeMap;

use crate::process::planner::PlanInput;
use crate::version::domain_name::DomainName;
use crate::version::epoch::Epoch;
use crate::version::instance_id::InstanceId;
use crate::version::member::{Member, WEIGHT_FULL};
use crate::version::rendezvous;
use crate::version::session_id::SessionId;
use crate::version::witness_set::{WitnessAddress, WitnessSet};

/// The number of witnesses of a session if the cell is large enough.
const WITNESS_COUNT: usize = 5;
/// The maximum number of witnesses of a session in one failure domain.
const WITNESSES_PER_DOMAIN_MAX: usize = 2;

/// Sets the witness sets of each member for the table of `epoch`.
pub fn plan(input: &PlanInput<'_>, epoch: Epoch, members: &mut BTreeMap<SessionId, Member>) {
    let all_members = members.clone();
    let lowest_adopted = all_members
        .keys()
        .map(|&s| input.facts.adopted(s))
        .min()
        .unwrap_or_default();
    for member in members.values_mut() {
        if member.witnesses.len() > 1 {
            advance_change(input, epoch, lowest_adopted, member);
            continue;
        }
        let present = member.witnesses.first().cloned().unwrap_or_default();
        let wanted = choose(input, &member.info.session, &present, &all_members);
        if wanted != present {
            member.witnesses.push(wanted);
            member.witnesses_since = epoch;
        }
    }
}

/// Takes the next step of a change of witness sets if the previous one is known to be complete.
fn advance_change(input: &PlanInput<'_>, epoch: Epoch, lowest_adopted: Epoch, member: &mut Member) {
    let since = member.witnesses_since;
    if !member.witnesses_confirming && lowest_adopted >= since {
        member.witnesses_confirming = true;
        member.witnesses_since = epoch;
    } else if member.witnesses_confirming && input.facts.confirmed(member.info.session) >= since {
        member.witnesses_confirming = false;
        member.witnesses.remove(0);
        member.witnesses_since = epoch;
    }
}

/// Chooses the witnesses of `session`; keeps as many of the present ones as possible.
fn choose(
    input: &PlanInput<'_>,
    session: &SessionId,
    present: &WitnessSet,
    members: &BTreeMap<SessionId, Member>,
) -> WitnessSet {
    let item = session.instance.0;
    let scored = eligible_witnesses(input, session, members)
        .into_iter()
        .map(|m| {
            let instance = m.info.session.instance;
            let score = rendezvous::score(item, instance.0, WEIGHT_FULL);
            (present.contains(instance), score, m)
        });
    let mut ranked: Vec<(bool, f64, &Member)> = scored.collect();
    ranked.sort_by(|(a_present, a, _), (b_present, b, _)| {
        b_present.cmp(a_present).then(b.total_cmp(a))
    });
    let mut chosen = spread_over_domains(ranked.into_iter().map(|(_, _, m)| m));
    if chosen.len().is_multiple_of(2)
        && let Some(own) = members.get(session)
    {
        chosen.push(address_of(own));
    }
    chosen.sort_unstable();
    WitnessSet(chosen)
}

/// Returns the other members that may be witnesses of `session`: those that are not leaving and
/// have not issued an end statement for it.
fn eligible_witnesses<'m>(
    input: &PlanInput<'_>,
    session: &SessionId,
    members: &'m BTreeMap<SessionId, Member>,
) -> Vec<&'m Member> {
    let end_statements = input.facts.ended.get(session);
    let issued_end_statement =
        |i: InstanceId| end_statements.is_some_and(|by_witness| by_witness.contains_key(&i));
    let others = members
        .values()
        .filter(|m| m.info.session.instance != session.instance);
    let eligible =
        others.filter(|m| !m.info.leaving && !issued_end_statement(m.info.session.instance));
    eligible.collect()
}

/// Returns the first members that fit the limits on witnesses, per failure domain and in total.
fn spread_over_domains<'m>(ranked: impl Iterator<Item = &'m Member>) -> Vec<WitnessAddress> {
    let mut by_domain: BTreeMap<&DomainName, usize> = BTreeMap::new();
    let mut chosen: Vec<WitnessAddress> = Vec::new();
    for member in ranked {
        let in_domain = by_domain.entry(&member.info.domain).or_default();
        let chosen_before = chosen
            .iter()
            .any(|w| w.instance == member.info.session.instance);
        if chosen.len() < WITNESS_COUNT && *in_domain < WITNESSES_PER_DOMAIN_MAX && !chosen_before {
            *in_domain += 1;
            chosen.push(address_of(member));
        }
    }
    chosen
}

/// Returns the witness address of the member's process.
fn address_of(member: &Member) -> WitnessAddress {
    WitnessAddress {
        instance: member.info.session.instance,
        peer: member.info.peer,
    }
}
