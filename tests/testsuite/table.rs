//! Decoding of odd assignment tables.

use std::collections::BTreeMap;

use foxtaildrift::Table;
use foxtaildrift::connection::frame;
use foxtaildrift::connection::peer_message::PeerReply;
use foxtaildrift::version::assignment::Assignment;
use foxtaildrift::version::epoch::Epoch;
use foxtaildrift::version::instance_id::InstanceId;
use foxtaildrift::version::session_id::SessionId;
use foxtaildrift::version::table::ServiceSlices;
use foxtaildrift::version::table_delta::TableDelta;
use foxtaildrift::version::table_error::TableError;

/// The encoded form of the slices of a service: runs of equal assignments, and the first keys.
type Slices = (Vec<(u32, Assignment)>, Vec<u16>);

/// Returns the encoded form of a service with one run of `length` slices.
fn run(length: u32, assignment: &Assignment) -> Slices {
    (vec![(length, assignment.clone())], Vec::new())
}

/// Encodes a table with these services.
fn encoded_table(services: &BTreeMap<String, Slices>) -> Vec<u8> {
    let members: BTreeMap<u8, u8> = BTreeMap::new();
    let table = (Epoch(3), Epoch(0), InstanceId(1), members, services);
    postcard::to_stdvec(&table).unwrap()
}

/// Encodes what changes a table without services to one with these.
fn encoded_delta(services: &BTreeMap<String, Slices>) -> Vec<u8> {
    let none: Vec<u8> = Vec::new();
    // The first kind of change replaces all slices of a service.
    let changed = services.iter().map(|(name, slices)| (name, (0u8, slices)));
    let changed: BTreeMap<_, _> = changed.collect();
    let members = (&none, &none, &none);
    let delta = (
        Epoch(2),
        Epoch(3),
        Epoch(0),
        InstanceId(1),
        members,
        changed,
        0u64,
    );
    postcard::to_stdvec(&delta).unwrap()
}

fn base() -> Table {
    Table {
        epoch: Epoch(2),
        ..Table::default()
    }
}

fn services(count: u32, slices: &Slices) -> BTreeMap<String, Slices> {
    let names = (0..count).map(|n| format!("s{n}"));
    names.map(|name| (name, slices.clone())).collect()
}

#[test]
fn a_small_encoded_table_does_not_fill_the_memory() {
    // Guards against a message of some bytes that makes its receiver allocate gigabytes: runs of
    // equal assignments are encoded once.
    let session = SessionId {
        instance: InstanceId(7),
        tenure: 1,
    };
    let crowded = Assignment {
        candidates: vec![session; 200],
        ..Assignment::default()
    };
    let cases = [
        services(130, &run(65_536, &Assignment::default())),
        services(1, &run(65_536, &crowded)),
    ];
    for services in cases {
        let bytes = encoded_table(&services);
        assert!(bytes.len() < 5000);
        assert!(Table::decode(&bytes).is_err());
        let delta: TableDelta = postcard::from_bytes(&encoded_delta(&services)).unwrap();
        assert!(delta.apply(&base()).is_err());
    }
}

#[test]
fn the_largest_services_fit_into_a_table() {
    let session = |n| SessionId {
        instance: InstanceId(n),
        tenure: 1,
    };
    let assignment = Assignment {
        candidates: vec![session(1), session(2), session(3)],
        since: Epoch(1),
        ..Assignment::default()
    };
    let services = services(64, &run(4096, &assignment));
    let table = Table::decode(&encoded_table(&services)).unwrap();
    assert_eq!(table.services.len(), 64);
    assert_eq!(
        postcard::to_stdvec(&table).unwrap(),
        encoded_table(&services)
    );
    let reply = PeerReply::Table(Some(table.into()));
    let bytes = frame::encode(&reply).unwrap();
    let decoded = frame::decode::<PeerReply>(&bytes).unwrap();
    assert_eq!(decoded, Some((reply, bytes.len())));
}

#[test]
fn a_table_that_none_can_follow_is_refused() {
    let refused = |epoch: u64| {
        let table = Table {
            epoch: Epoch(epoch),
            ..Table::default()
        };
        Table::decode(&postcard::to_stdvec(&table).unwrap()).err()
    };
    assert_eq!(refused(Epoch::LAST.0), None);
    for epoch in [Epoch::LAST.0 + 1, u64::MAX] {
        let expected = TableError::EpochTooLarge(Epoch(epoch));
        assert_eq!(refused(epoch), Some(expected));
    }
}

#[test]
fn a_table_with_a_slice_that_could_never_be_served_is_refused() {
    let mut table = base();
    let mut slices = ServiceSlices::ranged(2);
    slices.slices[1].since = Epoch(3);
    table.services.insert("desk".parse().unwrap(), slices);
    let refused = Table::decode(&postcard::to_stdvec(&table).unwrap());
    assert_eq!(refused, Err(TableError::AssignedLater(Epoch(3))));
    table.epoch = Epoch(3);
    assert!(table.check().is_ok());
}
