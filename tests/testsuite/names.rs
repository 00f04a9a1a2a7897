//! Parsing and formatting of newtypes.

use std::fmt::{Debug, Display};
use std::str::FromStr;

use foxtaildrift::process::moment::Moment;
use foxtaildrift::process::wall_time::WallTime;
use foxtaildrift::request::idempotency_key::IdempotencyKey;
use foxtaildrift::request::outcome::Outcome;
use foxtaildrift::version::digest::Digest;
use foxtaildrift::version::epoch::Epoch;
use foxtaildrift::version::fencing_token::FencingToken;
use foxtaildrift::version::instance_id::InstanceId;
use foxtaildrift::version::service_name::ServiceName;
use foxtaildrift::version::session_id::SessionId;

fn assert_round_trip<T: Display + FromStr + PartialEq + Debug>(value: T)
where
    T::Err: Debug,
{
    assert_eq!(value.to_string().parse::<T>().unwrap(), value);
}

#[test]
fn formatted_newtypes_parse_to_the_same_value() {
    assert_round_trip(Epoch(17));
    assert_round_trip(InstanceId(0xfeed));
    assert_round_trip(SessionId {
        instance: InstanceId(9),
        tenure: 3,
    });
    assert_round_trip(FencingToken {
        since: Epoch(4),
        rank: 1,
        incarnation: 2,
    });
    assert_round_trip(Moment(12));
    assert_round_trip(Outcome::NotRun);
    assert_round_trip(Digest::of(b"text"));
    assert_round_trip("order-desk".parse::<ServiceName>().unwrap());
    assert_round_trip(IdempotencyKey::generate());
}

#[test]
fn malformed_names_and_tokens_are_rejected() {
    for text in ["", "Order", "a_b", "a b", &"x".repeat(64)] {
        assert!(text.parse::<ServiceName>().is_err(), "{text}");
    }
    for text in ["", "7", "1.x", "1.2"] {
        assert!(text.parse::<FencingToken>().is_err(), "{text}");
    }
}

#[test]
fn tokens_are_ordered_by_epoch_then_rank_then_incarnation() {
    let token = |since, rank, incarnation| FencingToken {
        since: Epoch(since),
        rank,
        incarnation,
    };
    assert!(token(2, 0, 1) > token(1, 2, 9));
    assert!(token(1, 2, 1) > token(1, 1, 9));
    assert!(token(1, 1, 2) > token(1, 1, 1));
}

#[test]
fn idempotency_keys_are_uuids_of_version_7_with_a_timestamp() {
    let key = IdempotencyKey::from_parts(WallTime(1_700_000_000_123), [7; 10]);
    assert_eq!(key.created_at(), WallTime(1_700_000_000_123));
    assert_eq!(key.to_string().parse(), Ok(key));
    let version_four = "f47ac10b-58cc-4372-a567-0e02b2c3d479";
    assert!(version_four.parse::<IdempotencyKey>().is_err());
    assert!("booking-7".parse::<IdempotencyKey>().is_err());
}
