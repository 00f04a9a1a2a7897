//! The planner for hashed keys: distribution, takeover, drains, witnesses, hot slices, and stable
//! plans.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use foxtaildrift::Document;
use foxtaildrift::Table;
use foxtaildrift::process::load_report::{LoadReport, SliceLoad};
use foxtaildrift::process::planner::{self, PlanInput};
use foxtaildrift::process::session_facts::SessionFacts;
use foxtaildrift::version::document_version::DocumentVersion;
use foxtaildrift::version::epoch::Epoch;
use foxtaildrift::version::instance_id::InstanceId;
use foxtaildrift::version::member::{CPU_SHARE_DEFAULT, MemberInfo, WEIGHT_FULL};
use foxtaildrift::version::session_id::SessionId;
use foxtaildrift::version::slice_id::SliceId;
use foxtaildrift::version::upstream::{Upstream, UpstreamBoot};

const DOCUMENT: &str = "services: {order-desk: {slices: 60}}";

/// A cell from the planner's point of view, in which every daemon adopts each table immediately.
struct Cell {
    table: Table,
    join_requests: BTreeMap<InstanceId, MemberInfo>,
    end_certificates: BTreeMap<SessionId, Epoch>,
    load_reports: BTreeMap<SessionId, LoadReport>,
}

fn session(n: u64) -> SessionId {
    SessionId {
        instance: InstanceId(n),
        tenure: 1,
    }
}

fn info(n: u64) -> MemberInfo {
    let address = |port| SocketAddr::from(([127, 0, 1, u8::try_from(n).unwrap()], port));
    MemberInfo {
        session: session(n),
        peer: address(7400),
        entry: address(8080),
        domain: format!("domain-{}", n % 3).parse().unwrap(),
        upstream: Some(Upstream {
            service: "order-desk".parse().unwrap(),
            address: address(9000),
            boot: UpstreamBoot(n),
            slots: 9,
            cold_slots: 3,
            connections: 110,
            checks_grants: true,
        }),
        leaving: false,
        weight: WEIGHT_FULL,
        cpu_share: CPU_SHARE_DEFAULT,
    }
}

impl Cell {
    fn new(members: u64) -> Self {
        let join_requests = (1..=members).map(|n| (InstanceId(n), info(n))).collect();
        let (end_certificates, load_reports) = (BTreeMap::new(), BTreeMap::new());
        let mut cell = Self {
            table: Table::default(),
            join_requests,
            end_certificates,
            load_reports,
        };
        cell.settle(DOCUMENT);
        cell
    }

    /// Runs the planner once; returns whether it made a new table.
    fn plan(&mut self, document: &str) -> bool {
        let document = Document::parse(document).unwrap();
        let epochs = self.table.members.keys().map(|&s| (s, self.table.epoch));
        let adopted: BTreeMap<_, _> = epochs.collect();
        let facts = SessionFacts {
            confirmed: adopted.clone(),
            adopted,
            ..SessionFacts::default()
        };
        let input = PlanInput {
            table: &self.table,
            document: &document,
            document_version: DocumentVersion::from(1_u64),
            join_requests: &self.join_requests,
            facts: &facts,
            end_certificates: &self.end_certificates,
            load_reports: &self.load_reports,
            planner: InstanceId(1),
        };
        let next = planner::plan(&input);
        let planned = next.is_some();
        self.table = next.unwrap_or(std::mem::take(&mut self.table));
        planned
    }

    /// Runs the planner until it makes no new table; returns the number of tables.
    fn settle(&mut self, document: &str) -> u32 {
        let plans = (0..50).take_while(|_| self.plan(document)).count();
        assert!(
            plans < 50,
            "the planner still changes the table after 50 plans"
        );
        u32::try_from(plans).unwrap()
    }

    fn slices_by_owner(&self) -> BTreeMap<SessionId, usize> {
        let mut slices_by_owner = BTreeMap::new();
        for (_, _, assignment) in self.table.assignments() {
            *slices_by_owner.entry(assignment.candidates[0]).or_default() += 1;
        }
        slices_by_owner
    }
}

#[test]
fn slices_are_spread_and_their_candidates_are_in_different_domains() {
    let cell = Cell::new(6);
    let slices_by_owner = cell.slices_by_owner();
    assert_eq!(slices_by_owner.len(), 6);
    assert!(
        slices_by_owner.values().all(|&n| (5..=15).contains(&n)),
        "{slices_by_owner:?}"
    );
    for (_, _, assignment) in cell.table.assignments() {
        let domain = |s: &SessionId| cell.table.members[s].info.domain.clone();
        let domains: BTreeSet<_> = assignment.candidates.iter().map(domain).collect();
        assert_eq!((assignment.candidates.len(), domains.len()), (3, 3));
    }
}

#[test]
fn witnesses_are_five_other_members_with_at_most_two_per_domain() {
    let cell = Cell::new(9);
    for (session, member) in &cell.table.members {
        assert_eq!(member.witnesses.len(), 1);
        let set = &member.witnesses[0];
        assert_eq!(set.0.len(), 5);
        assert!(!set.contains(session.instance));
        let mut by_domain: BTreeMap<u64, usize> = BTreeMap::new();
        for instance in set.instances() {
            *by_domain.entry(instance.0 % 3).or_default() += 1;
        }
        assert!(by_domain.values().all(|&n| n <= 2), "{by_domain:?}");
    }
}

#[test]
fn a_member_is_its_own_witness_if_the_number_of_others_is_even() {
    for (members, size) in [(1, 1), (2, 1), (3, 3), (4, 3), (5, 5)] {
        let cell = Cell::new(members);
        for member in cell.table.members.values() {
            assert_eq!(member.witnesses[0].0.len(), size, "{members} members");
        }
    }
}

#[test]
fn the_next_candidate_of_an_ended_owner_becomes_the_owner() {
    let mut cell = Cell::new(6);
    let before = cell.table.clone();
    cell.end_certificates.insert(session(1), before.epoch);
    cell.join_requests.remove(&InstanceId(1));
    cell.plan(DOCUMENT);
    for (service, slice, former) in before.assignments() {
        let now = cell.table.assignment(service, slice).unwrap();
        let next_candidate = former
            .candidates
            .iter()
            .find(|s| **s != session(1))
            .unwrap();
        assert_eq!(now.candidates[0], *next_candidate);
    }
}

#[test]
fn a_domain_out_of_service_owns_nothing_after_one_plan_and_is_refilled_gradually() {
    let mut cell = Cell::new(6);
    let out = format!("{DOCUMENT}\ndomains: {{domain-1: out}}");
    cell.plan(&out);
    assert!(cell.slices_by_owner().keys().all(|s| s.instance.0 % 3 != 1));
    cell.settle(&out);
    cell.plan(DOCUMENT);
    let returned = cell
        .slices_by_owner()
        .get(&session(1))
        .copied()
        .unwrap_or(0);
    assert!((1..=3).contains(&returned), "{returned}");
    cell.settle(DOCUMENT);
    assert!(cell.slices_by_owner()[&session(1)] >= 5);
}

#[test]
fn a_hot_slice_leaves_a_busy_owner_but_not_an_idle_one() {
    for (utilization, moves) in [(800, true), (100, false)] {
        let mut cell = Cell::new(3);
        let owner = session(1);
        let assignments = cell.table.assignments();
        let owned = assignments.filter(|(_, _, a)| a.candidates[0] == owner);
        let slices: Vec<SliceId> = owned.map(|(_, slice, _)| slice).collect();
        let (hot, other) = (slices[0], slices[1]);
        for n in 1..=3 {
            let (rate, slices) = if n == 1 {
                (400, vec![(hot, 150), (other, 50)])
            } else {
                (50, vec![])
            };
            let slice = |(slice, rate): (SliceId, u32)| SliceLoad { slice, rate };
            let report = LoadReport {
                session: Some(session(n)),
                epoch: cell.table.epoch,
                slices: slices.into_iter().map(slice).collect(),
                ranges: Vec::new(),
                rate,
                utilization,
                capacity: 1000,
            };
            cell.load_reports.insert(session(n), report);
        }
        cell.plan(DOCUMENT);
        let service = "order-desk".parse().unwrap();
        let now = cell.table.assignment(&service, hot).unwrap().candidates[0];
        assert_eq!(now != owner, moves, "utilization {utilization}");
        // The reports were measured under the previous table now, so nothing moves twice.
        let slices_by_owner = cell.slices_by_owner();
        cell.settle(DOCUMENT);
        assert_eq!(cell.slices_by_owner(), slices_by_owner);
    }
}

#[test]
fn a_table_of_the_last_epoch_does_not_stop_the_planner() {
    let mut cell = Cell::new(3);
    cell.table.epoch = Epoch(u64::MAX);
    cell.join_requests.insert(InstanceId(4), info(4));
    cell.plan(DOCUMENT);
    assert_eq!(cell.table.epoch, Epoch(u64::MAX));
}
