//! Service-level burn: counters, merged reports, table and plot.

use std::time::Duration;

use foxtaildrift::cmd::burn;
use foxtaildrift::process::burn::{BurnCount, BurnCounters, BurnReport, WINDOWS};
use foxtaildrift::process::burn_plot;
use foxtaildrift::process::wall_time::WallTime;
use foxtaildrift::version::objective::Objective;
use foxtaildrift::version::service_name::ServiceName;
use insta::assert_snapshot;

const START: WallTime = WallTime(1_700_000_000_000);

fn service() -> ServiceName {
    "order-desk".parse().unwrap()
}

fn seconds_after_start(seconds: u64) -> WallTime {
    START.saturating_add(Duration::from_secs(seconds))
}

/// Returns the report on one request per second, with every tenth one bad.
fn report(seconds: u64) -> BurnReport {
    let mut counters = BurnCounters::default();
    for second in 0..seconds {
        counters.record(seconds_after_start(second), &service(), second % 10 != 0);
    }
    counters.report(
        seconds_after_start(seconds - 1),
        &service(),
        Objective::default(),
    )
}

#[test]
fn each_window_sums_only_its_own_requests() {
    let totals: Vec<u64> = report(4000).windows.iter().map(|w| w.total).collect();
    assert_eq!(totals, [300, 3600, 4000]);
    let bad: Vec<u64> = report(4000).windows.iter().map(|w| w.bad).collect();
    assert_eq!(bad, [30, 360, 400]);
}

#[test]
fn counts_older_than_the_longest_window_are_dropped() {
    let longest = WINDOWS[WINDOWS.len() - 1].as_secs();
    let total = report(longest + 5000).windows[2].total;
    assert_eq!(total, longest);
}

#[test]
fn the_burn_rate_is_relative_to_the_error_budget() {
    let count = BurnCount {
        total: 1000,
        bad: 2,
    };
    assert!((count.burn_rate(&Objective::default()) - 2.0).abs() < 1e-9);
    assert_eq!(BurnCount::default().burn_rate(&Objective::default()), 0.0);
}

#[test]
fn reports_of_several_daemons_are_summed() {
    let merged = burn::merge_reports([report(300), report(300)].into_iter());
    assert_eq!(merged.len(), 1);
    assert_eq!(
        merged[0].windows[0],
        BurnCount {
            total: 600,
            bad: 60
        }
    );
    assert_snapshot!(burn::format_table(&merged));
}

#[test]
fn the_plot_marks_each_step_above_the_budget() {
    let plot = burn_plot::svg(&[report(300)]);
    assert!(plot.starts_with("<svg ") && plot.ends_with("</svg>\n"));
    assert_eq!(plot.matches("fill=\"#c0392b\"").count(), 30);
}
