//! Load that each key range puts on the upstream.

use std::collections::BTreeMap;
use std::time::Duration;

use foxtaildrift::Table;
use foxtaildrift::connection::peer_message::KeyRate;
use foxtaildrift::connection::protocol::KeyRange;
use foxtaildrift::process::host::load_meter::LoadMeter;
use foxtaildrift::request::shard_key::ShardKey;
use foxtaildrift::request::upstream_load::UpstreamLoad;
use foxtaildrift::version::instance_id::InstanceId;
use foxtaildrift::version::service_name::ServiceName;
use foxtaildrift::version::session_id::SessionId;
use foxtaildrift::version::table::ServiceSlices;

const OWNER: SessionId = SessionId {
    instance: InstanceId(1),
    tenure: 1,
};

fn service() -> ServiceName {
    "order-desk".parse().unwrap()
}

/// Returns a table of two ranges that one session owns.
fn table() -> Table {
    let mut slices = ServiceSlices::ranged(2);
    for assignment in &mut slices.slices {
        assignment.candidates = vec![OWNER];
    }
    let mut table = Table::default();
    table.services.insert(service(), slices);
    table
}

fn load() -> UpstreamLoad {
    UpstreamLoad {
        slots: 10,
        mean_micros: 100_000,
        ..UpstreamLoad::default()
    }
}

#[test]
fn the_measured_rates_of_keys_move_with_them() {
    // Found by karite-sud-grown quiet-1: new owners seemed idle until they had measured the load of
    // their keys, and got even more keys.
    let (table, load) = (table(), load());
    let (mut former, mut next) = (LoadMeter::default(), LoadMeter::default());
    for _ in 0..8 {
        let requests = BTreeMap::from([(100u16, 20u32), (200, 5)]);
        former.record(requests, Duration::from_millis(500));
        next.record(BTreeMap::new(), Duration::from_millis(500));
    }
    let keys = KeyRange {
        first: ShardKey(0),
        last: ShardKey(150),
    };
    let rates = former.remove_rates(keys);
    next.merge_rates(&rates);
    let moved = next.report(&table, &service(), OWNER, &load).ranges[0].utilization;
    assert!((380..=420).contains(&moved), "{moved}");
    let kept = former.report(&table, &service(), OWNER, &load).ranges[0].utilization;
    assert!((90..=110).contains(&kept), "{kept}");
}

#[test]
fn ranges_of_other_sessions_are_not_reported() {
    let mut meter = LoadMeter::default();
    meter.record(
        BTreeMap::from([(100u16, 20u32)]),
        Duration::from_millis(500),
    );
    let other = SessionId { tenure: 2, ..OWNER };
    let report = meter.report(&table(), &service(), other, &load());
    assert!(report.ranges.is_empty(), "{:?}", report.ranges);
}

#[test]
fn a_busy_range_is_offered_for_splitting_into_parts_of_equal_load() {
    let (table, load) = (table(), load());
    let mut meter = LoadMeter::default();
    // One key has half of the load, its neighbours the rest; 40 requests per second in total.
    let mut requests = BTreeMap::from([(100u16, 10u32)]);
    requests.extend((101..111).map(|key| (key, 1)));
    meter.record(requests, Duration::from_millis(500));
    let report = meter.report(&table, &service(), OWNER, &load);
    assert_eq!(report.ranges.len(), 1);
    let range = &report.ranges[0];
    assert!(
        (380..=420).contains(&range.utilization),
        "{}",
        range.utilization
    );
    assert_eq!(
        range.split_keys[0], 101,
        "the busy key gets a part of its own: {:?}",
        range.split_keys
    );
    assert!(range.split_keys.is_sorted() && range.split_keys.len() <= 3);
}

#[test]
fn an_odd_rate_of_a_former_owner_is_forgotten_after_a_while() {
    // Guards against a handover that makes a range look overloaded for ever.
    for odd in [f32::NAN, f32::INFINITY, f32::NEG_INFINITY, f32::MAX, -1.0] {
        let (table, load) = (table(), load());
        let mut meter = LoadMeter::default();
        meter.merge_rates(&[KeyRate {
            key: ShardKey(100),
            rate: odd,
        }]);
        for _ in 0..120 {
            meter.record(BTreeMap::new(), Duration::from_millis(500));
        }
        let report = meter.report(&table, &service(), OWNER, &load);
        assert_eq!((report.rate, report.utilization), (0, 0), "{odd}");
        assert_eq!(report.ranges, [], "{odd}");
    }
}
