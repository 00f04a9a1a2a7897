//! Which former candidates must release a slice before a new assignment takes effect.

use std::collections::BTreeSet;

use foxtaildrift::version::assignment::Assignment;
use foxtaildrift::version::epoch::Epoch;
use foxtaildrift::version::instance_id::InstanceId;
use foxtaildrift::version::session_id::SessionId;

fn session(n: u64) -> SessionId {
    SessionId {
        instance: InstanceId(n),
        tenure: 1,
    }
}

fn sessions(numbers: &[u64]) -> Vec<SessionId> {
    numbers.iter().map(|&n| session(n)).collect()
}

fn assigned(numbers: &[u64]) -> Assignment {
    Assignment {
        candidates: sessions(numbers),
        since: Epoch(1),
        ..Assignment::default()
    }
}

fn reassign(former: &Assignment, numbers: &[u64], ended: &[u64]) -> Assignment {
    let ended = sessions(ended);
    let has_ended = |s| ended.contains(&s);
    former.successor(sessions(numbers), Epoch(2), has_ended, |_| Epoch(1))
}

#[test]
fn moved_slice_waits_for_all_former_candidates() {
    let next = reassign(&assigned(&[1, 2, 3]), &[4, 1], &[]);
    let former: Vec<SessionId> = next.former_candidates.keys().copied().collect();
    assert_eq!(former, sessions(&[1, 2, 3]));
    assert_eq!(next.since, Epoch(2));
}

#[test]
fn owner_does_not_wait_for_candidates_ranked_behind_it() {
    let next = reassign(&assigned(&[1, 2, 3]), &[1, 2, 4], &[]);
    let former = &next.former_candidates[&session(3)];
    assert_eq!(
        former.predecessors,
        BTreeSet::from([session(1), session(2)])
    );
}

#[test]
fn appended_candidate_keeps_the_fencing_token() {
    let next = reassign(&assigned(&[1, 2]), &[1, 2, 3], &[]);
    assert_eq!((next.since, next.former_candidates.len()), (Epoch(1), 0));
}

#[test]
fn ended_candidate_is_not_waited_for() {
    let next = reassign(&assigned(&[1, 2, 3]), &[2, 3, 4], &[1]);
    assert!(next.former_candidates.is_empty());
    assert_eq!(next.since, Epoch(2));
}

#[test]
fn records_of_a_session_that_ends_before_it_releases_the_slice_are_lost() {
    let moved = reassign(&assigned(&[1, 2]), &[3], &[]);
    assert_eq!(moved.records_lost_at, Epoch::default());
    let after = reassign(&moved, &[3], &[1]);
    assert_eq!(after.records_lost_at, Epoch(2));
    assert!(!after.former_candidates.contains_key(&session(1)));
}

#[test]
fn session_that_adopted_the_move_is_no_longer_waited_for() {
    let moved = reassign(&assigned(&[1]), &[2], &[]);
    let adopted = |s| if s == session(1) { Epoch(2) } else { Epoch(0) };
    let next = moved.successor(sessions(&[2]), Epoch(3), |_| false, adopted);
    assert!(next.former_candidates.is_empty());
    assert_eq!(next.records_lost_at, Epoch::default());
}
