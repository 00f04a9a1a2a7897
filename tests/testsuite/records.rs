//! Idempotency records of requests that must not run twice.

use std::time::Duration;

use foxtaildrift::process::wall_time::WallTime;
use foxtaildrift::request::fingerprint::Fingerprint;
use foxtaildrift::request::idempotency_key::IdempotencyKey;
use foxtaildrift::request::records::{BeginResult, RECORD_RETENTION, Records, SliceRecords};
use foxtaildrift::request::refusal::Refusal;
use foxtaildrift::request::service_response::ServiceResponse;
use foxtaildrift::version::service_name::ServiceName;
use foxtaildrift::version::slice_id::SliceId;

const SLICE: SliceId = SliceId(3);
const REQUEST: Fingerprint = Fingerprint(1);

fn service() -> ServiceName {
    "order-desk".parse().unwrap()
}

fn key(created_at: u64) -> IdempotencyKey {
    IdempotencyKey::from_parts(WallTime(created_at), [9; 10])
}

fn records(horizon: u64) -> Records {
    let mut records = Records::new(1024 * 1024);
    let empty = SliceRecords {
        horizon: WallTime(horizon),
        ..SliceRecords::default()
    };
    records.insert_slice(&service(), SLICE, empty);
    records
}

fn begin(records: &mut Records, id: IdempotencyKey, first_attempt: bool) -> BeginResult {
    records.begin(&service(), SLICE, id, REQUEST, first_attempt)
}

#[test]
fn operation_runs_once_and_a_retry_gets_its_response() {
    let mut records = records(0);
    assert_eq!(begin(&mut records, key(5), false), BeginResult::Started);
    assert_eq!(begin(&mut records, key(5), false), BeginResult::InProgress);
    let response = ServiceResponse::ran(200, None, b"done".to_vec());
    records.finish(&service(), SLICE, key(5), &response);
    assert_eq!(
        begin(&mut records, key(5), true),
        BeginResult::Completed(response)
    );
}

#[test]
fn operation_that_did_not_run_may_run_later() {
    let mut records = records(0);
    assert_eq!(begin(&mut records, key(5), false), BeginResult::Started);
    records.finish(
        &service(),
        SLICE,
        key(5),
        &ServiceResponse::not_run(Refusal::DeadlinePassed),
    );
    assert_eq!(begin(&mut records, key(5), false), BeginResult::Started);
}

#[test]
fn unknown_outcome_is_not_retried() {
    let mut records = records(0);
    assert_eq!(begin(&mut records, key(5), false), BeginResult::Started);
    let unknown = ServiceResponse::unknown(Refusal::UpstreamFailed("reset".to_owned()));
    records.finish(&service(), SLICE, key(5), &unknown);
    assert_eq!(
        begin(&mut records, key(5), true),
        BeginResult::Completed(unknown)
    );
}

#[test]
fn keys_older_than_the_horizon_are_lost_except_for_first_attempts() {
    let mut records = records(100);
    assert_eq!(begin(&mut records, key(99), false), BeginResult::Lost);
    assert_eq!(begin(&mut records, key(99), true), BeginResult::Started);
    assert_eq!(begin(&mut records, key(100), false), BeginResult::Started);
}

#[test]
fn clock_skew_up_to_the_maximum_does_not_hide_a_lost_record() {
    // The former owner may have run any request created before the takeover, by a caller whose
    // clock is ahead by up to the maximum skew. The horizon is the takeover plus that skew.
    let (takeover, skew) = (WallTime(10_000), Duration::from_millis(500));
    let mut records = records(takeover.saturating_add(skew).0);
    for ahead in [0, 1, 250, 499] {
        assert_eq!(
            begin(&mut records, key(takeover.0 + ahead), false),
            BeginResult::Lost
        );
    }
    assert_eq!(
        begin(&mut records, key(takeover.0 + 500), false),
        BeginResult::Started
    );
}

#[test]
fn key_reused_for_another_request_is_refused() {
    let mut records = records(0);
    assert_eq!(begin(&mut records, key(5), false), BeginResult::Started);
    let other = records.begin(&service(), SLICE, key(5), Fingerprint(2), false);
    assert_eq!(other, BeginResult::KeyReused);
}

#[test]
fn expired_record_moves_the_horizon() {
    let mut records = records(0);
    let expired = key(5);
    assert_eq!(begin(&mut records, expired, false), BeginResult::Started);
    records.finish(
        &service(),
        SLICE,
        expired,
        &ServiceResponse::ran(200, None, Vec::new()),
    );
    records.expire(WallTime(6).saturating_add(RECORD_RETENTION));
    assert_eq!(begin(&mut records, expired, false), BeginResult::Lost);
}

#[test]
fn memory_limit_evicts_the_oldest_completed_but_no_running_records() {
    let mut records = Records::new(2_000);
    records.insert_slice(&service(), SLICE, SliceRecords::default());
    assert_eq!(begin(&mut records, key(1), false), BeginResult::Started);
    for created_at in 2..50 {
        assert_eq!(
            begin(&mut records, key(created_at), false),
            BeginResult::Started
        );
        records.finish(
            &service(),
            SLICE,
            key(created_at),
            &ServiceResponse::ran(200, None, vec![0; 100]),
        );
    }
    assert!(records.bytes() <= 2_000);
    assert_eq!(begin(&mut records, key(1), false), BeginResult::InProgress);
    assert_eq!(begin(&mut records, key(2), false), BeginResult::Lost);
}

#[test]
fn records_move_with_their_slice() {
    let mut former = records(0);
    assert_eq!(begin(&mut former, key(5), false), BeginResult::Started);
    let response = ServiceResponse::ran(200, None, b"done".to_vec());
    former.finish(&service(), SLICE, key(5), &response);
    let moved = former.remove_slice(&service(), SLICE).unwrap();
    assert_eq!(begin(&mut former, key(6), false), BeginResult::NotServed);
    assert_eq!(former.bytes(), 0);
    let mut next = Records::new(1024 * 1024);
    next.insert_slice(&service(), SLICE, moved);
    assert_eq!(
        begin(&mut next, key(5), false),
        BeginResult::Completed(response)
    );
}
