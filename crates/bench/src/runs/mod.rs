//! The runs: each starts an environment, causes a failure or measures a cost, and compares the
//! responses that callers received with the upstreams' journals.

pub mod adoption;
pub mod capacity;
pub mod cold;
pub mod compare;
pub mod control;
pub mod crossed;
pub mod demo;
pub mod domain;
pub mod environment;
pub mod failover;
pub mod faults;
pub mod hot;
pub mod late;
pub mod outage;
pub mod poison;
pub mod report;
pub mod restart;
pub mod silent;
pub mod straggler;

use crate::args::BenchError;

/// A run: its name on the command line and the function that executes it.
pub type RunEntry = (&'static str, fn(&[String]) -> Result<(), BenchError>);

/// All runs, by name.
pub const RUNS: &[RunEntry] = &[
    ("demo", demo::run),
    ("failover", failover::run),
    ("outage", outage::run),
    ("silent", silent::run),
    ("crossed", crossed::run),
    ("poison", poison::run),
    ("restart", restart::run),
    ("late", late::run),
    ("adoption", adoption::run),
    ("faults", faults::run),
    ("straggler", straggler::run),
    ("domain", domain::run),
    ("cold", cold::run),
    ("hot", hot::run),
    ("capacity", capacity::run),
    ("control", control::run),
];
