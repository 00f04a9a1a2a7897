//! The last line of a run, and whether its targets hold.

use std::fmt::Display;

use crate::args::BenchError;
use crate::cluster::Cluster;
use crate::journal::{self, Told, Verdict};
use crate::load::Seen;

/// The time within which a key must be served again after a loss, in milliseconds (letter 1).
pub const SERVED_AGAIN_MS: u64 = 4000;

/// The figures of a run and the targets that they missed.
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

    /// Notes a figure.
    pub fn figure(&mut self, name: &str, value: impl Display) {
        self.figures.push(format!("{name}={value}"));
    }

    /// Notes a figure and whether it meets its target.
    pub fn target(&mut self, name: &str, value: impl Display, met: bool) {
        if !met {
            self.missed.push(format!("{name}={value}"));
        }
        self.figure(name, value);
    }

    /// Holds the journals against what callers were told, and notes the verdict.
    ///
    /// # Errors
    ///
    /// Returns an error where a journal can't be read.
    pub fn judge(&mut self, cluster: &Cluster, seen: &[&Seen]) -> Result<Verdict, BenchError> {
        let runs = journal::read_all(&cluster.folder).map_err(BenchError::turn("journals"))?;
        let mut told = Told::default();
        for seen in seen {
            told.ran.extend(seen.told.ran.iter().cloned());
            told.not_run.extend(seen.told.not_run.iter().cloned());
        }
        let verdict = journal::judge(&runs, &told);
        for run in journal::repeated(&runs) {
            println!("repeated: {run:?}");
        }
        let sum = |f: fn(&Seen) -> u64| seen.iter().map(|s| f(s)).sum::<u64>();
        self.figure("requests", sum(|s| s.attempts));
        self.figure("ran", sum(|s| s.ran));
        self.figure("not_run", sum(|s| s.outcome("not-run")));
        self.figure("unknown", sum(|s| s.outcome("unknown")));
        self.figure("no_answer", sum(|s| s.outcome("none")));
        self.target("ran_twice", verdict.ran_twice, verdict.ran_twice == 0);
        self.target("lost", verdict.lost, verdict.lost == 0);
        self.target(
            "false_not_run",
            verdict.false_not_run,
            verdict.false_not_run == 0,
        );
        self.target("two_owners", verdict.two_owners, verdict.two_owners == 0);
        let wrong = sum(|s| s.wrong);
        self.target("wrong_answers", wrong, wrong == 0);
        Ok(verdict)
    }

    /// Prints the reasons of refusals.
    pub fn print_reasons(seen: &Seen) {
        for (reason, n) in &seen.reasons {
            println!("  {n} x {reason}");
        }
    }

    /// Prints the last line.
    ///
    /// # Errors
    ///
    /// Returns an error where a target was missed.
    pub fn end(self) -> Result<(), BenchError> {
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
