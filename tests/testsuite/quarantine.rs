//! Suspicion and quarantine of requests that crash upstreams.

use std::time::Duration;

use foxtaildrift::process::moment::Moment;
use foxtaildrift::request::fingerprint::Fingerprint;
use foxtaildrift::request::quarantine::{
    CrashSuspect, QUARANTINE_TIME, Quarantine, QuarantineState,
};
use foxtaildrift::version::upstream::UpstreamBoot;

const NOW: Moment = Moment(1_000_000);
const REQUEST: Fingerprint = Fingerprint(7);

fn suspect(boot: u64) -> CrashSuspect {
    CrashSuspect {
        fingerprint: REQUEST,
        boot: UpstreamBoot(boot),
    }
}

#[test]
fn two_crashes_quarantine_a_request_and_one_makes_it_suspect() {
    let mut quarantine = Quarantine::default();
    quarantine.add_suspect(NOW, &suspect(1));
    quarantine.add_suspect(NOW, &suspect(1));
    assert_eq!(quarantine.state_of(NOW, REQUEST), QuarantineState::Suspect);
    quarantine.add_suspect(NOW, &suspect(2));
    assert_eq!(
        quarantine.state_of(NOW, REQUEST),
        QuarantineState::Quarantined
    );
}

#[test]
fn sole_request_in_flight_at_a_crash_is_not_quarantined() {
    // An upstream that is killed from outside must not cause the quarantine of a request. In the
    // `failover` run, a rule that quarantined the only request in flight at one crash left a key
    // unserved for the rest of the run.
    let mut quarantine = Quarantine::default();
    quarantine.add_suspect(NOW, &suspect(1));
    assert_eq!(quarantine.state_of(NOW, REQUEST), QuarantineState::Suspect);
}

#[test]
fn successful_run_clears_a_suspect_but_not_a_quarantined_request() {
    let mut quarantine = Quarantine::default();
    quarantine.add_suspect(NOW, &suspect(1));
    quarantine.clear(NOW, REQUEST);
    assert_eq!(quarantine.state_of(NOW, REQUEST), QuarantineState::Clear);
    quarantine.add_suspect(NOW, &suspect(2));
    quarantine.add_suspect(NOW, &suspect(3));
    quarantine.clear(NOW, REQUEST);
    assert_eq!(
        quarantine.state_of(NOW, REQUEST),
        QuarantineState::Quarantined
    );
}

#[test]
fn suspicion_expires() {
    let mut quarantine = Quarantine::default();
    quarantine.add_suspect(NOW, &suspect(1));
    assert_eq!(
        quarantine.state_of(NOW + QUARANTINE_TIME, REQUEST),
        QuarantineState::Clear
    );
}

#[test]
fn request_with_a_broken_connection_becomes_suspect_when_the_crash_is_detected() {
    let mut quarantine = Quarantine::default();
    for boot in [1, 2] {
        quarantine.record_broken_connection(NOW, suspect(boot));
        let suspects = quarantine.record_crash(NOW, UpstreamBoot(boot), std::iter::empty());
        assert_eq!(suspects, [suspect(boot)]);
        let again = quarantine.record_crash(NOW, UpstreamBoot(boot), std::iter::empty());
        assert!(again.is_empty(), "a crash is recorded once");
    }
    assert_eq!(
        quarantine.state_of(NOW, REQUEST),
        QuarantineState::Quarantined
    );
}

#[test]
fn broken_connections_without_a_crash_do_not_make_a_suspect() {
    let mut quarantine = Quarantine::default();
    for boot in [1, 2, 3] {
        quarantine.record_broken_connection(NOW, suspect(boot));
    }
    assert_eq!(quarantine.state_of(NOW, REQUEST), QuarantineState::Clear);
    let later = NOW + Duration::from_secs(60);
    let suspects = quarantine.record_crash(later, UpstreamBoot(1), std::iter::empty());
    assert!(
        suspects.is_empty(),
        "the broken connections are too old for this crash: {suspects:?}"
    );
}
