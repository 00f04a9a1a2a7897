//! What a stopping process still takes.

use std::time::Duration;

use foxtaildrift::process::host::stop_gate::StopGate;
use foxtaildrift::process::moment::Moment;

const GRACE: Duration = Duration::from_secs(6);
const LONG: Duration = Duration::from_secs(8);
const SHORT: Duration = Duration::from_millis(500);

#[test]
fn everything_is_taken_until_the_stop_starts() {
    let gate = StopGate::default();
    assert!(gate.admits(Moment::from_millis(1000), LONG));
    assert!(!gate.is_stopping());
}

/// Guards against a second signal that prolongs the stop: the process is killed after the first one's
/// grace period.
#[test]
fn the_times_of_the_first_signal_stay_in_force() {
    let gate = StopGate::default();
    let first = gate.start_stop(Moment::from_millis(1000), GRACE);
    let second = gate.start_stop(Moment::from_millis(4000), GRACE);
    assert_eq!(second.deadline(), first.deadline());
    assert!(gate.is_stopping());
    assert!(!gate.admits(Moment::from_millis(4000), LONG));
}

/// Guards against a request that arrives between the last look for requests and the close of the
/// connections of a stop that ends early: it was passed on and cut off (LOST).
#[test]
fn nothing_is_taken_once_the_gate_is_closed() {
    let gate = StopGate::default();
    gate.start_stop(Moment::from_millis(1000), GRACE);
    assert!(gate.admits(Moment::from_millis(3700), SHORT));
    gate.close();
    assert!(gate.is_closed());
    assert!(!gate.admits(Moment::from_millis(3700), SHORT));
    assert!(!gate.admits(Moment::from_millis(1100), SHORT));
}
