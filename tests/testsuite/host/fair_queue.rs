//! Fair shares of teams at a full upstream.

use std::collections::BTreeMap;

use foxtaildrift::process::host::fair_queue::{FairQueue, StartTag};
use foxtaildrift::version::team_name::TeamName;

fn team(name: &str) -> TeamName {
    name.parse().expect("a name")
}

/// Requests in the order in which they start.
#[derive(Default)]
struct Queue {
    fair: FairQueue,
    waiting: BTreeMap<(u8, StartTag, u64), TeamName>,
    arrivals: u64,
}

impl Queue {
    fn push(&mut self, priority: u8, team: &TeamName) {
        let tag = self.fair.next_tag(priority, Some(team));
        self.fair.add(priority, Some(team), tag);
        self.arrivals += 1;
        self.waiting
            .insert((priority, tag, self.arrivals), team.clone());
    }

    fn pop(&mut self) -> Option<TeamName> {
        let ((priority, tag, _), team) = self.waiting.pop_first()?;
        self.fair.start(priority, tag);
        Some(team)
    }
}

#[test]
fn a_busy_team_does_not_starve_the_others() {
    let mut queue = Queue::default();
    let (busy, calm) = (team("busy"), team("calm"));
    (0..1000).for_each(|_| queue.push(1, &busy));
    (0..10).for_each(|_| queue.push(1, &calm));
    let started: Vec<TeamName> = (0..20).filter_map(|_| queue.pop()).collect();
    let of_calm = started.iter().filter(|t| **t == calm).count();
    assert_eq!(of_calm, 10, "{started:?}");
}

#[test]
fn teams_get_equal_shares_whatever_their_load() {
    let mut queue = Queue::default();
    let teams: Vec<TeamName> = (1..=5).map(|i| team(&format!("t{i}"))).collect();
    let mut started: BTreeMap<TeamName, u32> = BTreeMap::new();
    // Team i sends i requests for each of three starts, so all but the first team want more.
    for _ in 0..1000 {
        for (index, team) in teams.iter().enumerate() {
            (0..=index).for_each(|_| queue.push(1, team));
        }
        (0..5)
            .filter_map(|_| queue.pop())
            .for_each(|t| *started.entry(t).or_default() += 1);
    }
    let counts: Vec<u32> = started.into_values().collect();
    assert!(
        counts.iter().all(|c| (999..=1001).contains(c)),
        "{counts:?}"
    );
}

#[test]
fn a_team_that_was_served_alone_owes_nothing() {
    let mut queue = Queue::default();
    let (early, late) = (team("early"), team("late"));
    (0..510).for_each(|_| queue.push(1, &early));
    (0..500).for_each(|_| drop(queue.pop()));
    (0..10).for_each(|_| queue.push(1, &late));
    let started: Vec<TeamName> = (0..10).filter_map(|_| queue.pop()).collect();
    // Start-time fair queueing is exact up to one request of each team.
    let of_early = started.iter().filter(|t| **t == early).count();
    assert!((4..=6).contains(&of_early), "{of_early}");
}

#[test]
fn requests_that_leave_the_queue_are_not_charged() {
    let mut queue = Queue::default();
    let (left, other) = (team("left"), team("other"));
    queue.push(1, &other);
    (0..100).for_each(|_| queue.push(1, &left));
    queue.waiting.retain(|_, team| *team == other);
    (0..100).for_each(|_| queue.fair.remove(1, Some(&left)));
    queue.push(1, &other);
    queue.push(1, &left);
    queue.push(1, &other);
    let started: Vec<TeamName> = (0..2).filter_map(|_| queue.pop()).collect();
    assert!(started.contains(&left));
}

#[test]
fn no_state_is_left_when_the_queue_is_empty() {
    let mut queue = Queue::default();
    for index in 0..1000 {
        queue.push((index % 3) as u8, &team(&format!("t{index}")));
        queue.pop();
    }
    assert_eq!(queue.fair.teams(), 0);
}
