//! Runs with real processes whose verdict does not depend on the machine's speed.

use std::process::Command;

/// Executes a run and returns the fields of its result line.
fn run_result(args: &[&str]) -> Vec<(String, String)> {
    let _lock = crate::daemon::lock_environment();
    let output = Command::new(env!("CARGO_BIN_EXE_foxtaildrift-bench"))
        .args(args)
        .output();
    let output = output.expect("the run starts");
    let errors = String::from_utf8_lossy(&output.stderr);
    let text = String::from_utf8(output.stdout).expect("the output is UTF-8");
    let line = text.lines().find(|l| l.starts_with("RESULT "));
    let line = line.unwrap_or_else(|| panic!("{args:?} printed no RESULT line: {errors}"));
    println!("{line}");
    let fields = line.split(' ').filter_map(|f| f.split_once('='));
    fields
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect()
}

fn assert_promises_held(fields: &[(String, String)]) {
    for name in [
        "ran_twice",
        "lost",
        "false_not_run",
        "two_owners",
        "wrong_answers",
    ] {
        let value = fields
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, v)| v.as_str());
        assert_eq!(value, Some("0"), "{name}");
    }
}

#[test]
fn a_late_first_attempt_does_not_run_again() {
    let fields = run_result(&["late"]);
    assert!(
        fields.contains(&("times_run".to_owned(), "1".to_owned())),
        "{fields:?}"
    );
}

#[test]
fn delayed_truncated_and_lost_messages_mix_up_no_responses() {
    assert_promises_held(&run_result(&["crossed"]));
}

#[test]
fn promises_hold_when_open_connections_go_silent() {
    assert_promises_held(&run_result(&["silent"]));
}

#[test]
fn promises_hold_under_drawn_faults() {
    assert_promises_held(&run_result(&["faults", "--seed", "3", "--seconds", "15"]));
}

#[test]
fn promises_hold_under_drawn_faults_where_upstreams_check_no_grants() {
    let args = ["faults", "--seed", "4", "--seconds", "15", "--no-checks"];
    assert_promises_held(&run_result(&args));
}

#[test]
fn a_poisonous_request_crashes_at_most_two_upstreams() {
    let fields = run_result(&["poison"]);
    assert_promises_held(&fields);
    for name in ["keyed_crashes", "shared_crashes"] {
        let crashes = fields
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, v)| v.parse::<u32>());
        assert!(matches!(crashes, Some(Ok(0..=2))), "{name}: {crashes:?}");
    }
}
