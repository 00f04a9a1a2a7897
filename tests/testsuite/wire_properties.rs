//! What daemons send each other, damaged: no message ends a thread of its receiver.
//!
//! A message that is damaged mostly can't be decoded; one that still can be has odd contents, such as
//! the largest numbers, and goes through the code that uses it.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use foxtaildrift::Table;
use foxtaildrift::connection::frame;
use foxtaildrift::connection::peer_frame::PeerFrame;
use foxtaildrift::connection::peer_message::{
    KeyHandover, KeyRate, PeerReply, PeerRequest, SliceHandover,
};
use foxtaildrift::connection::protocol::KeyRange;
use foxtaildrift::process::datagram::{Datagram, Message};
use foxtaildrift::process::join_request::JoinRequest;
use foxtaildrift::process::lease_times::LeaseTimes;
use foxtaildrift::process::load_report::{LoadReport, RangeLoad, SliceLoad};
use foxtaildrift::process::moment::Moment;
use foxtaildrift::process::ownership::Ownership;
use foxtaildrift::process::planner::{self, PlanInput};
use foxtaildrift::process::quota_message::{TeamGrant, TeamTokens};
use foxtaildrift::process::session_facts::SessionFacts;
use foxtaildrift::request::body::Body;
use foxtaildrift::request::fingerprint::Fingerprint;
use foxtaildrift::request::headers::Headers;
use foxtaildrift::request::quarantine::CrashSuspect;
use foxtaildrift::request::records::SliceRecords;
use foxtaildrift::request::request_kind::RequestKind;
use foxtaildrift::request::shard_key::ShardKey;
use foxtaildrift::request::upstream_load::UpstreamLoad;
use foxtaildrift::request::upstream_outcome::{NotRunCause, UpstreamOutcome};
use foxtaildrift::request::upstream_request::UpstreamRequest;
use foxtaildrift::version::api_key::ApiKeyDigest;
use foxtaildrift::version::burst::Burst;
use foxtaildrift::version::departed_process::DepartedProcess;
use foxtaildrift::version::document_version::DocumentVersion;
use foxtaildrift::version::epoch::Epoch;
use foxtaildrift::version::instance_id::InstanceId;
use foxtaildrift::version::member::{CPU_SHARE_DEFAULT, MemberInfo, WEIGHT_FULL};
use foxtaildrift::version::request_rate::RequestRate;
use foxtaildrift::version::routing_config::{RoutingConfig, ServiceSettings};
use foxtaildrift::version::service_name::ServiceName;
use foxtaildrift::version::session_id::SessionId;
use foxtaildrift::version::slice_id::SliceId;
use foxtaildrift::version::table_delta::TableDelta;
use foxtaildrift::version::team::Team;
use foxtaildrift::version::teams::Teams;
use foxtaildrift::version::upstream::{Upstream, UpstreamBoot};
use proptest::collection;
use proptest::prelude::{Just, Strategy, any, prop_oneof};
use proptest::sample::{Index, select};
use proptest::test_runner::{Config, RngSeed, TestRunner};

const CELL_HASH: u64 = 1;
/// The seed of all cases, so that each run checks the same ones.
const SEED: u64 = 20_260_805;
/// The number of cases of a property.
const CASES: u32 = 2000;
/// The number of cases of a property that runs the planner.
const PLANNER_CASES: u32 = 1500;

/// The number of bytes in which a message has its first numbers.
const HEAD_BYTES: usize = 12;
/// The least share of the cases, in percent, in which a damaged message must still be decoded: what
/// uses it is checked in no other case.
const DECODED_PERCENT_MIN: u32 = 20;

/// A change of an encoded message.
#[derive(Clone, Debug)]
enum Damage {
    /// Overwrites a byte.
    Set(Index, u8),
    /// Overwrites the number at a position with the largest one of a width in bits.
    Largest(Index, u32),
    /// Does so at one of the first bytes, where the numbers of the whole message are.
    LargestInHead(usize, u32),
    /// Inserts a byte.
    Insert(Index, u8),
    /// Removes a byte.
    Remove(Index),
    /// Drops all bytes from a position.
    Truncate(Index),
}

/// Returns the width of a number, in bits.
fn width() -> impl Strategy<Value = u32> {
    select(vec![16, 32, 64])
}

fn damage() -> impl Strategy<Value = Damage> {
    prop_oneof![
        4 => (any::<Index>(), any::<u8>()).prop_map(|(i, b)| Damage::Set(i, b)),
        4 => (any::<Index>(), width()).prop_map(|(i, w)| Damage::Largest(i, w)),
        2 => (0..HEAD_BYTES, width()).prop_map(|(i, w)| Damage::LargestInHead(i, w)),
        1 => (any::<Index>(), any::<u8>()).prop_map(|(i, b)| Damage::Insert(i, b)),
        1 => any::<Index>().prop_map(Damage::Remove),
        1 => any::<Index>().prop_map(Damage::Truncate),
    ]
}

/// Returns `bytes` with the damages.
fn damaged(bytes: &[u8], damages: &[Damage]) -> Vec<u8> {
    let mut bytes = bytes.to_vec();
    for damage in damages {
        if bytes.is_empty() {
            break;
        }
        let length = bytes.len();
        match damage {
            Damage::Set(index, byte) => bytes[index.index(length)] = *byte,
            Damage::Largest(index, width) => set_largest(&mut bytes, index.index(length), *width),
            Damage::LargestInHead(index, width) => {
                set_largest(&mut bytes, (*index).min(length - 1), *width);
            }
            Damage::Insert(index, byte) => bytes.insert(index.index(length), *byte),
            Damage::Remove(index) => drop(bytes.remove(index.index(length))),
            Damage::Truncate(index) => bytes.truncate(index.index(length)),
        }
    }
    bytes
}

/// Overwrites the number that begins at `start` with the largest one of `width` bits.
fn set_largest(bytes: &mut Vec<u8>, start: usize, width: u32) {
    // All bytes of a number but the last have the high bit.
    let number = bytes[start..].iter().take_while(|b| **b >= 0x80).count() + 1;
    let end = (start + number).min(bytes.len());
    let largest = postcard::to_stdvec(&(u64::MAX >> (u64::BITS - width)));
    bytes.splice(start..end, largest.expect("a number can be encoded"));
}

/// Checks a property of `cases` values of `strategy`, the same ones in each run; returns the share of
/// the cases in which the value was decoded, as the property returns it, in percent.
fn check<S: Strategy>(cases: u32, strategy: S, property: impl Fn(S::Value) -> bool) -> u32 {
    let config = Config {
        cases,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    };
    let decoded = Cell::new(0);
    let result = TestRunner::new(config).run(&strategy, |value| {
        decoded.set(decoded.get() + u32::from(property(value)));
        Ok(())
    });
    result.unwrap_or_else(|e| panic!("{e}"));
    decoded.get() * 100 / cases
}

/// Checks a property as [`check`] does, and that enough values were decoded.
fn check_decoded<S: Strategy>(cases: u32, strategy: S, property: impl Fn(S::Value) -> bool) {
    let percent = check(cases, strategy, property);
    assert!(
        percent >= DECODED_PERCENT_MIN,
        "only {percent} % were decoded"
    );
}

/// Returns one of `messages`, damaged.
fn damaged_one_of(messages: Vec<Vec<u8>>) -> impl Strategy<Value = Vec<u8>> {
    let messages = Just(Arc::new(messages));
    let chosen = (messages, any::<Index>(), collection::vec(damage(), 0..4));
    chosen.prop_map(|(messages, index, damages)| {
        damaged(&messages[index.index(messages.len())], &damages)
    })
}

fn session(n: u64) -> SessionId {
    SessionId {
        instance: InstanceId(n),
        tenure: 1,
    }
}

fn service() -> ServiceName {
    "order-desk".parse().unwrap()
}

fn info(n: u64) -> MemberInfo {
    let octet = u8::try_from(n).unwrap();
    MemberInfo {
        session: session(n),
        peer: ([127, 0, 1, octet], 7400).into(),
        entry: ([127, 0, 1, octet], 8080).into(),
        domain: format!("domain-{}", n % 3).parse().unwrap(),
        upstream: Some(Upstream {
            service: service(),
            address: ([127, 0, 1, octet], 9000).into(),
            boot: UpstreamBoot(n),
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

fn routing_config() -> RoutingConfig {
    let settings = ServiceSettings {
        sharded: true,
        ..ServiceSettings::default()
    };
    let team = Team {
        name: "hule930".parse().unwrap(),
        priority: Some(1),
        rate: RequestRate::try_from(387.5).ok(),
        burst: Burst(9),
    };
    RoutingConfig {
        version: DocumentVersion::from(5_u64),
        teams: Some(Teams::new([(team, vec![ApiKeyDigest::of(b"k")])])),
        services: BTreeMap::from([(service(), settings)]),
        ..RoutingConfig::default()
    }
}

fn join_requests() -> BTreeMap<InstanceId, MemberInfo> {
    (1..=4).map(|n| (InstanceId(n), info(n))).collect()
}

fn facts(epoch: u64) -> SessionFacts {
    let adopted: BTreeMap<_, _> = (1..=4).map(|n| (session(n), Epoch(epoch))).collect();
    SessionFacts {
        confirmed: adopted.clone(),
        adopted,
        ended: BTreeMap::from([(session(4), BTreeMap::from([(InstanceId(2), Epoch(1))]))]),
        resigned: BTreeMap::from([(session(3), Epoch(1))]),
    }
}

fn load_report(n: u64) -> LoadReport {
    let range = |slice| RangeLoad {
        slice: SliceId(slice),
        utilization: 300,
        split_keys: vec![10, 20, 300],
    };
    LoadReport {
        session: Some(session(n)),
        epoch: Epoch(3),
        slices: vec![SliceLoad {
            slice: SliceId(0),
            rate: 9,
        }],
        ranges: (0..64).map(|part| range(part * 1024)).collect(),
        rate: 90,
        utilization: 700,
        capacity: 1000,
    }
}

/// Returns the table that the planner makes of `table`, if it makes one.
fn next_table(
    table: &Table,
    joins: &BTreeMap<InstanceId, MemberInfo>,
    facts: &SessionFacts,
    load_reports: &BTreeMap<SessionId, LoadReport>,
) -> Option<Table> {
    planner::plan(&PlanInput {
        table,
        document: &routing_config().document(),
        document_version: DocumentVersion::from(5_u64),
        join_requests: joins,
        facts,
        end_certificates: &BTreeMap::new(),
        load_reports,
        planner: InstanceId(1),
    })
}

/// Returns a table of four members in which no change is in progress.
fn settled_table() -> Table {
    let mut table = Table::default();
    for _ in 0..20 {
        let adopted: BTreeMap<_, _> = (1..=4).map(|n| (session(n), table.epoch)).collect();
        let facts = SessionFacts {
            confirmed: adopted.clone(),
            adopted,
            ..SessionFacts::default()
        };
        match next_table(&table, &join_requests(), &facts, &BTreeMap::new()) {
            Some(next) => table = next,
            None => break,
        }
    }
    table
}

/// Returns a daemon that has adopted `table`, at the time that follows.
fn daemon(table: &Table) -> (Ownership, Moment) {
    let now = Moment::from_millis(5000);
    let mut daemon = Ownership::new(CELL_HASH, LeaseTimes::default(), info(1), now, 7);
    daemon.adopt_table(now, Arc::new(table.clone()));
    (daemon, now)
}

/// Does what a daemon does in the seconds after a message.
fn run_for_a_while(daemon: &mut Ownership, mut now: Moment) {
    for _ in 0..6 {
        daemon.tick(now);
        daemon.served_slices(now);
        daemon.take_actions();
        now = now + Duration::from_millis(400);
    }
}

fn team_tokens() -> TeamTokens {
    let team = "hule930".parse().expect("a name");
    TeamTokens { team, tokens: 7 }
}

fn datagrams() -> Vec<Vec<u8>> {
    let fingerprint = Fingerprint::default();
    let boot = UpstreamBoot(9);
    let messages = vec![
        Message::Renew {
            session: session(1),
            sent: Moment::from_millis(4000),
            epoch: Epoch(3),
        },
        Message::Grant {
            session: session(1),
            sent: Moment::from_millis(4900),
            epoch: Epoch(3),
            routing_age: Some(Duration::from_millis(700)),
        },
        Message::Facts(facts(3)),
        Message::QueryAdopted,
        Message::Join(Box::new(JoinRequest {
            info: info(5),
            is_member: true,
        })),
        Message::Load(Box::new(load_report(2))),
        Message::Suspects(vec![CrashSuspect { fingerprint, boot }]),
        Message::Cleared(fingerprint),
        Message::QuotaAsk {
            sent: Moment::from_millis(4000),
            teams: vec![team_tokens()],
        },
        Message::QuotaGrant {
            sent: Moment::from_millis(4000),
            teams: vec![TeamGrant {
                team: team_tokens().team,
                tokens: 3,
                next_token_in: Duration::from_millis(2),
            }],
        },
        Message::QuotaHandover(vec![team_tokens()]),
    ];
    let datagrams = messages.into_iter().map(|message| Datagram {
        cell_hash: CELL_HASH,
        from: InstanceId(2),
        peer: info(2).peer,
        epoch: Epoch(3),
        document_version: DocumentVersion::from(5_u64),
        message,
    });
    datagrams.map(|d| d.encode().unwrap()).collect()
}

fn upstream_request() -> UpstreamRequest {
    UpstreamRequest {
        id: "r-1".to_owned(),
        service: service(),
        origin: service(),
        method: "GET".to_owned(),
        target: "/x/".to_owned(),
        headers: Headers::default(),
        team: Some("hule930".parse().unwrap()),
        key: Some(ShardKey(77)),
        repeatable: true,
        kind: RequestKind::default(),
        priority: 1,
        remaining: Duration::from_secs(2),
        objective: Duration::from_millis(400),
        attempt: 1,
        body: Body(vec![1, 2, 3].into()),
    }
}

fn departed_process() -> DepartedProcess {
    DepartedProcess {
        instance: "i-7f3a".to_owned(),
        started_ms: Some(1_780_000_000_000),
    }
}

fn peer_requests() -> Vec<PeerRequest> {
    let instance = InstanceId(1);
    let keys = KeyRange {
        first: ShardKey(5),
        last: ShardKey(900),
    };
    let host = ([10, 0, 0, 1], 8146).into();
    vec![
        PeerRequest::FetchTable { known: Epoch(2) },
        PeerRequest::Dispatch {
            instance,
            request: Box::new(upstream_request()),
        },
        PeerRequest::FetchOutcome {
            instance,
            id: "r-1".to_owned(),
            attempt: 1,
            remaining: Duration::from_secs(1),
        },
        PeerRequest::ReserveBody {
            instance,
            id: "r-1".to_owned(),
            attempt: 1,
            bytes: 70_000,
        },
        PeerRequest::TransferKeys(vec![KeyHandover {
            service: service(),
            keys,
            handover: Some("5c0e".to_owned()),
            rates: vec![KeyRate {
                key: ShardKey(7),
                rate: 2.5,
            }],
        }]),
        PeerRequest::HoldDepartures {
            host,
            processes: vec![departed_process()],
        },
        PeerRequest::FetchDepartures { host },
        PeerRequest::TransferRecords(vec![SliceHandover {
            service: service(),
            slice: SliceId(5),
            since: Epoch(2),
            records: SliceRecords::default(),
        }]),
    ]
}

fn peer_replies() -> Vec<PeerReply> {
    let table = settled_table();
    let mut changed = table.clone();
    changed.epoch = changed.epoch.next();
    changed.members.remove(&session(4));
    vec![
        PeerReply::NotServing("busy".to_owned()),
        PeerReply::Departures(vec![departed_process()]),
        PeerReply::TableDelta(Arc::new(TableDelta::between(&table, &changed))),
        PeerReply::Table(Some(Arc::new(table))),
        PeerReply::Completed {
            outcome: Box::new(UpstreamOutcome::not_run(
                NotRunCause::Shed,
                Duration::from_millis(20),
            )),
            load: UpstreamLoad::default(),
        },
        PeerReply::RoutingConfig(Some(Box::new(routing_config()))),
    ]
}

fn frames() -> Vec<Vec<u8>> {
    let number = 7;
    let calls = peer_requests().into_iter().map(|request| {
        let request = std::borrow::Cow::Owned(request);
        frame::encode(&PeerFrame::Call { number, request }).unwrap()
    });
    let replies = peer_replies().into_iter().map(|reply| {
        let reply = std::borrow::Cow::Owned(reply);
        frame::encode(&PeerFrame::Reply { number, reply }).unwrap()
    });
    calls.chain(replies).collect()
}

#[test]
fn no_bytes_make_a_decoder_panic() {
    check(CASES, collection::vec(any::<u8>(), 0..400), |bytes| {
        let decoded = [
            Datagram::decode(&bytes).is_ok(),
            frame::decode::<PeerFrame<'static>>(&bytes).is_ok(),
            Table::decode(&bytes).is_ok(),
            postcard::from_bytes::<TableDelta>(&bytes).is_ok(),
            postcard::from_bytes::<MemberInfo>(&bytes).is_ok(),
            postcard::from_bytes::<RoutingConfig>(&bytes).is_ok(),
        ];
        decoded.contains(&true)
    });
}

#[test]
fn a_damaged_frame_is_refused_or_handled() {
    check_decoded(CASES, damaged_one_of(frames()), |bytes| {
        let Ok(Some((decoded, used))) = frame::decode::<PeerFrame<'static>>(&bytes) else {
            return false;
        };
        assert!(used <= bytes.len());
        if let PeerFrame::Call { request, .. } = decoded {
            let waited = request.into_owned().after_waiting(Duration::from_secs(1));
            assert!(!waited.kind().is_empty());
        }
        true
    });
}

#[test]
fn a_damaged_datagram_does_not_stop_the_daemon() {
    let table = settled_table();
    check_decoded(CASES, damaged_one_of(datagrams()), |bytes| {
        let Ok(datagram) = Datagram::decode(&bytes) else {
            return false;
        };
        let (mut daemon, now) = daemon(&table);
        daemon.receive(now, datagram);
        run_for_a_while(&mut daemon, now);
        true
    });
}

#[test]
fn a_damaged_table_does_not_stop_the_daemon_or_the_planner() {
    let table = settled_table();
    let encoded = postcard::to_stdvec(&table).unwrap();
    let reports = BTreeMap::from([(session(2), load_report(2))]);
    check_decoded(PLANNER_CASES, damaged_one_of(vec![encoded]), |bytes| {
        let Ok(odd) = postcard::from_bytes::<Table>(&bytes) else {
            return false;
        };
        let (mut daemon, now) = daemon(&odd);
        run_for_a_while(&mut daemon, now);
        next_table(&odd, &join_requests(), &facts(odd.epoch.0), &reports);
        let delta = TableDelta::between(&table, &odd);
        assert_eq!(delta.apply(&table), Ok(odd));
        true
    });
}

#[test]
fn damaged_joins_facts_and_reports_do_not_stop_the_planner() {
    let table = settled_table();
    let inputs = (
        info(5),
        facts(table.epoch.0),
        load_report(2),
        load_report(3),
    );
    let encoded = postcard::to_stdvec(&inputs).unwrap();
    check_decoded(PLANNER_CASES, damaged_one_of(vec![encoded]), |bytes| {
        let Ok((join, facts, first, second)) = postcard::from_bytes(&bytes) else {
            return false;
        };
        let mut joins = join_requests();
        joins.insert(InstanceId(5), join);
        let reports: BTreeMap<SessionId, LoadReport> =
            BTreeMap::from([(session(2), first), (session(3), second)]);
        if let Some(next) = next_table(&table, &joins, &facts, &reports) {
            next_table(&next, &joins, &facts, &reports);
            let (mut daemon, now) = daemon(&next);
            run_for_a_while(&mut daemon, now);
        }
        true
    });
}
