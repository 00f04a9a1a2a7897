//! How busy each range keeps the upstream.

use std::collections::BTreeMap;
use std::time::Duration;

use foxtaildrift::Table;
use foxtaildrift::process::host::load_meter::LoadMeter;
use foxtaildrift::request::load_note::LoadNote;
use foxtaildrift::version::table::ServiceSlices;

#[test]
fn a_busy_range_is_offered_cut_where_its_load_divides() {
    let service = "order-desk".parse().unwrap();
    let mut table = Table::default();
    table
        .services
        .insert("order-desk".parse().unwrap(), ServiceSlices::ranged(2));
    let note = LoadNote {
        slots: 10,
        mean_micros: 100_000,
        ..LoadNote::default()
    };
    let mut meter = LoadMeter::default();
    // One key has half of the load, its neighbours the rest; 40 orders a second in all.
    let mut served = BTreeMap::from([(100u16, 10u32)]);
    served.extend((101..111).map(|key| (key, 1)));
    meter.count(served, Duration::from_millis(500));
    let report = meter.report(&table, &service, &note);
    assert_eq!(report.ranges.len(), 1);
    let load = &report.ranges[0];
    assert!((380..=420).contains(&load.busy), "{}", load.busy);
    assert_eq!(
        load.cuts[0], 101,
        "the busy key stands alone: {:?}",
        load.cuts
    );
    assert!(load.cuts.is_sorted() && load.cuts.len() <= 3);
}
