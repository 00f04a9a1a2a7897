//! `burn`: reports how fast each service consumes the error budget of its objective.

use std::collections::BTreeMap;

use getopts::{Matches, Options};

use crate::cmd::command::{self, Command, CommandError};
use crate::process::burn::{BurnCount, BurnReport, WINDOWS};
use crate::process::burn_plot;
use crate::version::service_name::ServiceName;

/// Returns the subcommand.
pub fn command() -> Command {
    Command {
        name: "burn",
        usage: "[OPTIONS]",
        about: "report the burn rates of service-level objectives, as table, JSON or plot",
        declare,
        execute,
    }
}

fn declare(options: &mut Options) {
    command::declare_admin(options);
    command::declare_json(options);
    options.optopt(
        "",
        "svg",
        "write a plot of the shortest window to FILE",
        "FILE",
    );
}

fn execute(matches: &Matches) -> Result<String, CommandError> {
    let statuses = command::fetch_statuses(matches)?;
    let reports = merge_reports(statuses.into_iter().flat_map(|s| s.burn));
    if let Some(path) = matches.opt_str("svg") {
        let plot = burn_plot::svg(&reports);
        std::fs::write(&path, plot).map_err(|e| CommandError::Failed(format!("{path}: {e}")))?;
    }
    if matches.opt_present("json") {
        return command::to_json_line(&reports);
    }
    Ok(format_table(&reports))
}

/// Merges the reports of several daemons into one report per service, with summed counts.
pub fn merge_reports(reports: impl Iterator<Item = BurnReport>) -> Vec<BurnReport> {
    let mut merged: BTreeMap<ServiceName, BurnReport> = BTreeMap::new();
    for report in reports {
        match merged.get_mut(&report.service) {
            Some(sum) => {
                add_counts(&mut sum.windows, &report.windows);
                add_counts(&mut sum.recent, &report.recent);
            }
            None => {
                merged.insert(report.service.clone(), report);
            }
        }
    }
    merged.into_values().collect()
}

fn add_counts(sums: &mut [BurnCount], counts: &[BurnCount]) {
    for (sum, count) in sums.iter_mut().zip(counts) {
        sum.add(*count);
    }
}

/// Formats the reports as a table with the requests, bad requests and burn rate of each window.
pub fn format_table(reports: &[BurnReport]) -> String {
    let mut text =
        String::from("SERVICE          OBJECTIVE           WINDOW  REQUESTS  BAD     BURN\n");
    for report in reports {
        let objective = format!(
            "{}% in {} ms",
            report.objective.availability_percent, report.objective.latency_ms
        );
        for (window, count) in WINDOWS.iter().zip(&report.windows) {
            text.push_str(&format!(
                "{:<16} {:<19} {:<7} {:<9} {:<7} {:.2}\n",
                report.service.to_string(),
                objective,
                format!("{}s", window.as_secs()),
                count.total,
                count.bad,
                count.burn_rate(&report.objective)
            ));
        }
    }
    text
}
