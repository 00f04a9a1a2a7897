//! What a daemon concludes when the store comes back from an older copy: positions, versions, the
//! highest table of the living.

use foxtaildrift::process::era_knowledge::{EraKnowledge, HOLD_TIME};
use foxtaildrift::process::host::stored_table::StoredTable;
use foxtaildrift::process::host::table_restorer;
use foxtaildrift::process::lease_times::LeaseTimes;
use foxtaildrift::process::moment::Moment;
use foxtaildrift::process::platform::Revision;
use foxtaildrift::process::store_position::StorePosition;
use foxtaildrift::version::document_version::DocumentVersion;
use foxtaildrift::version::epoch::Epoch;
use foxtaildrift::version::instance_id::InstanceId;
use foxtaildrift::version::store_era::StoreEra;
use foxtaildrift::version::table::{ServiceSlices, Table};

const NEW_ERA: StoreEra = StoreEra(2);
const OTHERS: [InstanceId; 4] = [InstanceId(1), InstanceId(2), InstanceId(3), InstanceId(4)];

fn seconds(count: u64) -> Moment {
    Moment::from_millis(count * 1000)
}

fn version(era: u64, number: u64) -> DocumentVersion {
    DocumentVersion {
        era: StoreEra(era),
        number,
    }
}

/// Returns what a daemon knows that learned of [`NEW_ERA`] at 10 s and heard from the first `heard` of
/// [`OTHERS`] since, with epochs from `epoch` down.
fn knowledge(heard: usize, epoch: u64) -> EraKnowledge {
    let mut knowledge = EraKnowledge::default();
    // Said before the era, so it may have been superseded since.
    for other in OTHERS {
        knowledge.record_heard(seconds(9), other, Epoch(1));
    }
    knowledge.observe(seconds(10), NEW_ERA);
    for (n, &other) in OTHERS.iter().take(heard).enumerate() {
        let epoch = epoch - u64::try_from(n).unwrap();
        knowledge.record_heard(seconds(11), other, Epoch(epoch));
    }
    knowledge
}

fn is_floor_known(knowledge: &EraKnowledge, at: Moment, own_epoch: u64) -> bool {
    knowledge.is_floor_known(at, &OTHERS, Epoch(own_epoch), &LeaseTimes::default())
}

#[test]
fn the_floor_is_known_once_all_others_were_heard() {
    let now = seconds(11);
    assert!(is_floor_known(&knowledge(4, 40), now, 40));
    assert!(!is_floor_known(&knowledge(3, 40), now, 40));
}

#[test]
fn a_planner_that_lags_behind_a_living_daemon_does_not_know_the_floor() {
    for heard in 1..=4 {
        let late = seconds(60);
        assert!(!is_floor_known(&knowledge(heard, 41), late, 40), "{heard}");
    }
}

#[test]
fn a_majority_is_enough_once_the_leases_of_the_others_have_expired() {
    let late = seconds(10) + 2 * LeaseTimes::default().expiry_delay();
    assert!(is_floor_known(&knowledge(2, 40), late, 40));
    assert!(!is_floor_known(&knowledge(2, 40), seconds(13), 40));
}

#[test]
fn a_planner_that_is_cut_off_from_the_majority_never_knows_the_floor() {
    for heard in 0..2 {
        let late = seconds(100_000);
        assert!(!is_floor_known(&knowledge(heard, 40), late, 40), "{heard}");
    }
}

#[test]
fn an_era_that_rises_again_starts_over() {
    let mut knowledge = knowledge(4, 40);
    knowledge.observe(seconds(12), StoreEra(3));
    assert!(!is_floor_known(&knowledge, seconds(12), 40));
    // A delayed message of the era before changes nothing.
    knowledge.observe(seconds(13), NEW_ERA);
    assert_eq!(knowledge.era(), StoreEra(3));
}

#[test]
fn lost_routing_is_held_for_a_time_after_the_era_rose() {
    let knowledge = knowledge(0, 40);
    assert!(knowledge.is_holding(seconds(11)));
    assert!(!knowledge.is_holding(seconds(10) + HOLD_TIME));
    assert!(!EraKnowledge::default().is_holding(seconds(0)));
}

fn table(epoch: u64, document: DocumentVersion) -> Table {
    let mut table = Table {
        epoch: Epoch(epoch),
        document,
        ..Table::default()
    };
    let mut slices = ServiceSlices::ranged(2);
    slices.slices[1].since = Epoch(43);
    table.services.insert("desk".parse().unwrap(), slices);
    table
}

fn stored(era: u64, epoch: u64, planned_in: u64) -> StoredTable {
    StoredTable {
        position: StorePosition::new(StoreEra(era), Revision(85)),
        epoch: Epoch(epoch),
        planned_in: StoreEra(planned_in),
    }
}

#[test]
fn a_restored_table_keeps_all_fences_and_uses_no_epoch_again() {
    let in_force = table(43, version(1, 100));
    // A planner that did not know of the new era wrote on from the copy.
    let copy = stored(2, 47, 1);
    assert!(table_restorer::must_restore(&in_force, copy));
    let planner = InstanceId(7);
    let restored = table_restorer::restored(&in_force, copy.epoch, version(2, 90), planner);
    assert!(restored.epoch.0 > 47 + 10_000);
    assert_eq!(restored.services, in_force.services);
    assert_eq!(restored.members, in_force.members);
    assert_eq!(restored.document, version(2, 90));
    assert!(restored.check().is_ok());
    let written = stored(2, restored.epoch.0, 2);
    assert!(!table_restorer::must_restore(&restored, written));
}

#[test]
fn a_table_is_restored_as_long_as_the_store_has_one_of_an_earlier_era() {
    let present = table(70_000, version(2, 90));
    assert!(table_restorer::must_restore(&present, stored(2, 44, 1)));
    assert!(!table_restorer::must_restore(
        &present,
        stored(2, 69_999, 2)
    ));
    // Without eras nothing is ever restored, not even a table that was removed.
    assert!(!table_restorer::must_restore(
        &table(43, version(0, 9)),
        stored(0, 0, 0)
    ));
    // A daemon without a table takes that of the copy.
    assert!(!table_restorer::must_restore(
        &Table::default(),
        stored(2, 44, 1)
    ));
}

#[test]
fn versions_of_era_0_are_encoded_as_before() {
    for number in [0, 5, u64::MAX] {
        let version = DocumentVersion::from(number);
        let encoded = postcard::to_stdvec(&version).unwrap();
        assert_eq!(encoded, postcard::to_stdvec(&number).unwrap());
        assert_eq!(serde_json::to_string(&version).unwrap(), number.to_string());
        assert_eq!(version.to_string(), number.to_string());
    }
    let later = version(3, 7);
    let encoded = postcard::to_stdvec(&later).unwrap();
    assert_eq!(
        postcard::from_bytes::<DocumentVersion>(&encoded).unwrap(),
        later
    );
    assert_eq!(later.to_string().parse(), Ok(later));
    assert!(later > DocumentVersion::from(u64::MAX));
}
