//! The planner for services that are sharded by key range.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use foxtaildrift::process::load_report::{LoadReport, RangeLoad};
use foxtaildrift::process::planner::{self, PlanInput};
use foxtaildrift::process::session_facts::SessionFacts;
use foxtaildrift::version::document_version::DocumentVersion;
use foxtaildrift::version::epoch::Epoch;
use foxtaildrift::version::instance_id::InstanceId;
use foxtaildrift::version::key_hash::KeyHash;
use foxtaildrift::version::member::{CPU_SHARE_DEFAULT, MemberInfo, WEIGHT_FULL};
use foxtaildrift::version::routing_config::{RoutingConfig, ServiceSettings};
use foxtaildrift::version::service_name::ServiceName;
use foxtaildrift::version::session_id::SessionId;
use foxtaildrift::version::upstream::{Upstream, UpstreamBoot};
use foxtaildrift::{Document, Table};

/// A cell from the planner's point of view, in which every daemon adopts each table immediately.
struct Cell {
    table: Table,
    document: Document,
    join_requests: BTreeMap<InstanceId, MemberInfo>,
    end_certificates: BTreeMap<SessionId, Epoch>,
    load_reports: BTreeMap<SessionId, LoadReport>,
    /// The epoch after which a session has announced no release.
    stalled: BTreeMap<SessionId, Epoch>,
}

fn service() -> ServiceName {
    "order-desk".parse().unwrap()
}

fn session(n: u64) -> SessionId {
    SessionId {
        instance: InstanceId(n),
        tenure: 1,
    }
}

/// Returns the member info of process `n` on host `host`.
fn info(n: u64, host: u64) -> MemberInfo {
    let address = |port| SocketAddr::from(([127, 0, 1, u8::try_from(host).unwrap()], port));
    MemberInfo {
        session: session(n),
        peer: address(7400),
        entry: address(8080),
        domain: format!("domain-{}", host % 3).parse().unwrap(),
        upstream: Some(Upstream {
            service: service(),
            address: address(9000),
            boot: UpstreamBoot(host),
            slots: 9,
            cold_slots: 1,
            connections: 1,
            checks_grants: true,
        }),
        leaving: false,
        weight: WEIGHT_FULL,
        cpu_share: CPU_SHARE_DEFAULT,
    }
}

impl Cell {
    fn new(members: u64) -> Self {
        let mut routing_config = RoutingConfig::default();
        let settings = ServiceSettings {
            sharded: true,
            ..ServiceSettings::default()
        };
        routing_config.services.insert(service(), settings);
        let mut cell = Self {
            table: Table::default(),
            document: routing_config.document(),
            join_requests: (1..=members).map(|n| (InstanceId(n), info(n, n))).collect(),
            end_certificates: BTreeMap::new(),
            load_reports: BTreeMap::new(),
            stalled: BTreeMap::new(),
        };
        cell.settle();
        cell
    }

    /// Runs the planner once; returns whether it made a new table.
    fn plan(&mut self) -> bool {
        let adopted = self.table.members.keys().map(|&s| (s, self.table.epoch));
        let mut adopted: BTreeMap<_, _> = adopted.collect();
        adopted.extend(&self.stalled);
        let facts = SessionFacts {
            confirmed: adopted.clone(),
            adopted,
            ..SessionFacts::default()
        };
        let next = planner::plan(&PlanInput {
            table: &self.table,
            document: &self.document,
            document_version: DocumentVersion::from(1_u64),
            join_requests: &self.join_requests,
            facts: &facts,
            end_certificates: &self.end_certificates,
            load_reports: &self.load_reports,
            planner: InstanceId(1),
        });
        let planned = next.is_some();
        if let Some(next) = next {
            self.end_certificates
                .retain(|s, _| next.members.contains_key(s));
            self.table = next;
        }
        planned
    }

    /// Runs the planner until it makes no new table.
    fn settle(&mut self) {
        let mut plans = 0;
        while self.plan() {
            plans += 1;
            assert!(
                plans < 30,
                "the planner still changes the table after 30 plans"
            );
        }
    }

    /// Returns the owner of a key.
    fn owner(&self, key: u16) -> SessionId {
        let slices = &self.table.services[&service()];
        let slice = slices.slice_of(KeyHash(key.into())).unwrap();
        slices.assignment(slice).unwrap().candidates[0]
    }

    /// Returns the owners in the order of the keys, with adjacent equal ones merged.
    fn owners(&self) -> Vec<SessionId> {
        let slices = self.table.services[&service()].slices.iter();
        let mut owners: Vec<SessionId> = slices.map(|a| a.candidates[0]).collect();
        owners.dedup();
        owners
    }

    /// Records a load report of process `n`, in per mille of an upstream's slots.
    fn report_load(&mut self, n: u64, utilization: u32, ranges: Vec<RangeLoad>) {
        let report = LoadReport {
            session: Some(session(n)),
            epoch: self.table.epoch,
            ranges,
            utilization,
            capacity: 1000,
            ..LoadReport::default()
        };
        self.load_reports.insert(session(n), report);
    }

    fn range(&self, key: u16, utilization: u32, split_keys: &[u16]) -> RangeLoad {
        let slices = &self.table.services[&service()];
        RangeLoad {
            slice: slices.slice_of(KeyHash(key.into())).unwrap(),
            utilization,
            split_keys: split_keys.to_vec(),
        }
    }
}

#[test]
fn each_owner_gets_adjacent_ranges() {
    let cell = Cell::new(6);
    assert_eq!(cell.owners().len(), 6);
    let assignments = cell.table.services[&service()].slices.iter();
    for assignment in assignments {
        let domain = |s: &SessionId| cell.table.members[s].info.domain.clone();
        let mut domains: Vec<_> = assignment.candidates.iter().map(domain).collect();
        assert_eq!(domains.len(), 3);
        domains.dedup();
        assert_eq!(
            domains.len(),
            3,
            "candidates are in different failure domains"
        );
    }
}

#[test]
fn a_busy_range_is_split_and_its_parts_move_to_idle_upstreams() {
    // Busy keys are adjacent, so ranges of equal width left a quarter of the load on one upstream
    // (run quiet-1).
    let mut cell = Cell::new(6);
    let hot = cell.owner(0);
    let whole = cell.range(0, 900, &[10, 30, 100]);
    cell.report_load(hot.instance.0, 900, vec![whole]);
    for n in (1..=6).filter(|&n| session(n) != hot) {
        cell.report_load(n, 100, vec![]);
    }
    cell.plan();
    let owners: Vec<SessionId> = [0, 10, 30, 100].map(|key| cell.owner(key)).to_vec();
    assert!(owners.iter().any(|&o| o != hot), "{owners:?}");
    assert!(
        owners.contains(&hot),
        "the former owner keeps a part of the range"
    );
}

#[test]
fn a_split_changes_no_fencing_token() {
    let mut cell = Cell::new(3);
    let owner = cell.owner(0);
    let since = |cell: &Cell| {
        let slices = &cell.table.services[&service()];
        slices.slices[slices
            .index_of(slices.slice_of(KeyHash(0)).unwrap())
            .unwrap()]
        .since
    };
    let before = since(&cell);
    let whole = cell.range(0, 400, &[10]);
    cell.report_load(owner.instance.0, 400, vec![whole]);
    assert!(cell.plan());
    assert_eq!(since(&cell), before);
    assert_eq!(cell.owner(0), cell.owner(10));
}

#[test]
fn keys_return_to_the_process_with_the_same_upstream() {
    // After all daemon processes had been killed, keys were assigned to other upstreams and
    // requests were slow for seconds (run scale-1).
    let mut cell = Cell::new(6);
    let before: Vec<u64> = (0..64).map(|n| cell.owner(n * 1024).instance.0).collect();
    for n in 1..=6 {
        cell.end_certificates.insert(session(n), cell.table.epoch);
    }
    cell.join_requests = (1..=6)
        .map(|n| (InstanceId(n + 10), info(n + 10, n)))
        .collect();
    cell.settle();
    let after: Vec<u64> = (0..64)
        .map(|n| cell.owner(n * 1024).instance.0 - 10)
        .collect();
    assert_eq!(before, after);
}

#[test]
fn ranges_of_an_ended_owner_are_spread_and_a_new_owner_gets_its_share() {
    let mut cell = Cell::new(4);
    cell.end_certificates.insert(session(2), cell.table.epoch);
    cell.join_requests.remove(&InstanceId(2));
    cell.settle();
    assert!(!cell.owners().contains(&session(2)));
    cell.join_requests.insert(InstanceId(9), info(9, 9));
    cell.settle();
    let owned = (0..64)
        .filter(|n| cell.owner(n * 1024) == session(9))
        .count();
    assert!((8..=20).contains(&owned), "{owned}");
}

#[test]
fn the_encoded_table_is_small_and_a_truncated_one_is_rejected() {
    let cell = Cell::new(6);
    let bytes = postcard::to_stdvec(&cell.table).unwrap();
    assert!(bytes.len() < 8000, "{}", bytes.len());
    assert_eq!(postcard::from_bytes::<Table>(&bytes).unwrap(), cell.table);
    for cut in (0..bytes.len()).step_by(7) {
        assert!(postcard::from_bytes::<Table>(&bytes[..cut]).is_err());
    }
}

#[test]
fn load_moves_despite_a_missing_report_and_an_owner_with_one_immovable_range() {
    // One missing report among 58 blocked all moves (run quiet-1 of karite-sud-grown).
    let mut cell = Cell::new(8);
    let (hot, immovable) = (cell.owner(0), cell.owner(65_535));
    let ranges = vec![cell.range(0, 300, &[]), cell.range(256, 300, &[])];
    cell.report_load(hot.instance.0, 600, ranges);
    let single = vec![cell.range(65_535, 1000, &[])];
    cell.report_load(immovable.instance.0, 1000, single);
    let others = (1..=8).filter(|&n| ![hot, immovable].contains(&session(n)));
    for n in others.skip(1) {
        cell.report_load(n, 0, vec![]);
    }
    assert!(cell.plan());
    assert!([0, 256].iter().any(|&key| cell.owner(key) != hot));
    assert_eq!(cell.owner(65_535), immovable);
}

#[test]
fn adjacent_idle_ranges_are_merged_if_there_are_many_ranges() {
    let mut cell = Cell::new(3);
    for first in (0..30_000u16).step_by(1000) {
        let owner = cell.owner(first);
        let split_keys: Vec<u16> = (1..=16).map(|n| first + n * 10).collect();
        let busy = cell.range(first, 130, &split_keys);
        cell.load_reports.clear();
        cell.report_load(owner.instance.0, 130, vec![busy]);
        cell.plan();
        if cell.table.services[&service()].slices.len() > 512 {
            break;
        }
    }
    let many = cell.table.services[&service()].slices.len();
    assert!(many > 512, "{many}");
    let before: Vec<SessionId> = (0..=u16::MAX).map(|key| cell.owner(key)).collect();
    let epoch = cell.table.epoch;
    cell.load_reports.clear();
    cell.settle();
    let slices = &cell.table.services[&service()].slices;
    assert!(slices.len() <= 512, "{}", slices.len());
    let after: Vec<SessionId> = (0..=u16::MAX).map(|key| cell.owner(key)).collect();
    assert_eq!(before, after);
    assert!(
        slices.iter().all(|a| a.since <= epoch),
        "no fencing token changes"
    );
}

#[test]
fn no_further_ranges_leave_an_upstream_that_still_releases_the_ones_before() {
    // Pattern: an upstream is overloaded while its requests take long. It can release ranges only
    // as these end, and its load stays as high as before. If more ranges left it with each table,
    // most of its keys would wait for their former owner and be served by nobody.
    let mut cell = Cell::new(6);
    let owner = cell.owner(0);
    let busy = |cell: &mut Cell| {
        let keys: Vec<u16> = (0..64u16).map(|n| n * 128).collect();
        let owned: Vec<u16> = keys
            .into_iter()
            .filter(|&k| cell.owner(k) == owner)
            .collect();
        let ranges: Vec<RangeLoad> = owned.iter().map(|&k| cell.range(k, 110, &[])).collect();
        let total = u32::try_from(ranges.len()).unwrap() * 110;
        cell.report_load(owner.instance.0, total, ranges);
        for other in cell.owners() {
            if other != owner {
                cell.report_load(other.instance.0, 20, Vec::new());
            }
        }
    };
    let owned = |cell: &Cell| {
        let keys = (0..=u16::MAX).step_by(64);
        keys.filter(|&k| cell.owner(k) == owner).count()
    };
    busy(&mut cell);
    let before = owned(&cell);
    assert!(cell.plan());
    let after = owned(&cell);
    assert!(after < before, "the first ranges leave");
    // It has not released them, and reports the same load.
    cell.stalled.insert(owner, Epoch(cell.table.epoch.0 - 1));
    for _ in 0..5 {
        busy(&mut cell);
        cell.plan();
    }
    assert_eq!(owned(&cell), after);
    // Once they are released, the next ones leave.
    cell.stalled.clear();
    busy(&mut cell);
    cell.plan();
    assert!(owned(&cell) < after);
}

#[test]
fn load_reports_with_the_largest_numbers_do_not_stop_the_planner() {
    // Guards against an odd report of one daemon that ends the planner's thread on another.
    let mut cell = Cell::new(6);
    for n in 1..=6 {
        let owned = (0..64)
            .map(|part| part * 1024)
            .filter(|&key| cell.owner(key) == session(n));
        let split_keys: Vec<u16> = (0..=u16::MAX).rev().step_by(7).collect();
        let ranges = owned
            .map(|key| cell.range(key, u32::MAX, &split_keys))
            .collect();
        cell.report_load(n, u32::MAX, ranges);
    }
    cell.plan();
    cell.report_load(6, 0, Vec::new());
    cell.plan();
    assert!(!cell.owners().is_empty());
}
