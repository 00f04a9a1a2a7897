//! The store goes away and comes back from an older copy, at drawn times. These draws are apart from
//! those of [`crate::soak::faults`], with which they overlap.

use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::args::BenchError;
use crate::host_cluster::HostCluster;

/// The time between the operators' rewrites after a return and the next outage, in milliseconds.
const INTERVAL_MS: std::ops::Range<u64> = 1500..6000;
/// How long the store is away, in milliseconds.
const AWAY_MS: std::ops::Range<u64> = 100..1500;
/// How much older than the outage the copy is, in milliseconds.
const COPY_AGE_MS: std::ops::Range<u64> = 0..6000;
/// How long after the return operators write again what was lost, in milliseconds.
const REWRITE_DELAY_MS: std::ops::Range<u64> = 0..1000;
/// Separates these draws from other draws of the same seed.
const SEED_MASK: u64 = 0x0065_7261_7321_7321;

/// What happens next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    GoAway,
    ComeBack { copy_age: Duration },
    Rewrite,
}

/// Draws and injects these faults.
pub struct StoreReturns {
    rng: SmallRng,
    started: Instant,
    next: Step,
    next_at: Instant,
    history: Vec<(Duration, String)>,
}

impl StoreReturns {
    /// Creates the faults of a seed; the store is there.
    pub fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed ^ SEED_MASK);
        let now = Instant::now();
        let next_at = now + Duration::from_millis(rng.random_range(INTERVAL_MS));
        Self {
            rng,
            started: now,
            next: Step::GoAway,
            next_at,
            history: Vec::new(),
        }
    }

    /// Takes the next step if it is due.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not respond.
    pub fn advance(&mut self, cluster: &HostCluster) -> Result<(), BenchError> {
        let now = Instant::now();
        if now < self.next_at {
            return Ok(());
        }
        let delay_ms = self.step(now, cluster)?;
        self.next_at = now + Duration::from_millis(delay_ms);
        Ok(())
    }

    /// Takes the next step; returns the time until the one after it, in milliseconds.
    fn step(&mut self, now: Instant, cluster: &HostCluster) -> Result<u64, BenchError> {
        let (what, next, delay_ms) = match self.next {
            Step::GoAway => {
                cluster.control_store("down", "")?;
                let away_ms = self.rng.random_range(AWAY_MS);
                let age_ms = away_ms + self.rng.random_range(COPY_AGE_MS);
                let copy_age = Duration::from_millis(age_ms);
                (
                    "store away".to_owned(),
                    Step::ComeBack { copy_age },
                    away_ms,
                )
            }
            Step::ComeBack { copy_age } => {
                let age_ms = copy_age.as_millis().to_string();
                cluster.control_store("restore", &age_ms)?;
                cluster.control_store("up", "")?;
                let delay_ms = self.rng.random_range(REWRITE_DELAY_MS);
                (
                    format!("store back as {age_ms} ms before"),
                    Step::Rewrite,
                    delay_ms,
                )
            }
            Step::Rewrite => {
                let count = cluster.control_store("rewrite", "")?;
                let interval_ms = self.rng.random_range(INTERVAL_MS);
                (
                    format!("{count} values rewritten"),
                    Step::GoAway,
                    interval_ms,
                )
            }
        };
        self.history.push((now - self.started, what));
        self.next = next;
        Ok(delay_ms)
    }

    /// Lets the store come back, and operators write again what it lost.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not respond.
    pub fn revert_all(&mut self, cluster: &HostCluster) -> Result<(), BenchError> {
        while self.next != Step::GoAway {
            self.step(Instant::now(), cluster)?;
        }
        // Faults that were reverted since wrote too.
        cluster.control_store("rewrite", "")?;
        Ok(())
    }

    /// Returns how often the store went away.
    pub fn count(&self) -> usize {
        self.history
            .iter()
            .filter(|(_, what)| what == "store away")
            .count()
    }

    /// Returns what was done, each after its time in seconds since the start.
    pub fn history(&self) -> String {
        let entries = self.history.iter();
        let entries = entries.map(|(at, what)| format!("{:.2} {what}", at.as_secs_f64()));
        entries.collect::<Vec<_>>().join(", ")
    }
}
