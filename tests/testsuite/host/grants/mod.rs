//! What the daemon tells others about keys that its upstream may still use, tested with a real
//! upstream connection.

mod daemon;
mod late_requests;
mod upstream;

use std::net::TcpListener;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::host::grants::daemon::{Daemon, OTHER, OWN, table};
use crate::host::grants::upstream::{Answer, ScriptedUpstream};
use foxtaildrift::version::epoch::Epoch;

/// How long a test waits for something that must happen.
const PATIENCE: Duration = Duration::from_secs(8);
/// Interval of the reconciliation in these tests.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(50);

/// Waits until the call of a release has arrived.
fn await_release(upstream: &ScriptedUpstream) {
    let started = Instant::now();
    while upstream.calls("release").is_empty() {
        assert!(started.elapsed() < PATIENCE, "no release");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Runs a daemon whose grants are not answered, and whose keys then go to another one; asserts that
/// its session ends, and only when no grant can take effect any more.
fn assert_session_outlasts_grants(release: Answer) {
    let upstream = ScriptedUpstream::start(move |call| match call.name.as_str() {
        "release" => release,
        _ => Answer::Never,
    });
    let daemon = Daemon::start(&upstream, table(1, &[OWN, OTHER]));
    daemon.manager.reconcile();
    assert!(!upstream.calls("grant").is_empty(), "a grant was sent");
    daemon.adopt(table(2, &[OTHER, OWN]));
    let manager = Arc::clone(&daemon.manager);
    let releasing = thread::spawn(move || manager.release_lost_keys());
    await_release(&upstream);
    daemon.lose_upstream();
    let started = Instant::now();
    while !daemon.has_resigned() && started.elapsed() < PATIENCE {
        daemon.manager.reconcile();
        thread::sleep(RECONCILE_INTERVAL);
    }
    let ended = Instant::now();
    releasing.join().unwrap();
    assert!(daemon.has_resigned());
    for grant in upstream.calls("grant") {
        assert!(
            ended >= grant.valid_until(),
            "the session ended {:?} before {grant:?} expired",
            grant.valid_until() - ended
        );
    }
}

/// Guards against a session that ends while a grant sent under it may still take effect: the next
/// owner then had the keys, and the late grant took them with a lower fencing token.
#[test]
fn a_session_does_not_end_while_an_unanswered_grant_may_take_effect() {
    assert_session_outlasts_grants(Answer::Never);
}

/// Guards against the same where the keys were released, and the release was acknowledged.
#[test]
fn an_acknowledged_release_does_not_void_an_unanswered_grant() {
    assert_session_outlasts_grants(Answer::After(Duration::ZERO));
}

/// Guards against an epoch that is announced as released although keys that its table took away are
/// still being released, because the release for a later table began first and found them.
#[test]
fn an_epoch_is_not_announced_while_a_later_release_still_has_its_keys() {
    let upstream = ScriptedUpstream::start(|call| match call.name.as_str() {
        "release" => Answer::After(Duration::from_millis(800)),
        _ => Answer::After(Duration::ZERO),
    });
    let daemon = Daemon::start(&upstream, table(1, &[OWN, OTHER]));
    daemon.manager.reconcile();
    daemon.manager.release_lost_keys();
    daemon.adopt(table(2, &[OTHER, OWN]));
    daemon.adopt(table(3, &[OTHER, OWN]));
    let manager = Arc::clone(&daemon.manager);
    let releasing = thread::spawn(move || manager.release_lost_keys());
    await_release(&upstream);
    daemon.manager.release_lost_keys();
    assert_eq!(
        daemon.announced(),
        Epoch(1),
        "the upstream has not answered the release"
    );
    releasing.join().unwrap();
    assert_eq!(daemon.announced(), Epoch(3));
}

/// Guards against a next owner that grants keys without their handover, because their release was
/// announced before the handover was sent.
#[test]
fn a_release_is_announced_after_its_handover_was_sent() {
    let upstream = ScriptedUpstream::start(|_| Answer::After(Duration::ZERO));
    let daemon = Daemon::start(&upstream, table(1, &[OWN, OTHER]));
    daemon.manager.reconcile();
    let next_owner = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = next_owner.local_addr().unwrap();
    daemon.adopt(table(2, &[OTHER, OWN]).with_peer(OTHER, address));
    let manager = Arc::clone(&daemon.manager);
    let releasing = thread::spawn(move || manager.release_lost_keys());
    let (_silent, _) = next_owner.accept().unwrap();
    daemon.manager.reconcile();
    assert_eq!(daemon.announced(), Epoch(0), "the handover is being sent");
    releasing.join().unwrap();
    assert_eq!(daemon.announced(), Epoch(2));
}

/// Guards against a restarted daemon that releases its own new grants in the name of its former
/// process, after which its upstream refuses the keys.
#[test]
fn a_restarted_daemon_does_not_release_its_own_grants_for_its_former_process() {
    let upstream = ScriptedUpstream::start(|_| Answer::After(Duration::ZERO));
    let daemon = Daemon::start(&upstream, table(1, &[OWN, OTHER]).with_former_process());
    daemon.manager.reconcile();
    assert_eq!(upstream.calls("grant").len(), 1);
    daemon.manager.release_former_grants();
    assert!(
        upstream.calls("release").is_empty(),
        "{:?}",
        upstream.calls("release")
    );
}

/// Guards against a former process whose sessions are announced as ended while a grant that it sent
/// may still take effect.
#[test]
fn a_restarted_daemon_releases_for_its_former_process_without_ending_its_sessions() {
    let upstream = ScriptedUpstream::start(|_| Answer::After(Duration::ZERO));
    let daemon = Daemon::start(&upstream, table(1, &[OTHER]).with_former_process());
    daemon.manager.release_former_grants();
    daemon.manager.release_former_grants();
    let releases = upstream.calls("release");
    assert_eq!(releases.len(), 1, "{releases:?}");
    assert_eq!(releases[0].fencing_token, 0, "below all own grants");
    assert!(!daemon.has_ended_former_sessions());
}

/// Reconciles until `count` grants have arrived; returns their fencing tokens.
fn await_grants(daemon: &Daemon, upstream: &ScriptedUpstream, count: usize) -> Vec<u64> {
    let started = Instant::now();
    loop {
        daemon.manager.reconcile();
        let grants = upstream.calls("grant");
        if grants.len() >= count {
            return grants.iter().map(|g| g.fencing_token).collect();
        }
        assert!(started.elapsed() < 2 * PATIENCE, "{} grants", grants.len());
        thread::sleep(RECONCILE_INTERVAL);
    }
}

/// Guards against a new process of the upstream that gets the keys with the fencing token of its
/// former process, because it is up again at the same address before it reports (OWNER).
#[test]
fn a_process_that_has_not_reported_gets_no_fencing_token_of_a_former_one() {
    let upstream = ScriptedUpstream::start(|_| Answer::After(Duration::ZERO));
    let daemon = Daemon::start(&upstream, table(1, &[OWN, OTHER]));
    let former = await_grants(&daemon, &upstream, 2);
    upstream.restart();
    let all = await_grants(&daemon, &upstream, former.len() + 2);
    let newest_former = former.iter().max().unwrap();
    for token in &all[former.len()..] {
        assert!(token > newest_former, "{all:?}");
    }
}

#[test]
fn a_grant_is_renewed_with_the_same_fencing_token_while_its_process_runs() {
    let upstream = ScriptedUpstream::start(|_| Answer::After(Duration::ZERO));
    let daemon = Daemon::start(&upstream, table(1, &[OWN, OTHER]));
    let tokens = await_grants(&daemon, &upstream, 4);
    assert!(tokens.iter().all(|t| *t == tokens[0]), "{tokens:?}");
}

/// Guards against a grant that waits in a connection which the upstream has not taken up: its duration
/// counts from then, and a daemon that stands still meanwhile can't withdraw it (OWNER).
#[test]
fn a_grant_is_sent_only_on_a_connection_that_the_upstream_serves() {
    let upstream = ScriptedUpstream::start(|_| Answer::After(Duration::ZERO));
    let daemon = Daemon::start(&upstream, table(1, &[OWN, OTHER]));
    await_grants(&daemon, &upstream, 3);
    for grant in upstream.calls("grant") {
        assert!(!grant.is_first, "{grant:?}");
    }
}

/// Guards against an upstream that keeps keys which its daemon granted before it stood still, although
/// another upstream has them since the lease lapsed (OWNER).
#[test]
fn grants_that_may_outlast_a_lapsed_lease_are_released_at_once() {
    let upstream = ScriptedUpstream::start(|call| match call.name.as_str() {
        "grant" => Answer::Never,
        _ => Answer::After(Duration::ZERO),
    });
    let daemon = Daemon::start(&upstream, table(1, &[OWN, OTHER]));
    daemon.stop_renewals();
    daemon.manager.reconcile();
    daemon.await_lapse();
    let lapsed = Instant::now();
    daemon.manager.release_outlasting();
    let release = upstream.calls("release").pop().expect("a release");
    let delay = release.at.duration_since(lapsed);
    assert!(delay < Duration::from_millis(100), "{delay:?}");
}

/// Guards against a lapse of the lease that costs the keys their handovers: what ends with the lease
/// needs no release, and the lease may come back.
#[test]
fn grants_that_end_with_a_lapsed_lease_are_kept() {
    let upstream = ScriptedUpstream::start(|_| Answer::After(Duration::ZERO));
    let daemon = Daemon::start(&upstream, table(1, &[OWN, OTHER]));
    daemon.manager.reconcile();
    daemon.stop_renewals();
    daemon.await_lapse();
    daemon.manager.release_outlasting();
    assert_eq!(upstream.calls("release").len(), 0);
}

/// Guards against a slow release after a lapse that holds up the periodic tasks, so that nothing is
/// granted though the lease is back.
#[test]
fn a_slow_release_does_not_hold_up_the_reconciliation() {
    let upstream = ScriptedUpstream::start(|call| match call.name.as_str() {
        "grant" => Answer::Never,
        _ => Answer::After(Duration::from_secs(2)),
    });
    let daemon = Daemon::start(&upstream, table(1, &[OWN, OTHER]));
    daemon.stop_renewals();
    daemon.manager.reconcile();
    daemon.await_lapse();
    let manager = Arc::clone(&daemon.manager);
    let releasing = thread::spawn(move || manager.release_outlasting());
    await_release(&upstream);
    let started = Instant::now();
    daemon.manager.reconcile();
    assert!(started.elapsed() < Duration::from_millis(300));
    releasing.join().unwrap();
}

/// Guards against a grant that the upstream reads after its daemon gave it up and reset the connection,
/// and that lasts longer than the keys' release is held back for it (OWNER).
#[test]
fn a_grant_that_is_read_after_its_reset_ends_before_its_release_is_announced() {
    let upstream = ScriptedUpstream::start(|_| Answer::After(Duration::ZERO));
    let daemon = Daemon::start(&upstream, table(1, &[OWN, OTHER]));
    upstream.stall_after_ping(Duration::from_millis(1500));
    daemon.manager.reconcile();
    daemon.adopt(table(2, &[OTHER]));
    daemon.manager.release_lost_keys();
    let started = Instant::now();
    while daemon.announced() < Epoch(2) {
        assert!(started.elapsed() < PATIENCE, "not announced");
        daemon.manager.reconcile();
        thread::sleep(RECONCILE_INTERVAL);
    }
    let announced = Instant::now();
    let releases = upstream.calls("release");
    for grant in upstream.calls("grant") {
        let is_released = releases.iter().any(|r| r.at >= grant.at);
        let ends_early = grant.valid_until() <= announced;
        assert!(is_released || ends_early, "{grant:?} {announced:?}");
    }
}
