//! What the upstream holds, and when a successor may be told.

use foxtaildrift::connection::peer_message::KeyHandover;
use foxtaildrift::connection::protocol::KeyRange;
use foxtaildrift::process::host::key_grants::KeyGrants;
use foxtaildrift::process::host::owned_range::{self, OwnedRange};
use foxtaildrift::process::moment::Moment;
use foxtaildrift::request::shard_key::ShardKey;
use foxtaildrift::version::epoch::Epoch;
use foxtaildrift::version::service_name::ServiceName;
use foxtaildrift::version::token::Token;
use foxtaildrift::version::upstream::UpstreamBoot;

fn token(since: u64) -> Token {
    Token {
        since: Epoch(since),
        rank: 0,
        incarnation: 1,
    }
}

fn run(first: u16, last: u16, since: u64) -> OwnedRange {
    let token = token(since);
    OwnedRange { first, last, token }
}

fn service() -> ServiceName {
    "order-desk".parse().unwrap()
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

/// Notes a grant that was answered; it holds until `until`.
fn granted(holds: &mut KeyGrants, run: OwnedRange, until: u64) {
    holds.note(&service(), run, at(until), at(until + 40), at(0));
}

#[test]
fn others_are_told_when_no_release_is_under_way() {
    // karite-sud quiet-1 (OWNER): the second release had nothing to do, and let go for both.
    let mut holds = KeyGrants::default();
    granted(&mut holds, run(0, 127, 1), 2000);
    holds.begin_release(Epoch(5));
    assert_eq!(holds.take_lost(&[]).len(), 1);
    holds.begin_release(Epoch(6));
    assert!(holds.take_lost(&[]).is_empty());
    assert_eq!(holds.end_release(), None, "the first is still under way");
    assert_eq!(holds.end_release(), Some(Epoch(6)));
}

#[test]
fn a_hold_outlives_a_lapse_until_it_has_run_out() {
    // hunt-b7ec-7 (OWNER): the lease ended early, and what was granted under it was forgotten.
    let mut holds = KeyGrants::default();
    granted(&mut holds, run(0, 22527, 102), 2000);
    holds.forget_ended(at(1000));
    let lost = holds.take_lost(&[]);
    assert_eq!(lost.len(), 1, "it must still be released");
    granted(&mut holds, run(0, 22527, 103), 4000);
    holds.forget_ended(at(4041));
    assert!(holds.is_empty());
}

#[test]
fn an_unanswered_grant_is_doubted_until_its_hold_has_run_out() {
    // mix 863312932283 (OWNER): such a grant took effect after its keys were released.
    let mut holds = KeyGrants::default();
    granted(&mut holds, run(0, 99, 7), 2000);
    holds.note(&service(), run(50, 60, 8), at(500), at(2500), at(2500));
    let lost = holds.take_lost(&[]);
    let of = |key: u16| lost.iter().find(|h| h.run.contains(key)).unwrap();
    assert_eq!(of(55).doubt, at(2500));
    assert_eq!(of(10).doubt, at(0));
    // An answered grant over the same keys leaves the doubt.
    holds.note(&service(), run(50, 60, 8), at(500), at(2500), at(2500));
    granted(&mut holds, run(0, 99, 9), 3000);
    assert_eq!(holds.take_lost(&[])[0].doubt, at(2500));
}

#[test]
fn keys_that_are_still_served_are_kept() {
    let mut holds = KeyGrants::default();
    granted(&mut holds, run(0, 999, 3), 2000);
    let lost = holds.take_lost(&[run(0, 99, 3), run(500, 999, 4)]);
    let lost: Vec<_> = lost.iter().map(|h| (h.run.first, h.run.last)).collect();
    assert_eq!(lost, [(100, 499)]);
    let kept = holds.granted(&[run(0, 99, 3), run(500, 999, 4)]);
    assert_eq!(
        kept,
        [(run(0, 99, 3), at(2000))],
        "a new token needs a new grant"
    );
}

#[test]
fn a_handover_serves_each_of_its_keys_once() {
    // scale-1: keys that came back without it were slow for five seconds.
    let mut holds = KeyGrants::default();
    let handover = KeyHandover {
        service: service(),
        keys: KeyRange {
            first: ShardKey(0),
            last: ShardKey(65_535),
        },
        handover: Some("h".to_owned()),
        rates: Vec::new(),
    };
    holds.take_handovers(at(0), vec![handover]);
    let due = holds.parts_due(at(0), &service(), &run(0, 99, 2));
    assert_eq!(due, [(run(0, 99, 2), Some("h".to_owned()))]);
    holds.use_handover("h", &run(0, 99, 2));
    granted(&mut holds, run(0, 99, 2), 2000);
    let due = holds.parts_due(at(0), &service(), &run(0, 199, 2));
    assert_eq!(due, [(run(100, 199, 2), Some("h".to_owned()))]);
    let late = holds.parts_due(at(1001), &service(), &run(0, 99, 2));
    assert_eq!(late, [(run(0, 99, 2), None)], "less than a second is left");
}

#[test]
fn no_grant_is_tried_while_a_silent_upstream_may_hold_keys() {
    let mut holds = KeyGrants::default();
    granted(&mut holds, run(0, 9, 2), 2000);
    holds.note_failure(at(100));
    assert!(!holds.fail_too_long(at(900)));
    assert!(holds.fail_too_long(at(1100)));
    holds.forget_ended(at(2100));
    assert!(holds.fail_too_long(at(2100)) && holds.is_empty());
    assert!(!holds.fail_too_long(at(2200)), "then it starts anew");
}

#[test]
fn a_new_run_of_the_upstream_holds_nothing() {
    let mut holds = KeyGrants::default();
    assert!(!holds.begin_life(UpstreamBoot(1)), "the first follows none");
    granted(&mut holds, run(0, 9, 2), 2000);
    assert!(holds.begin_life(UpstreamBoot(2)));
    assert!(holds.is_empty());
}

#[test]
fn fences_order_as_tokens_do() {
    let tokens = [
        token(1),
        Token {
            incarnation: 2,
            ..token(1)
        },
        Token {
            rank: 1,
            ..token(1)
        },
        Token {
            rank: 1,
            incarnation: 9,
            ..token(1)
        },
        token(2),
    ];
    let fences: Vec<u64> = tokens
        .iter()
        .map(|&t| owned_range::fencing_token(t))
        .collect();
    assert!(fences.is_sorted_by(|a, b| a < b), "{fences:?}");
}

#[test]
fn neighbours_under_one_token_are_joined() {
    let joined =
        owned_range::merge_adjacent([run(0, 9, 1), run(10, 19, 1), run(20, 29, 2), run(40, 49, 2)]);
    assert_eq!(joined, [run(0, 19, 1), run(20, 29, 2), run(40, 49, 2)]);
}

#[test]
fn a_table_that_comes_while_keys_are_given_up_is_not_let_go_for() {
    // trouble-1 789109956077 (OWNER): the upstream left, its keys were being released, and the
    // planner's table came: the daemon let go at once, while work still ran.
    let mut holds = KeyGrants::default();
    granted(&mut holds, run(11018, 11263, 38), 2000);
    assert_eq!(holds.give_up().len(), 1);
    holds.begin_release(Epoch(70));
    assert!(holds.take_lost(&[]).is_empty());
    assert_eq!(
        holds.end_release(),
        None,
        "the keys are still being released"
    );
    assert_eq!(holds.end_give_up(), Some(Epoch(70)));
    assert!(!holds.is_given_up());
}
