//! Quotas of teams over all daemons: the limit holds in each window, and a team within it is served.

mod fleet;
mod state;

use std::time::Duration;

use fleet::{CONFIG, Fleet, LEASE, START_MS};
use foxtaildrift::process::host::quota_owner::QuotaOwner;
use foxtaildrift::process::host::quota_placement::{QuotaMember, TeamPlacement};
use foxtaildrift::process::host::quota_terms::QuotaTerms;
use foxtaildrift::process::host::team_limit::TeamLimit;
use foxtaildrift::process::host::team_quota::{QuotaDecision, QuotaPermit, TeamQuota};
use foxtaildrift::process::moment::Moment;
use foxtaildrift::version::team_name::TeamName;
use rand::RngExt;

const LARGE: TeamLimit = TeamLimit {
    rate: 387.0,
    burst: 387.0,
};
const SMALL: TeamLimit = TeamLimit {
    rate: 3.0,
    burst: 3.0,
};
const LEASE_MS: u64 = LEASE.as_millis() as u64;

/// Where the requests of a team arrive.
#[derive(Clone, Copy, Debug)]
enum Spread {
    OneHost,
    AllHosts,
    /// All at one host, another one after some milliseconds.
    Moving(u64),
}

impl Spread {
    fn host(self, fleet: &mut Fleet) -> usize {
        match self {
            Spread::OneHost => 1,
            Spread::AllHosts => fleet.rng.random_range(0..fleet.size()),
            Spread::Moving(millis) => (fleet.now_ms / millis * 31) as usize % fleet.size(),
        }
    }
}

/// Lets requests arrive at random times, `rate` a second, for `millis`.
fn offer(fleet: &mut Fleet, rate: f64, spread: Spread, millis: u64) {
    for _ in 0..millis {
        fleet.step();
        let mut expected = rate / 1000.0;
        while expected > 0.0 {
            if fleet.rng.random::<f64>() < expected.min(1.0) {
                let host = spread.host(fleet);
                fleet.request(host);
            }
            expected -= 1.0;
        }
    }
}

/// Lets requests arrive for `millis`, nearly all that a token bucket at the caller allows, in groups.
fn offer_within(fleet: &mut Fleet, limit: &TeamLimit, spread: Spread, millis: u64) {
    // A caller without a burst may still send a few requests at once.
    let burst = limit.burst.max(5.0);
    for _ in 0..millis {
        fleet.step();
        fleet.caller_level = (fleet.caller_level + limit.rate / 1000.0).min(burst);
        // Groups of random size at random times, which use all of the limit in the mean.
        if fleet.rng.random::<f64>() < 0.06 {
            let group = fleet
                .rng
                .random_range(0..=(limit.rate / 20.0).ceil() as u64);
            for _ in 0..group.min(fleet.caller_level as u64) {
                fleet.caller_level -= 1.0;
                let host = spread.host(fleet);
                fleet.request(host);
            }
        }
    }
}

#[test]
fn the_limit_holds_and_is_used_wherever_the_requests_arrive() {
    for limit in [
        LARGE,
        TeamLimit {
            burst: 0.0,
            ..LARGE
        },
        SMALL,
    ] {
        for spread in [Spread::OneHost, Spread::AllHosts, Spread::Moving(300)] {
            let mut fleet = Fleet::new(200, limit);
            offer(&mut fleet, limit.rate * 2.0, spread, 20_000);
            fleet.assert_within(&limit, 0);
            // Of a team that wants more than its rate, the rate at least is served.
            let served = fleet.admitted_since(START_MS + 10_000) as f64;
            assert!(
                served >= limit.rate * 10.0 * 0.95,
                "{limit:?} {spread:?}: {served}"
            );
        }
    }
}

#[test]
fn a_team_within_its_quota_is_not_refused() {
    for limit in [
        LARGE,
        TeamLimit {
            burst: 0.0,
            ..LARGE
        },
        SMALL,
    ] {
        for spread in [Spread::OneHost, Spread::AllHosts, Spread::Moving(2000)] {
            let mut fleet = Fleet::new(75, limit);
            offer_within(&mut fleet, &limit, spread, 30_000);
            let refused = fleet.refused.len();
            assert_eq!(
                refused,
                0,
                "{limit:?} {spread:?} of {}",
                fleet.admitted.len()
            );
            let least = limit.rate * 30.0 * 0.4;
            assert!(
                fleet.admitted.len() as f64 >= least,
                "{}",
                fleet.admitted.len()
            );
        }
    }
}

#[test]
fn lost_datagrams_cost_no_request_within_the_quota() {
    for limit in [LARGE, SMALL] {
        let mut fleet = Fleet::new(75, limit);
        fleet.loss = 0.02;
        offer_within(&mut fleet, &limit, Spread::AllHosts, 30_000);
        assert_eq!(fleet.refused.len(), 0, "{limit:?}");
        fleet.loss = 0.3;
        offer(&mut fleet, limit.rate * 2.0, Spread::AllHosts, 20_000);
        fleet.assert_within(&limit, 0);
    }
}

#[test]
fn the_limit_holds_when_the_owner_dies() {
    for limit in [LARGE, SMALL] {
        let mut fleet = Fleet::new(200, limit);
        offer(&mut fleet, limit.rate * 2.0, Spread::AllHosts, 5000);
        let owner = fleet.owner_of(0);
        fleet.stop(owner);
        offer(&mut fleet, limit.rate * 2.0, Spread::AllHosts, 3000);
        let view = without(&fleet, owner);
        // The table reaches the daemons one after the other.
        for index in 0..fleet.size() {
            fleet.adopt(index, &view);
            offer(&mut fleet, limit.rate * 2.0, Spread::AllHosts, 3);
        }
        offer(&mut fleet, limit.rate * 2.0, Spread::AllHosts, LEASE_MS);
        let resumed = fleet.now_ms;
        offer(&mut fleet, limit.rate * 2.0, Spread::AllHosts, 5000);
        fleet.assert_within(&limit, 0);
        let served = fleet.admitted_since(resumed) as f64;
        assert!(served >= limit.rate * 5.0 * 0.9, "{limit:?}: {served}");
    }
}

#[test]
fn the_limit_holds_while_two_daemons_take_themselves_for_the_owner() {
    for limit in [LARGE, SMALL] {
        let mut fleet = Fleet::new(200, limit);
        let view = fleet.view(0);
        let owner = fleet.owner_of(0);
        // A member that joins takes the team over, of which half of the daemons don't hear.
        let before = without(&fleet, owner);
        (0..fleet.size()).for_each(|i| fleet.adopt(i, &before));
        offer(&mut fleet, limit.rate * 2.0, Spread::AllHosts, 8000);
        for index in 0..fleet.size() {
            let network = u32::from(index % 2 == owner % 2);
            fleet.set_network(index, network);
        }
        for index in (owner % 2..fleet.size()).step_by(2) {
            fleet.adopt(index, &view);
        }
        offer(&mut fleet, limit.rate * 2.0, Spread::AllHosts, LEASE_MS);
        for index in (1 - owner % 2..fleet.size()).step_by(2) {
            fleet.set_network(index, 1);
            fleet.adopt(index, &view);
        }
        offer(&mut fleet, limit.rate * 2.0, Spread::AllHosts, 8000);
        fleet.assert_within(&limit, 0);
    }
}

#[test]
fn a_planned_change_of_the_owner_refuses_nothing() {
    // Without the handover, most requests would be refused for a lease time at each restart.
    for limit in [LARGE, SMALL] {
        let mut fleet = Fleet::new(75, limit);
        offer_within(&mut fleet, &limit, Spread::AllHosts, 5000);
        let owner = fleet.owner_of(0);
        let mut view = fleet.view(0);
        view[owner].leaving = true;
        for step in 0..fleet.size() {
            let index = (owner + step) % fleet.size();
            fleet.adopt(index, &view);
        }
        offer_within(&mut fleet, &limit, Spread::AllHosts, 5000);
        assert_eq!(fleet.refused.len(), 0, "{limit:?}");
        fleet.assert_within(&limit, 0);
        assert_ne!(fleet.owner_of(0), owner);
    }
}

#[test]
fn daemons_cut_off_from_the_owner_stay_within_the_limit_together() {
    for limit in [LARGE, SMALL] {
        let mut fleet = Fleet::new(200, limit);
        let owner = fleet.owner_of(0);
        for index in (0..fleet.size()).filter(|i| *i != owner) {
            fleet.set_network(index, index as u32 % 3);
        }
        fleet.set_network(owner, 0);
        offer(&mut fleet, limit.rate * 4.0, Spread::AllHosts, 15_000);
        fleet.assert_within(&limit, 0);
    }
}

#[test]
fn a_lower_limit_holds_one_window_after_it_is_in_force() {
    let mut fleet = Fleet::new(200, LARGE);
    offer(&mut fleet, 800.0, Spread::AllHosts, 5000);
    let lower = TeamLimit {
        rate: 40.0,
        burst: 10.0,
    };
    (0..fleet.size()).for_each(|i| fleet.set_limit(i, lower));
    let in_force = fleet.now_ms + CONFIG.window.as_millis() as u64;
    offer(&mut fleet, 800.0, Spread::AllHosts, 15_000);
    fleet.assert_within(&lower, in_force);
    assert!(fleet.admitted_since(in_force) as f64 >= 40.0 * 10.0 * 0.95);
}

#[test]
fn messages_stay_bounded_by_time_and_by_requests() {
    let mut one = Fleet::new(75, LARGE);
    offer(&mut one, 380.0, Spread::OneHost, 10_000);
    // An ask and an answer each 100 ms; some more while requests wait.
    assert!(one.messages <= 2 * 10 * 10 * 2, "{}", one.messages);
    let mut all = Fleet::new(75, LARGE);
    offer(&mut all, 380.0, Spread::AllHosts, 10_000);
    let requests = (all.admitted.len() + all.refused.len()) as u64;
    assert!(all.messages <= 2 * requests, "{} {requests}", all.messages);
}

#[test]
fn the_retry_delay_is_the_time_until_the_next_token() {
    let mut fleet = Fleet::new(20, SMALL);
    while fleet.refused.is_empty() {
        offer(&mut fleet, 100.0, Spread::OneHost, 1);
    }
    let (at, retry_after) = fleet.refused[0];
    let admitted = fleet.admitted.len();
    while fleet.now() < at + retry_after {
        fleet.step();
    }
    fleet.request(1);
    (0..10).for_each(|_| fleet.step());
    assert_eq!(fleet.admitted.len(), admitted + 1, "after {retry_after:?}");
    assert!(retry_after <= Duration::from_millis(334));
}

#[test]
fn a_token_is_used_once_and_expires() {
    let placement = placement_of_one();
    let terms = QuotaTerms::new(&CONFIG, LARGE, &placement);
    let mut quota = TeamQuota::default();
    let at = Moment::from_millis;
    quota.record_ask(at(0), 2);
    assert_eq!(quota.receive(at(5), &terms, at(0), 2, Duration::ZERO), 2);
    // A datagram may arrive twice.
    assert_eq!(quota.receive(at(6), &terms, at(0), 2, Duration::ZERO), 0);
    let QuotaDecision::Admitted(permit) = quota.admit(at(10), at(10), &terms) else {
        panic!("there is a token");
    };
    quota.give_back(at(20), permit);
    assert!(matches!(
        quota.admit(at(30), at(30), &terms),
        QuotaDecision::Admitted(_)
    ));
    assert!(matches!(
        quota.admit(at(30), at(30), &terms),
        QuotaDecision::Admitted(_)
    ));
    assert_eq!(quota.admit(at(30), at(30), &terms), QuotaDecision::Wait);
    let expires = at(0) + terms.token_validity;
    quota.give_back(expires, QuotaPermit::Token { expires });
    assert_eq!(quota.admit(expires, expires, &terms), QuotaDecision::Wait);
}

#[test]
fn the_fixed_shares_add_up_to_what_the_allowance_leaves() {
    let members: Vec<QuotaMember> = (0..75).map(fleet::member).collect();
    let team = "hule930".parse().expect("a name");
    for limit in [
        LARGE,
        SMALL,
        TeamLimit {
            rate: 0.01,
            burst: 0.0,
        },
    ] {
        let placements = members
            .iter()
            .map(|m| TeamPlacement::new(&team, &members, m.session));
        let shares = placements.map(|p| QuotaTerms::new(&CONFIG, limit, &p).fixed_share);
        let total: u64 = shares.sum();
        assert_eq!(total, CONFIG.fixed_requests(&limit));
        let validity = CONFIG.token_validity(&limit).as_secs_f64();
        let bucket = CONFIG.capacity(&limit)
            + CONFIG.refill_rate(&limit) * (CONFIG.window.as_secs_f64() + validity);
        assert!(
            bucket + total as f64 <= CONFIG.allowance(&limit),
            "{limit:?}"
        );
    }
}

#[test]
fn a_lapsed_owner_begins_again_with_empty_buckets() {
    let team: TeamName = "hule930".parse().expect("a name");
    let owned = [(team.clone(), LARGE)].into_iter().collect();
    let mut owner = QuotaOwner::new(CONFIG, LEASE);
    let at = Moment::from_millis;
    assert!(owner.adopt_members(at(0), &owned).is_empty());
    assert!(
        owner.issue(at(LEASE_MS - 1), &team, 1).is_none(),
        "the former owner may issue still"
    );
    assert_eq!(
        owner.issue(at(20_000), &team, 1000).map(|i| i.tokens),
        Some(397)
    );
    owner.empty(at(30_000));
    assert_eq!(
        owner.issue(at(30_000), &team, 1000).map(|i| i.tokens),
        Some(0)
    );
    assert!(
        owner
            .adopt_members(at(31_000), &Default::default())
            .contains_key(&team)
    );
    assert_eq!(owner.teams(), 0);
}

fn placement_of_one() -> TeamPlacement {
    let members = [fleet::member(0)];
    let team = "hule930".parse().expect("a name");
    TeamPlacement::new(&team, &members, members[0].session)
}

/// Returns the members that the first daemon knows, without one.
fn without(fleet: &Fleet, index: usize) -> Vec<QuotaMember> {
    let mut view = fleet.view(0);
    view.remove(index);
    view
}
