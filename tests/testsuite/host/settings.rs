//! Settings of the host daemon.

use foxtaildrift::process::host::host_settings::HostSettings;

#[test]
fn an_empty_file_is_valid() {
    assert_eq!(HostSettings::parse("").unwrap(), HostSettings::default());
    assert_eq!(
        HostSettings::parse("# nothing\n").unwrap(),
        HostSettings::default()
    );
}

#[test]
fn errors_name_the_field_or_value() {
    let cases = [
        ("lease_ms: 99", "lease_ms"),
        ("renewal_ms: 1999", "renewal_ms"),
        ("give_up_ms: 99", "give_up_ms"),
        ("hold_max_ms: 1", "hold_max_ms"),
        ("drain_ms: 0", "drain_ms"),
        ("grace_s: 0", "grace_s"),
        ("retry_ratio: 11", "retry_ratio"),
        ("retry_slack: -1", "retry_slack"),
        ("retry_window_s: .nan", "retry_window_s"),
        ("memory_mb: 15", "memory_mb"),
        ("revoke_timeout_ms: 999", "revoke_timeout_ms"),
        ("strict_revocation: maybe", "strict_revocation"),
        ("log_level: loud", "loud"),
        ("domain: Zarzis!", "Zarzis!"),
        ("callers: here", "callers"),
        ("no_such: 1", "no_such"),
    ];
    for (text, named) in cases {
        let error = HostSettings::parse(text).unwrap_err().to_string();
        assert!(error.contains(named), "{text}: {error}");
    }
}
