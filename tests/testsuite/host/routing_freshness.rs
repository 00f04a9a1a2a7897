//! How recent a daemon knows its routing to be, and which keys it then accepts.

use std::time::Duration;

use foxtaildrift::process::host::routing_freshness::RoutingFreshness;
use foxtaildrift::process::moment::Moment;
use foxtaildrift::version::document_version::DocumentVersion;
use foxtaildrift::version::store_era::StoreEra;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const TIMEOUT: Duration = Duration::from_secs(5);
const SEVEN: DocumentVersion = version(0, 7);
const EIGHT: DocumentVersion = version(0, 8);

const fn version(era: u64, number: u64) -> DocumentVersion {
    DocumentVersion {
        era: StoreEra(era),
        number,
    }
}

fn at(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn without_strict_revocation_a_routing_is_always_recent_and_no_age_is_sent() {
    let mut freshness = RoutingFreshness::default();
    assert!(freshness.is_recent(at(1_000_000)));
    freshness.record_store_call(at(1000));
    assert_eq!(freshness.shared_age(at(1001)), None);
    assert_eq!(freshness.watch_max(), None);
    assert!(!freshness.take_own_call(at(1_000_000)));
}

/// A daemon cut off from the store and from its peers must stop in time, also if its clock is slow by
/// a twentieth.
#[test]
fn a_routing_is_recent_until_shortly_before_the_timeout() {
    let mut freshness = RoutingFreshness::strict(TIMEOUT);
    assert!(!freshness.is_recent(at(10)));
    freshness.record_store_call(at(10_000));
    assert!(freshness.is_recent(at(14_750)));
    assert!(!freshness.is_recent(at(14_751)));
    freshness.record_store_call(at(9000));
    assert!(
        freshness.is_recent(at(14_750)),
        "an earlier call takes nothing away"
    );
}

/// The delay of a grant must not make old knowledge look newer.
#[test]
fn a_grant_counts_from_the_renewal_less_its_age_and_clock_drift() {
    let mut freshness = RoutingFreshness::strict(TIMEOUT);
    freshness.record_grant(at(10_000), ms(2000), SEVEN, SEVEN);
    assert_eq!(freshness.newest_at(), Some(at(7900)));
    assert!(freshness.is_recent(at(12_650)));
    assert!(!freshness.is_recent(at(12_651)));
    freshness.record_grant(at(10_000), ms(100), SEVEN, EIGHT);
    assert_eq!(freshness.newest_at(), Some(at(9895)));
    freshness.record_grant(at(1), TIMEOUT, SEVEN, SEVEN);
    assert_eq!(freshness.newest_at(), Some(at(9895)));
}

/// A daemon that still has the routing with a revoked key must not take the knowledge of a witness
/// that has already adopted its removal.
#[test]
fn the_knowledge_of_a_newer_routing_does_not_count() {
    let mut freshness = RoutingFreshness::strict(TIMEOUT);
    freshness.record_store_call(at(1000));
    freshness.record_grant(at(5900), ms(0), EIGHT, SEVEN);
    assert!(!freshness.is_recent(at(6000)));
    freshness.record_grant(at(5900), ms(0), EIGHT, EIGHT);
    assert!(freshness.is_recent(at(6000)));
}

/// After a return of the store a routing of the new era may lack a revocation that the store lost and
/// that a daemon with the one before, or with another one of the new era, has.
#[test]
fn knowledge_of_one_era_is_not_taken_for_a_routing_of_another() {
    let mut freshness = RoutingFreshness::strict(TIMEOUT);
    freshness.record_grant(at(5000), ms(0), SEVEN, version(1, 90));
    assert_eq!(freshness.newest_at(), None);
    freshness.record_store_call(at(5000));
    freshness.begin_era();
    assert!(freshness.is_recent(at(6000)), "its own routing includes it");
    assert_eq!(freshness.shared_age(at(6000)), None);
    freshness.record_grant(at(4000), ms(0), version(1, 90), version(1, 90));
    assert_eq!(freshness.shared_age(at(6000)), Some(ms(2000)));
    assert_eq!(freshness.newest_at(), Some(at(5000)));
}

#[test]
fn knowledge_as_old_as_the_timeout_is_not_passed_on() {
    let mut freshness = RoutingFreshness::strict(TIMEOUT);
    assert_eq!(freshness.shared_age(at(1)), None);
    freshness.record_store_call(at(1000));
    assert_eq!(freshness.shared_age(at(3000)), Some(ms(2000)));
    assert_eq!(freshness.shared_age(at(6000)), None);
}

/// While the store is down, the calls of a large fleet must stay within what it takes.
#[test]
fn a_daemon_without_recent_knowledge_calls_the_store_itself_but_seldom() {
    let mut freshness = RoutingFreshness::strict(TIMEOUT);
    freshness.record_store_call(at(10_000));
    let calls = (10_000..40_000).step_by(100);
    let calls: Vec<u64> = calls.filter(|&t| freshness.take_own_call(at(t))).collect();
    assert_eq!(calls.first(), Some(&12_500));
    assert_eq!(calls.len(), 11);
    assert!(!freshness.take_own_call(at(39_000)));
    freshness.record_changes();
    assert!(
        freshness.take_own_call(at(39_000)),
        "what follows the changes is not known"
    );
}

/// When operators write teams for the first time, a large fleet must not call the store all at once.
#[test]
fn a_daemon_that_never_knew_its_routing_waits_for_grants_before_it_calls_the_store() {
    let mut freshness = RoutingFreshness::strict(TIMEOUT);
    let calls = (10_000..20_000).step_by(100);
    let calls: Vec<u64> = calls.filter(|&t| freshness.take_own_call(at(t))).collect();
    assert_eq!(calls, [12_500, 15_000, 17_500]);
}

#[test]
fn watch_calls_are_an_eighth_of_the_timeout_and_at_most_a_second() {
    let watch_max = |timeout| RoutingFreshness::strict(timeout).watch_max();
    assert_eq!(watch_max(TIMEOUT), Some(ms(625)));
    assert_eq!(watch_max(ms(60_000)), Some(ms(1000)));
}

/// The load of the design: 4,400 daemons, of which 10 watch the store, and 5 witnesses for each. A
/// merely slow store (500 ms a call) and one lost datagram in ten must cause no refusals.
#[test]
fn knowledge_of_a_few_watchers_reaches_a_large_fleet_in_time() {
    const DAEMONS: usize = 4400;
    const WATCHERS: usize = 10;
    let mut rng = SmallRng::seed_from_u64(5);
    let mut fleet = vec![RoutingFreshness::strict(TIMEOUT); DAEMONS];
    let witnesses: Vec<[usize; 5]> = (0..DAEMONS)
        .map(|_| std::array::from_fn(|_| rng.random_range(0..DAEMONS)))
        .collect();
    // A watch call takes its wait and the store's delay.
    let call_ms = 625 + 500;
    let (mut refused, mut oldest) = (0, Duration::ZERO);
    for now in (0..30_000).step_by(50) {
        for (n, witnesses) in witnesses.iter().enumerate() {
            if n < WATCHERS && now % call_ms < 50 && now >= call_ms {
                fleet[n].record_store_call(at(now - now % call_ms - call_ms));
            }
            // Each daemon renews every 400 ms, at a time of its own.
            if now % 400 != u64::try_from(n % 8).unwrap() * 50 {
                continue;
            }
            for &witness in witnesses {
                if let Some(age) = fleet[witness].shared_age(at(now))
                    && !rng.random_bool(0.1)
                {
                    fleet[n].record_grant(at(now), age, SEVEN, SEVEN);
                }
            }
            if now >= 10_000 {
                refused += u32::from(!fleet[n].is_recent(at(now)));
                let newest = fleet[n].newest_at().unwrap_or_default();
                oldest = oldest.max(at(now).since(newest));
            }
        }
    }
    println!("oldest knowledge: {oldest:?}");
    assert_eq!(refused, 0, "{oldest:?}");
}
