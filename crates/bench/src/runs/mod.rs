//! The runs: each starts an environment, brings about a failure, and holds what callers were told
//! against the journals.

pub mod crossed;
pub mod demo;
pub mod environment;
pub mod failover;
pub mod faults;
pub mod late;
pub mod outage;
pub mod poison;
pub mod report;
pub mod restart;
pub mod silent;

use crate::args::BenchError;

/// A run: its name and what executes it.
pub type Run = (&'static str, fn(&[String]) -> Result<(), BenchError>);

/// All runs.
pub const RUNS: &[Run] = &[
    ("demo", demo::run),
    ("failover", failover::run),
    ("outage", outage::run),
    ("silent", silent::run),
    ("crossed", crossed::run),
    ("poison", poison::run),
    ("restart", restart::run),
    ("late", late::run),
    ("faults", faults::run),
];
