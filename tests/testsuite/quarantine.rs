//! Requests that crash upstreams.

use std::time::Duration;

use foxtaildrift::process::moment::Moment;
use foxtaildrift::request::fingerprint::Fingerprint;
use foxtaildrift::request::quarantine::{
    CrashSuspect, QUARANTINE_TIME, Quarantine, QuarantineState,
};
use foxtaildrift::version::upstream::UpstreamBoot;

const NOW: Moment = Moment(1_000_000);
const REQUEST: Fingerprint = Fingerprint(7);

fn suspicion(boot: u64) -> CrashSuspect {
    CrashSuspect {
        fingerprint: REQUEST,
        boot: UpstreamBoot(boot),
    }
}

#[test]
fn two_crashes_convict_and_one_only_suspects() {
    let mut quarantine = Quarantine::default();
    quarantine.add_suspect(NOW, &suspicion(1));
    quarantine.add_suspect(NOW, &suspicion(1));
    assert_eq!(quarantine.state_of(NOW, REQUEST), QuarantineState::Suspect);
    quarantine.add_suspect(NOW, &suspicion(2));
    assert_eq!(
        quarantine.state_of(NOW, REQUEST),
        QuarantineState::Quarantined
    );
}

#[test]
fn a_request_alone_at_a_crash_is_only_suspected() {
    // An upstream that is killed from outside must not take its callers' requests with it: in
    // `failover` the rule "alone at one crash" left a key unserved for as long as the run went on.
    let mut quarantine = Quarantine::default();
    quarantine.add_suspect(NOW, &suspicion(1));
    assert_eq!(quarantine.state_of(NOW, REQUEST), QuarantineState::Suspect);
}

#[test]
fn a_suspect_that_runs_well_is_cleared_but_a_convict_is_not() {
    let mut quarantine = Quarantine::default();
    quarantine.add_suspect(NOW, &suspicion(1));
    quarantine.clear(NOW, REQUEST);
    assert_eq!(quarantine.state_of(NOW, REQUEST), QuarantineState::Clear);
    quarantine.add_suspect(NOW, &suspicion(2));
    quarantine.add_suspect(NOW, &suspicion(3));
    quarantine.clear(NOW, REQUEST);
    assert_eq!(
        quarantine.state_of(NOW, REQUEST),
        QuarantineState::Quarantined
    );
}

#[test]
fn suspicion_ends_with_time() {
    let mut quarantine = Quarantine::default();
    quarantine.add_suspect(NOW, &suspicion(1));
    assert_eq!(
        quarantine.state_of(NOW + QUARANTINE_TIME, REQUEST),
        QuarantineState::Clear
    );
}

#[test]
fn an_order_whose_connection_broke_before_the_crash_was_noticed_is_suspected() {
    let mut quarantine = Quarantine::default();
    for boot in [1, 2] {
        quarantine.record_broken_connection(NOW, suspicion(boot));
        let suspects = quarantine.record_crash(NOW, UpstreamBoot(boot), std::iter::empty());
        assert_eq!(suspects, [suspicion(boot)]);
        let again = quarantine.record_crash(NOW, UpstreamBoot(boot), std::iter::empty());
        assert!(again.is_empty(), "a crash counts once");
    }
    assert_eq!(
        quarantine.state_of(NOW, REQUEST),
        QuarantineState::Quarantined
    );
}

#[test]
fn a_broken_connection_alone_convicts_nobody() {
    let mut quarantine = Quarantine::default();
    for boot in [1, 2, 3] {
        quarantine.record_broken_connection(NOW, suspicion(boot));
    }
    assert_eq!(quarantine.state_of(NOW, REQUEST), QuarantineState::Clear);
    let long_after = NOW + Duration::from_secs(60);
    let suspects = quarantine.record_crash(long_after, UpstreamBoot(1), std::iter::empty());
    assert!(suspects.is_empty(), "that was another crash: {suspects:?}");
}
