//! Short soaks with fixed seeds, whose verdict does not depend on the machine's speed.

use std::process::Command;

/// The seeds, each with the time during which faults are injected, in seconds. The first is a short
/// soak. The second guards against a failure in which all watches of the routing configuration had
/// stopped delivering changes, so that a failure domain stayed evacuated for 22 s.
const SEEDS: [(u64, u32); 2] = [(3, 6), (203, 12)];

#[test]
fn promises_hold_under_overlapping_faults() {
    for (seed, seconds) in SEEDS {
        let _lock = crate::daemon::lock_environment();
        let output = Command::new(env!("CARGO_BIN_EXE_foxtaildrift-bench"))
            .args(["soak", "--seed", &seed.to_string()])
            .args(["--seconds", &seconds.to_string()])
            .output()
            .expect("the soak starts");
        let text = String::from_utf8_lossy(&output.stdout);
        let errors = String::from_utf8_lossy(&output.stderr);
        println!("{text}");
        assert!(output.status.success(), "{text}{errors}");
        assert!(text.contains("targets=held"), "{text}");
    }
}

#[test]
fn a_number_of_hosts_out_of_range_is_refused() {
    let output = Command::new(env!("CARGO_BIN_EXE_foxtaildrift-bench"))
        .args(["soak", "--hosts", "2"])
        .output()
        .expect("the soak starts");
    assert!(!output.status.success());
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(errors.contains("--hosts: 2 is not in 6 to 100"), "{errors}");
}
