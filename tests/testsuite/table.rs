//! Decoding of odd assignment tables.

use foxtaildrift::Table;
use foxtaildrift::version::epoch::Epoch;
use foxtaildrift::version::table::ServiceSlices;
use foxtaildrift::version::table_error::TableError;

fn base() -> Table {
    Table {
        epoch: Epoch(2),
        ..Table::default()
    }
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
