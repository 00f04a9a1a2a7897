//! Long randomised runs of the shipped ownership rules and planner, in virtual time.
//!
//! A seeded source draws partitions, pauses, losses, restarts, platform outages, lost answers,
//! racing planners, moves, joins and resignations. After each event the run asserts that no two
//! daemons may work on one slice, that a slice's token only rises, and that adopted epochs and
//! document versions never fall. At the end all faults heal, and each slice must be served.

pub mod chaos;
pub mod node;
pub mod tamper;
pub mod watch;
pub mod world;

use std::time::{Duration, Instant};

use crate::args::{self, BenchError};
use crate::explore::tamper::Tamper;
use crate::explore::world::{World, WorldSpec};

/// The virtual time of one seed's run.
pub const RUN_TIME: Duration = Duration::from_secs(60);

/// How one seed's run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// The events that were processed.
    pub steps: u64,
    /// The highest epoch that was written.
    pub epoch: u64,
    /// How many times a slice changed hands.
    pub takeovers: u64,
    /// What went wrong, if anything did.
    pub violation: Option<String>,
}

/// Runs one seed.
pub fn run_seed(seed: u64, tamper: Tamper, length: Duration) -> Outcome {
    let mut world = World::new(&WorldSpec { seed, tamper });
    let violation = world.run(length).err();
    Outcome {
        steps: world.steps(),
        epoch: world.epoch(),
        takeovers: world.takeovers(),
        violation,
    }
}

/// Runs seeds for as long as the arguments ask.
///
/// # Errors
///
/// Returns an error where the arguments don't fit or an invariant was broken.
pub fn run(args: &[String]) -> Result<(), BenchError> {
    let matches = args::parse(args, |o| {
        o.optopt("", "seconds", "how long to go on (default 30)", "N");
        o.optopt("", "seed", "the first seed (default 1)", "N");
        o.optopt("", "tamper", "the rule to take out (default none)", "NAME");
    })?;
    let limit = Duration::from_secs(args::value(&matches, "seconds", 30)?);
    let first: u64 = args::value(&matches, "seed", 1)?;
    let tamper: Tamper = args::value(&matches, "tamper", Tamper::None)?;
    let started = Instant::now();
    let (mut seed, mut steps, mut takeovers) = (first, 0, 0);
    while started.elapsed() < limit {
        let outcome = run_seed(seed, tamper, RUN_TIME);
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
