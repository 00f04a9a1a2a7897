//! The result line of a run, with its figures and whether its targets were met.

use std::fmt::Display;

use crate::args::BenchError;
use crate::cluster::Cluster;
use crate::journal::{self, ReportedOutcomes, Violations};
use crate::load::load_stats::LoadStats;

/// The target: how soon a key must be served again after a loss, in milliseconds.
pub const SERVED_AGAIN_MS_MAX: u64 = 4000;

/// The figures of a run and those that missed their targets.
pub struct Report {
    name: &'static str,
    figures: Vec<String>,
    missed: Vec<String>,
}

impl Report {
    /// Creates an empty report.
    pub fn new(name: &'static str) -> Self {
        Self {
            name,
            figures: Vec::new(),
            missed: Vec::new(),
        }
    }

    /// Adds a figure.
    pub fn add_figure(&mut self, name: &str, value: impl Display) {
        self.figures.push(format!("{name}={value}"));
    }

    /// Adds a figure with a target, which is missed unless `met`.
    pub fn add_target(&mut self, name: &str, value: impl Display, met: bool) {
        if !met {
            self.missed.push(format!("{name}={value}"));
        }
        self.add_figure(name, value);
    }

    /// Compares the journals with the outcomes that callers received, and adds a figure for each
    /// promise.
    ///
    /// # Errors
    ///
    /// Returns an error if a journal can't be read.
    pub fn check_journals(
        &mut self,
        cluster: &Cluster,
        all_stats: &[&LoadStats],
    ) -> Result<Violations, BenchError> {
        let runs =
            journal::read_all(&cluster.folder).map_err(BenchError::with_context("journals"))?;
        let mut reported = ReportedOutcomes::default();
        for stats in all_stats {
            reported.ran.extend(stats.reported.ran.iter().cloned());
            reported
                .not_run
                .extend(stats.reported.not_run.iter().cloned());
        }
        let violations = journal::count_violations(&runs, &reported);
        for run in journal::repeated_runs(&runs) {
            println!("repeated: {run:?}");
        }
        let sum = |f: fn(&LoadStats) -> u64| all_stats.iter().map(|s| f(s)).sum::<u64>();
        self.add_figure("requests", sum(|s| s.attempts));
        self.add_figure("ran", sum(|s| s.ran));
        self.add_figure("not_run", sum(|s| s.outcome_count("not-run")));
        self.add_figure("unknown", sum(|s| s.outcome_count("unknown")));
        self.add_figure("no_answer", sum(|s| s.outcome_count("none")));
        self.add_target("ran_twice", violations.ran_twice, violations.ran_twice == 0);
        self.add_target("lost", violations.lost, violations.lost == 0);
        self.add_target(
            "false_not_run",
            violations.false_not_run,
            violations.false_not_run == 0,
        );
        self.add_target(
            "two_owners",
            violations.two_owners,
            violations.two_owners == 0,
        );
        let wrong = sum(|s| s.wrong);
        self.add_target("wrong_answers", wrong, wrong == 0);
        Ok(violations)
    }

    /// Prints the reasons of refusals with their counts.
    pub fn print_reasons(stats: &LoadStats) {
        for (reason, n) in &stats.reasons {
            println!("  {n} x {reason}");
        }
    }

    /// Prints the result line.
    ///
    /// # Errors
    ///
    /// Returns an error if a target was missed.
    pub fn finish(self) -> Result<(), BenchError> {
        let result = if self.missed.is_empty() {
            "held"
        } else {
            "MISSED"
        };
        println!(
            "RESULT {} {} targets={result}",
            self.name,
            self.figures.join(" ")
        );
        if self.missed.is_empty() {
            return Ok(());
        }
        Err(BenchError(format!(
            "targets missed: {}",
            self.missed.join(" ")
        )))
    }
}
