//! Requests that crash upstreams.

use foxtaildrift::process::moment::Moment;
use foxtaildrift::request::fingerprint::Fingerprint;
use foxtaildrift::request::quarantine::{QUARANTINE_TIME, Quarantine, Standing, Suspicion};
use foxtaildrift::version::upstream::UpstreamBoot;

const NOW: Moment = Moment(1_000_000);
const REQUEST: Fingerprint = Fingerprint(7);

fn suspicion(boot: u64, alone: bool) -> Suspicion {
    Suspicion {
        fingerprint: REQUEST,
        boot: UpstreamBoot(boot),
        alone,
    }
}

#[test]
fn two_crashes_convict_and_one_only_suspects() {
    let mut quarantine = Quarantine::default();
    quarantine.suspect(NOW, &suspicion(1, false));
    quarantine.suspect(NOW, &suspicion(1, false));
    assert_eq!(quarantine.standing(NOW, REQUEST), Standing::Suspect);
    quarantine.suspect(NOW, &suspicion(2, false));
    assert_eq!(quarantine.standing(NOW, REQUEST), Standing::Quarantined);
}

#[test]
fn a_request_alone_at_a_crash_is_convicted_at_once() {
    let mut quarantine = Quarantine::default();
    quarantine.suspect(NOW, &suspicion(1, true));
    assert_eq!(quarantine.standing(NOW, REQUEST), Standing::Quarantined);
}

#[test]
fn a_suspect_that_runs_well_is_cleared_but_a_convict_is_not() {
    let mut quarantine = Quarantine::default();
    quarantine.suspect(NOW, &suspicion(1, false));
    quarantine.clear(NOW, REQUEST);
    assert_eq!(quarantine.standing(NOW, REQUEST), Standing::Clear);
    quarantine.suspect(NOW, &suspicion(2, true));
    quarantine.clear(NOW, REQUEST);
    assert_eq!(quarantine.standing(NOW, REQUEST), Standing::Quarantined);
}

#[test]
fn suspicion_ends_with_time() {
    let mut quarantine = Quarantine::default();
    quarantine.suspect(NOW, &suspicion(1, true));
    assert_eq!(
        quarantine.standing(NOW + QUARANTINE_TIME, REQUEST),
        Standing::Clear
    );
}
