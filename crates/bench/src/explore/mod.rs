//! Randomised simulations of the production ownership code and planner, in virtual time.
//!
//! A seeded generator chooses partitions, pauses, lost datagrams, restarts, platform outages, lost
//! replies of the platform, concurrent planners, slice moves, joins and resignations. Work on a slice
//! that a daemon has lost continues for a while, at most until its permits end; releases begin with
//! a delay, take as long as their work, and overlap. After each event the simulation checks that at
//! most one daemon works on a slice, that no release is announced while work on its slices continues,
//! that a slice's fencing token only rises, and that adopted epochs and document versions never fall.
//! At the end all faults are repaired, and every slice must be served.

pub mod event;
pub mod event_queue;
pub mod fault_injector;
pub mod forged_datagram;
pub mod invariant_checker;
pub mod network;
pub mod node;
pub mod platform;
pub mod release;
pub mod simulation;
pub mod tamper;

use std::time::{Duration, Instant};

use crate::args::{self, BenchError};
use crate::explore::simulation::{Simulation, SimulationSpec};
use crate::explore::tamper::Tamper;

/// How long faults are injected for each seed, in virtual time.
pub const SIMULATED_TIME: Duration = Duration::from_secs(60);

/// The result of the simulation of one seed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeedOutcome {
    /// The number of events that were processed.
    pub steps: u64,
    /// The highest table epoch that was written.
    pub epoch: u64,
    /// How many times a slice got a new owner.
    pub takeovers: u64,
    /// The invariant that was broken, if one was.
    pub violation: Option<String>,
}

/// Simulates one seed: injects faults for `length`, then checks recovery.
pub fn run_seed(seed: u64, tamper: Tamper, length: Duration) -> SeedOutcome {
    let mut simulation = Simulation::new(&SimulationSpec { seed, tamper });
    let violation = simulation.run(length).err();
    SeedOutcome {
        steps: simulation.steps(),
        epoch: simulation.epoch(),
        takeovers: simulation.takeovers(),
        violation,
    }
}

/// Simulates successive seeds until the time given by the arguments is over.
///
/// # Errors
///
/// Returns an error if the arguments are invalid or an invariant is broken.
pub fn run(args: &[String]) -> Result<(), BenchError> {
    let matches = args::parse(args, |o| {
        o.optopt("", "seconds", "run time in seconds (default 30)", "N");
        o.optopt("", "seed", "first seed (default 1)", "N");
        o.optopt(
            "",
            "tamper",
            "safety rule to disable (default none)",
            "NAME",
        );
    })?;
    let limit = Duration::from_secs(args::value(&matches, "seconds", 30)?);
    let first: u64 = args::value(&matches, "seed", 1)?;
    let tamper: Tamper = args::value(&matches, "tamper", Tamper::None)?;
    let started = Instant::now();
    let (mut seed, mut steps, mut takeovers) = (first, 0, 0);
    while started.elapsed() < limit {
        let outcome = run_seed(seed, tamper, SIMULATED_TIME);
        steps += outcome.steps;
        takeovers += outcome.takeovers;
        if let Some(violation) = outcome.violation {
            println!("RESULT explore seed={seed} tamper={tamper} violation={violation:?}");
            return Err(BenchError(format!("seed {seed}: {violation}")));
        }
        seed += 1;
    }
    let rate = steps as f64 / started.elapsed().as_secs_f64();
    println!(
        "RESULT explore seeds={first}..{seed} tamper={tamper} steps={steps} takeovers={takeovers} \
         steps_per_s={rate:.0} violations=0"
    );
    Ok(())
}
