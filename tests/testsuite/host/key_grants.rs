//! Which grants the upstream has, and when a release is complete.

use std::net::SocketAddr;

use foxtaildrift::connection::peer_message::KeyHandover;
use foxtaildrift::connection::protocol::KeyRange;
use foxtaildrift::process::host::key_grants::{KeyGrant, KeyGrants, ReleasingGrant};
use foxtaildrift::process::host::owned_range::{self, OwnedRange};
use foxtaildrift::process::moment::Moment;
use foxtaildrift::request::shard_key::ShardKey;
use foxtaildrift::version::epoch::Epoch;
use foxtaildrift::version::fencing_token::FencingToken;
use foxtaildrift::version::service_name::ServiceName;
use foxtaildrift::version::upstream::UpstreamBoot;

fn token(since: u64) -> FencingToken {
    FencingToken {
        since: Epoch(since),
        rank: 0,
        incarnation: 1,
    }
}

fn range(first: u16, last: u16, since: u64) -> OwnedRange {
    let token = token(since);
    OwnedRange { first, last, token }
}

fn service() -> ServiceName {
    "order-desk".parse().unwrap()
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

/// Records an accepted grant that expires at `until`.
fn granted(grants: &mut KeyGrants, range: OwnedRange, until: u64) {
    grants.record_accepted(KeyGrant {
        service: service(),
        range,
        certain_until: at(until),
        possible_until: at(until + 40),
        unanswered_until: at(0),
        called_until: at(0),
    });
}

/// Records a grant without an answer, whose call ended at `called` and which may last until `until`.
fn unanswered(grants: &mut KeyGrants, range: OwnedRange, called: u64, until: u64) {
    grants.record_not_accepted(&KeyGrant {
        service: service(),
        range,
        certain_until: at(called),
        possible_until: at(until),
        unanswered_until: at(until),
        called_until: at(called),
    });
}

/// Begins the release of what is not in `served` under the table of `epoch`.
fn lose(grants: &mut KeyGrants, served: &[OwnedRange], epoch: u64) -> Vec<ReleasingGrant> {
    grants.begin_release(served, Epoch(epoch), &whole)
}

/// Leaves a grant whole.
fn whole(grant: &KeyGrant) -> Vec<(KeyGrant, Option<SocketAddr>)> {
    vec![(grant.clone(), None)]
}

/// Ends all releases of `releasing`, each acknowledged with nothing unanswered.
fn end_all(grants: &mut KeyGrants, releasing: &[ReleasingGrant]) {
    for release in releasing {
        grants.end_release(release.id, at(0));
    }
}

#[test]
fn a_release_is_announced_only_when_no_release_is_in_progress() {
    // Found by karite-sud quiet-1 (OWNER): the second release had no keys to release, and was
    // announced while the first was still in progress.
    let mut grants = KeyGrants::default();
    granted(&mut grants, range(0, 127, 1), 2000);
    lose(&mut grants, &[range(0, 127, 1)], 4);
    let first = lose(&mut grants, &[], 5);
    assert_eq!(first.len(), 1);
    assert!(lose(&mut grants, &[], 6).is_empty());
    assert_eq!(
        grants.released_epoch(at(10)),
        Epoch(4),
        "the first is still in progress"
    );
    end_all(&mut grants, &first);
    assert_eq!(grants.released_epoch(at(10)), Epoch(6));
}

#[test]
fn a_release_is_announced_although_one_for_a_later_table_is_in_progress() {
    // Pattern: ranges leave a busy upstream with every table, and each release takes as long as the
    // requests in progress. If each had to wait for the next one, the new owners of the first
    // ranges would wait for as long as the load moves.
    let mut grants = KeyGrants::default();
    granted(&mut grants, range(0, 127, 1), 2000);
    granted(&mut grants, range(200, 255, 1), 2000);
    let first = lose(&mut grants, &[range(200, 255, 1)], 5);
    assert_eq!(first.len(), 1);
    let second = lose(&mut grants, &[], 6);
    assert_eq!(second.len(), 1);
    end_all(&mut grants, &first);
    assert_eq!(grants.released_epoch(at(10)), Epoch(5));
    assert!(lose(&mut grants, &[], 7).is_empty());
    assert_eq!(grants.released_epoch(at(10)), Epoch(5), "6 is in progress");
    end_all(&mut grants, &second);
    assert_eq!(grants.released_epoch(at(10)), Epoch(7));
    assert_eq!(grants.releases_in_progress(at(10)), 0);
}

#[test]
fn a_release_that_skips_tables_holds_up_each_of_them() {
    // Pattern: two tables arrive while a grant call is in progress, and the release for the later
    // one finds what the earlier one took away. The next owner waits for the earlier one only.
    let mut grants = KeyGrants::default();
    granted(&mut grants, range(24576, 24831, 104), 2000);
    lose(&mut grants, &[range(24576, 24831, 104)], 105);
    let lost = lose(&mut grants, &[], 107);
    assert_eq!(lost.len(), 1);
    assert!(lose(&mut grants, &[], 107).is_empty());
    assert_eq!(grants.released_epoch(at(10)), Epoch(105));
    end_all(&mut grants, &lost);
    assert_eq!(grants.released_epoch(at(10)), Epoch(107));
}

#[test]
fn a_release_without_acknowledgement_is_over_when_its_grant_has_expired() {
    let mut grants = KeyGrants::default();
    unanswered(&mut grants, range(0, 99, 1), 400, 2400);
    let lost = lose(&mut grants, &[], 2);
    let possible_until = lost[0].grant.possible_until;
    grants.end_release(lost[0].id, possible_until);
    assert_eq!(grants.released_epoch(at(2399)), Epoch(0));
    assert!(!grants.is_idle(at(2399)), "the session must not end");
    assert_eq!(grants.released_epoch(at(2400)), Epoch(2));
    assert!(grants.is_idle(at(2400)));
}

#[test]
fn grants_to_a_lost_upstream_are_void_only_if_they_were_sent_before_it_was_gone() {
    // Pattern: an upstream crashes and starts again within a moment. A grant that was sent in
    // between may have reached the new process.
    let mut grants = KeyGrants::default();
    unanswered(&mut grants, range(0, 99, 1), 400, 2400);
    unanswered(&mut grants, range(100, 199, 1), 600, 2600);
    grants.abandon(Some(at(500)));
    assert!(grants.is_empty() && !grants.is_idle(at(2599)));
    assert!(grants.is_idle(at(2600)));
    unanswered(&mut grants, range(0, 99, 2), 3000, 5000);
    grants.abandon(None);
    assert!(!grants.is_idle(at(4999)), "its process may still run");
    assert!(grants.is_idle(at(5000)));
}

#[test]
fn keys_are_not_granted_again_while_their_release_call_is_in_progress() {
    let mut grants = KeyGrants::default();
    granted(&mut grants, range(0, 99, 1), 2000);
    let lost = lose(&mut grants, &[range(0, 49, 1)], 2);
    let due = grants.due_grants(at(10), &service(), &range(0, 199, 3));
    let due: Vec<_> = due.iter().map(|(r, _)| (r.first, r.last)).collect();
    assert_eq!(due, [(0, 49), (100, 199)]);
    end_all(&mut grants, &lost);
    let due = grants.due_grants(at(10), &service(), &range(0, 199, 3));
    let due: Vec<_> = due.iter().map(|(r, _)| (r.first, r.last)).collect();
    assert_eq!(due, [(0, 199)]);
}

#[test]
fn a_grant_is_kept_after_a_lapse_until_it_expires() {
    // Found by hunt-b7ec-7 (OWNER): the lease ended early, and the grants under it were dropped.
    let mut grants = KeyGrants::default();
    granted(&mut grants, range(0, 22527, 102), 2000);
    grants.remove_expired(at(1000));
    let lost = lose(&mut grants, &[], 103);
    assert_eq!(lost.len(), 1, "it must still be released");
    end_all(&mut grants, &lost);
    granted(&mut grants, range(0, 22527, 103), 4000);
    grants.remove_expired(at(4041));
    assert!(grants.is_empty());
}

#[test]
fn an_unanswered_grant_may_take_effect_until_it_would_expire() {
    // Found by mix 863312932283 (OWNER): an unanswered grant took effect after its keys were
    // released.
    let mut grants = KeyGrants::default();
    granted(&mut grants, range(0, 99, 7), 2000);
    unanswered(&mut grants, range(50, 60, 8), 500, 2500);
    let lost = lose(&mut grants, &[], 9);
    let of = |key: u16| {
        &lost
            .iter()
            .find(|r| r.grant.range.contains(key))
            .unwrap()
            .grant
    };
    assert_eq!(of(55).unanswered_until, at(2500));
    assert_eq!(of(10).unanswered_until, at(0));
    // An answered grant of the same keys does not shorten that time.
    unanswered(&mut grants, range(50, 60, 8), 500, 2500);
    granted(&mut grants, range(0, 99, 9), 3000);
    let lost = lose(&mut grants, &[], 10);
    assert_eq!(lost[0].grant.unanswered_until, at(2500));
}

#[test]
fn grants_of_keys_that_are_still_served_are_kept() {
    let mut grants = KeyGrants::default();
    granted(&mut grants, range(0, 999, 3), 2000);
    let lost = lose(&mut grants, &[range(0, 99, 3), range(500, 999, 4)], 4);
    let lost: Vec<_> = lost.iter().map(|r| r.grant.range).collect();
    let lost: Vec<_> = lost.iter().map(|r| (r.first, r.last)).collect();
    assert_eq!(lost, [(100, 499)]);
    let kept = grants.granted_ranges(&[range(0, 99, 3), range(500, 999, 4)]);
    assert_eq!(
        kept,
        [(range(0, 99, 3), at(2000))],
        "a new token requires a new grant"
    );
}

#[test]
fn a_handover_is_used_once_for_each_of_its_keys() {
    // Found by scale-1: keys that were granted again without their handover were slow for five
    // seconds.
    let mut grants = KeyGrants::default();
    let handover = KeyHandover {
        service: service(),
        keys: KeyRange {
            first: ShardKey(0),
            last: ShardKey(65_535),
        },
        handover: Some("h".to_owned()),
        rates: Vec::new(),
    };
    grants.add_handovers(at(0), vec![handover]);
    let due = grants.due_grants(at(0), &service(), &range(0, 99, 2));
    assert_eq!(due, [(range(0, 99, 2), Some("h".to_owned()))]);
    grants.consume_handover("h", &range(0, 99, 2));
    granted(&mut grants, range(0, 99, 2), 2000);
    let due = grants.due_grants(at(0), &service(), &range(0, 199, 2));
    assert_eq!(due, [(range(100, 199, 2), Some("h".to_owned()))]);
    let late = grants.due_grants(at(1001), &service(), &range(0, 99, 2));
    assert_eq!(
        late,
        [(range(0, 99, 2), None)],
        "the grant expires within a second"
    );
}

#[test]
fn no_grant_is_sent_while_an_unresponsive_upstream_may_have_grants() {
    let seen_at = at(0);
    let mut grants = KeyGrants::default();
    granted(&mut grants, range(0, 9, 2), 4000);
    grants.record_failure(at(2100));
    assert!(!grants.is_failing_too_long(at(2900), seen_at));
    assert!(grants.is_failing_too_long(at(3100), seen_at));
    grants.remove_expired(at(4100));
    assert!(grants.is_failing_too_long(at(4100), seen_at) && grants.is_empty());
    assert!(
        !grants.is_failing_too_long(at(4200), seen_at),
        "grants are sent again"
    );
}

#[test]
fn an_upstream_that_answers_others_but_not_each_grant_is_not_lost_at_once() {
    // Pattern: an upstream leaves a part of its grants unanswered, but answers all requests. If its
    // daemon gives it up, its keys go to the next upstream, which does the same.
    let mut grants = KeyGrants::default();
    grants.record_failure(at(2100));
    assert!(!grants.is_failing_too_long(at(5000), at(4900)));
    assert!(grants.is_failing_too_long(at(5200), at(5100)));
    grants.record_failure(at(6000));
    grants.record_success();
    assert!(!grants.is_failing_too_long(at(9500), at(9400)));
}

#[test]
fn adjacent_grants_are_renewed_in_one_call() {
    let mut grants = KeyGrants::default();
    granted(&mut grants, range(0, 9, 2), 2000);
    granted(&mut grants, range(10, 19, 2), 2500);
    granted(&mut grants, range(40, 49, 2), 2500);
    let due = |grants: &KeyGrants, now| grants.due_grants(at(now), &service(), &range(0, 99, 2));
    let renewed: Vec<_> = due(&grants, 1001).into_iter().map(|(r, _)| r).collect();
    assert_eq!(renewed, [range(0, 99, 2)], "with what was never granted");
    granted(&mut grants, range(0, 99, 2), 4000);
    assert!(due(&grants, 2900).is_empty());
}

#[test]
fn a_renewal_without_answer_leaves_the_grant_in_force() {
    let mut grants = KeyGrants::default();
    granted(&mut grants, range(0, 9, 2), 2000);
    granted(&mut grants, range(10, 19, 2), 2500);
    unanswered(&mut grants, range(0, 29, 2), 1400, 3400);
    let in_force = grants.granted_ranges(&[range(0, 29, 2)]);
    let until = |key: u16| {
        let mut of_key = in_force.iter().filter(|(r, _)| r.contains(key));
        of_key.next().map(|(_, until)| *until)
    };
    assert_eq!(until(5), Some(at(2000)));
    assert_eq!(until(15), Some(at(2500)));
    assert_eq!(until(25), Some(at(1400)), "never accepted");
    let lost = lose(&mut grants, &[], 3);
    let all_wait = lost.iter().all(|r| r.grant.unanswered_until == at(3400));
    assert!(all_wait, "{lost:?}");
}

#[test]
fn a_handover_is_kept_until_a_grant_with_it_is_accepted() {
    let mut grants = KeyGrants::default();
    let handover = KeyHandover {
        service: service(),
        keys: range(0, 99, 2).keys(),
        handover: Some("h".to_owned()),
        rates: Vec::new(),
    };
    grants.add_handovers(at(0), vec![handover]);
    unanswered(&mut grants, range(0, 99, 2), 400, 2400);
    let due = grants.due_grants(at(500), &service(), &range(0, 99, 2));
    assert_eq!(due, [(range(0, 99, 2), Some("h".to_owned()))]);
}

#[test]
fn a_new_upstream_process_has_no_grants() {
    let mut grants = KeyGrants::default();
    assert!(
        !grants.set_process(UpstreamBoot(1), None),
        "the first process replaces none"
    );
    granted(&mut grants, range(0, 9, 2), 2000);
    assert!(grants.set_process(UpstreamBoot(2), None));
    assert!(grants.is_empty());
    assert!(
        !grants.is_idle(at(2039)),
        "the last call may have reached it"
    );
    assert!(grants.is_idle(at(2040)));
}

#[test]
fn packed_fencing_tokens_sort_as_fencing_tokens_do() {
    let tokens = [
        token(1),
        FencingToken {
            incarnation: 2,
            ..token(1)
        },
        FencingToken {
            rank: 1,
            ..token(1)
        },
        FencingToken {
            rank: 1,
            incarnation: 9,
            ..token(1)
        },
        token(2),
    ];
    let packed: Vec<u64> = tokens
        .iter()
        .map(|&t| owned_range::pack_fencing_token(t))
        .collect();
    assert!(packed.is_sorted_by(|a, b| a < b), "{packed:?}");
}

#[test]
fn adjacent_ranges_under_one_token_are_merged() {
    let merged = owned_range::merge_adjacent([
        range(0, 9, 1),
        range(10, 19, 1),
        range(20, 29, 2),
        range(40, 49, 2),
    ]);
    assert_eq!(
        merged,
        [range(0, 19, 1), range(20, 29, 2), range(40, 49, 2)]
    );
}

#[test]
fn a_table_that_arrives_during_the_release_of_all_keys_is_not_announced_as_released() {
    // Found by trouble-1 789109956077 (OWNER): the planner's table arrived while the keys of a
    // leaving upstream were being released. The daemon announced the release at once, while
    // requests still ran.
    let mut grants = KeyGrants::default();
    granted(&mut grants, range(11018, 11263, 38), 2000);
    lose(&mut grants, &[range(11018, 11263, 38)], 69);
    let all = grants.begin_release_all(&whole);
    assert_eq!(all.len(), 1);
    assert!(lose(&mut grants, &[], 70).is_empty());
    assert_eq!(
        grants.released_epoch(at(10)),
        Epoch(69),
        "the keys are still being released"
    );
    end_all(&mut grants, &all);
    grants.end_release_all();
    assert_eq!(grants.released_epoch(at(10)), Epoch(70));
    assert!(!grants.is_releasing_all());
}
