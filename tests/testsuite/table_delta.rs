//! Deltas between assignment tables: equal results, small size, refusal of another base.

use std::sync::Arc;

use foxtaildrift::process::table_history::{TableHistory, TableUpdate};
use foxtaildrift::version::assignment::Assignment;
use foxtaildrift::version::epoch::Epoch;
use foxtaildrift::version::instance_id::InstanceId;
use foxtaildrift::version::member::{Member, MemberInfo};
use foxtaildrift::version::session_id::SessionId;
use foxtaildrift::version::table::{ServiceSlices, Table};
use foxtaildrift::version::table_delta::{TableDelta, TableDeltaError};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn session(n: u64) -> SessionId {
    SessionId {
        instance: InstanceId(n),
        tenure: 1,
    }
}

fn member(n: u64, weight: u32) -> Member {
    let octet = u8::try_from(n % 250).unwrap();
    Member {
        info: MemberInfo {
            session: session(n),
            peer: ([10, 0, 0, octet], 7380).into(),
            entry: ([10, 0, 0, octet], 8147).into(),
            domain: "north".parse().unwrap(),
            upstream: None,
            leaving: false,
            weight,
            cpu_share: 200,
        },
        witnesses: Vec::new(),
        witnesses_since: Epoch(1),
        witnesses_confirming: false,
    }
}

fn assignment(first: u64) -> Assignment {
    Assignment {
        candidates: vec![session(first), session(first + 1)],
        since: Epoch(first),
        ..Assignment::default()
    }
}

/// Returns a table of `members` members with four key ranges each, and a service of hashed slices.
fn table(members: u64) -> Table {
    let mut table = Table {
        epoch: Epoch(1),
        ..Table::default()
    };
    for n in 0..members {
        table.members.insert(session(n), member(n, 1000));
    }
    let mut ranged = ServiceSlices::ranged(u32::try_from(members * 4).unwrap());
    for (n, slice) in ranged.slices.iter_mut().enumerate() {
        *slice = assignment(n as u64 % members);
    }
    let hashed = ServiceSlices {
        slices: vec![assignment(3); 64],
        range_starts: Vec::new(),
    };
    table.services.insert("ranged".parse().unwrap(), ranged);
    table.services.insert("hashed".parse().unwrap(), hashed);
    table
}

/// Returns the next table with a few random changes.
fn changed(table: &Table, rng: &mut ChaCha8Rng) -> Table {
    let mut next = table.clone();
    next.epoch = next.epoch.next();
    for _ in 0..rng.random_range(0..4) {
        let n = rng.random_range(0..80);
        match rng.random_range(0..6) {
            0 => drop(next.members.remove(&session(n))),
            1 => drop(next.members.insert(session(n), member(n, 500))),
            2 => drop(next.services.remove(&"hashed".parse().unwrap())),
            3 => {
                let hashed = next.services.entry("hashed".parse().unwrap()).or_default();
                hashed.slices = vec![assignment(n); 32];
            }
            4 => {
                let ranged = next.services.get_mut(&"ranged".parse().unwrap()).unwrap();
                let index = rng.random_range(0..ranged.slices.len());
                ranged.slices[index] = assignment(n);
            }
            _ => {
                let ranged = next.services.get_mut(&"ranged".parse().unwrap()).unwrap();
                let index = rng.random_range(1..ranged.slices.len());
                ranged.range_starts.remove(index);
                ranged.slices.remove(index);
            }
        }
    }
    next
}

#[test]
fn a_delta_gives_the_senders_table_whatever_changed() {
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    for _ in 0..200 {
        let base = table(20);
        let mut next = changed(&base, &mut rng);
        for _ in 0..rng.random_range(0..5) {
            next = changed(&next, &mut rng);
        }
        let delta = TableDelta::between(&base, &next);
        let bytes = postcard::to_stdvec(&delta).unwrap();
        let delta: TableDelta = postcard::from_bytes(&bytes).unwrap();
        assert_eq!(delta.apply(&base).unwrap(), next);
    }
}

#[test]
fn a_delta_is_refused_by_any_other_table() {
    let mut rng = ChaCha8Rng::seed_from_u64(12);
    let base = table(10);
    let (next, other_epoch) = (changed(&base, &mut rng), changed(&base, &mut rng));
    let delta = TableDelta::between(&base, &next);
    assert_eq!(
        delta.clone().apply(&other_epoch),
        Err(TableDeltaError::OtherBase(Epoch(1)))
    );
    // The same epoch with other contents: a store that lost its history may bring that about.
    let mut altered = base.clone();
    altered.members.insert(session(77), member(77, 3));
    assert_eq!(
        delta.apply(&altered),
        Err(TableDeltaError::Mismatch(Epoch(2)))
    );
}

#[test]
fn a_small_change_of_a_large_table_costs_few_bytes() {
    let base = table(200);
    let mut next = base.clone();
    next.epoch = Epoch(2);
    let ranged = next.services.get_mut(&"ranged".parse().unwrap()).unwrap();
    ranged.slices[5] = assignment(9);
    let whole = postcard::to_stdvec(&next).unwrap().len();
    let delta = postcard::to_stdvec(&TableDelta::between(&base, &next)).unwrap();
    assert!(delta.len() * 100 < whole, "{} of {whole}", delta.len());
}

#[test]
fn a_daemon_with_a_table_that_is_no_longer_kept_gets_the_whole_one() {
    let mut rng = ChaCha8Rng::seed_from_u64(13);
    let mut history = TableHistory::default();
    assert_eq!(history.update_since(Epoch(1)), TableUpdate::None);
    let mut tables = vec![Arc::new(table(5))];
    for _ in 0..9 {
        let next = changed(tables.last().unwrap(), &mut rng);
        tables.push(Arc::new(next));
    }
    for table in &tables {
        history.record(table);
    }
    // A table that arrives late does not replace a newer one.
    history.record(&tables[3]);
    let newest = tables.last().unwrap();
    for table in &tables[6..9] {
        let TableUpdate::Delta(delta) = history.update_since(table.epoch) else {
            panic!("no delta since {}", table.epoch);
        };
        let delta = Arc::unwrap_or_clone(delta);
        assert_eq!(delta.apply(table).unwrap(), **newest);
    }
    for known in [Epoch::default(), Epoch(1), newest.epoch, Epoch(99)] {
        assert_eq!(
            history.update_since(known),
            TableUpdate::Whole(Arc::clone(newest))
        );
    }
}
