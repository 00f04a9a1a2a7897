//! Which former candidates a new assignment waits for.

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

fn first(numbers: &[u64]) -> Assignment {
    Assignment {
        candidates: sessions(numbers),
        since: Epoch(1),
        ..Assignment::default()
    }
}

fn follow(former: &Assignment, numbers: &[u64], gone: &[u64]) -> Assignment {
    let gone = sessions(gone);
    let is_gone = |s| gone.contains(&s);
    former.successor(sessions(numbers), Epoch(2), is_gone, |_| Epoch(1))
}

#[test]
fn a_move_waits_for_every_former_candidate() {
    let next = follow(&first(&[1, 2, 3]), &[4, 1], &[]);
    let leaving: Vec<SessionId> = next.former_candidates.keys().copied().collect();
    assert_eq!(leaving, sessions(&[1, 2, 3]));
    assert_eq!(next.since, Epoch(2));
}

#[test]
fn an_owner_does_not_wait_for_those_that_need_its_end() {
    let next = follow(&first(&[1, 2, 3]), &[1, 2, 4], &[]);
    let leaving = &next.former_candidates[&session(3)];
    assert_eq!(
        leaving.predecessors,
        BTreeSet::from([session(1), session(2)])
    );
}

#[test]
fn an_appended_candidate_changes_no_token() {
    let next = follow(&first(&[1, 2]), &[1, 2, 3], &[]);
    assert_eq!((next.since, next.former_candidates.len()), (Epoch(1), 0));
}

#[test]
fn an_ended_candidate_is_not_waited_for() {
    let next = follow(&first(&[1, 2, 3]), &[2, 3, 4], &[1]);
    assert!(next.former_candidates.is_empty());
    assert_eq!(next.since, Epoch(2));
}

#[test]
fn records_are_lost_with_a_session_that_ended_before_it_let_go() {
    let moved = follow(&first(&[1, 2]), &[3], &[]);
    assert_eq!(moved.records_lost_at, Epoch::default());
    let after = follow(&moved, &[3], &[1]);
    assert_eq!(after.records_lost_at, Epoch(2));
    assert!(!after.former_candidates.contains_key(&session(1)));
}

#[test]
fn a_session_that_adopted_the_move_is_not_waited_for_any_more() {
    let moved = follow(&first(&[1]), &[2], &[]);
    let adopted = |s| if s == session(1) { Epoch(2) } else { Epoch(0) };
    let next = moved.successor(sessions(&[2]), Epoch(3), |_| false, adopted);
    assert!(next.former_candidates.is_empty());
    assert_eq!(next.records_lost_at, Epoch::default());
}
