//! How many retries one daemon may send.

use std::time::Duration;

use foxtaildrift::process::host::retry_budget_share::{RetryBudgetConfig, RetryBudgetShare};
use foxtaildrift::process::moment::Moment;

const CONFIG: RetryBudgetConfig = RetryBudgetConfig {
    ratio: 0.2,
    slack: 56.0,
    window: Duration::from_secs(10),
};

#[test]
fn all_daemons_together_stay_within_the_budget_in_each_window() {
    let daemons = 10;
    let mut shares: Vec<RetryBudgetShare> =
        (0..daemons).map(|_| RetryBudgetShare::default()).collect();
    let mut retries = Vec::new();
    let mut requests = Vec::new();
    // Each daemon gets a request every 50 ms, and tries to retry each of them twice.
    for step in 0..600u64 {
        let now = Moment::from_millis(step * 50);
        for share in &mut shares {
            share.record_request(now, &CONFIG);
            requests.push(now);
            for _ in 0..2 {
                if share.try_withdraw(now, &CONFIG, daemons) {
                    retries.push(now);
                }
            }
        }
    }
    assert!(!retries.is_empty());
    for from in (0..20_000).step_by(250) {
        let (from, to) = (
            Moment::from_millis(from),
            Moment::from_millis(from + 10_000),
        );
        let inside = |all: &[Moment]| all.iter().filter(|t| (from..to).contains(t)).count();
        let allowed = inside(&requests) as f64 * CONFIG.ratio + CONFIG.slack;
        assert!(inside(&retries) as f64 <= allowed, "at {from}");
    }
}

#[test]
fn without_requests_only_the_slack_is_available() {
    let mut share = RetryBudgetShare::default();
    let now = Moment::from_millis(1);
    let taken = (0..100)
        .filter(|_| share.try_withdraw(now, &CONFIG, 10))
        .count();
    assert!((1..=5).contains(&taken), "{taken}");
    let later = Moment::from_millis(10_500);
    assert!(
        share.try_withdraw(later, &CONFIG, 10),
        "the window has passed"
    );
}
