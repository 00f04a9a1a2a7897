//! Faults that make grants reach their upstream late or take effect at the wrong process. They have
//! draws of their own and overlap with those of [`crate::soak::faults`].

use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::args::BenchError;
use crate::host_cluster::HostCluster;
use crate::soak::pause_series::PauseSeries;

/// The number of daemons that are paused in series at the same time.
const OVERLAPPING_SERIES: usize = 2;
/// The largest fraction of the grants that are late.
const LATE_SHARE_MAX: f64 = 0.3;
/// The time between two restarts of upstreams, in milliseconds.
const RESTART_INTERVAL_MS: std::ops::Range<u64> = 500..3000;
/// How long after its restart an upstream reports its state, in milliseconds.
const FIRST_REPORT_MS: std::ops::Range<u64> = 1000..3000;
/// Separates these draws from other draws of the same seed.
const SEED_MASK: u64 = 0x0067_7261_6e74_7321;

/// Draws, injects and reverts these faults.
pub struct GrantFaults {
    rng: SmallRng,
    started: Instant,
    series: Vec<PauseSeries>,
    next_restart_at: Instant,
    history: Vec<(Duration, String)>,
}

impl GrantFaults {
    /// Creates the faults of a seed; none is active.
    pub fn new(seed: u64) -> Self {
        let now = Instant::now();
        Self {
            rng: SmallRng::seed_from_u64(seed ^ SEED_MASK),
            started: now,
            series: Vec::new(),
            next_restart_at: now,
            history: Vec::new(),
        }
    }

    /// Lets the upstreams carry out a drawn share of the grants late, until all is reverted.
    ///
    /// # Errors
    ///
    /// Returns an error if an upstream does not respond.
    pub fn begin(&mut self, cluster: &mut HostCluster) -> Result<(), BenchError> {
        let share = self.rng.random_range(0.0..LATE_SHARE_MAX);
        cluster.set_late_grants(share)?;
        let entry = (self.started.elapsed(), format!("late grants {share:.2}"));
        self.history.push(entry);
        Ok(())
    }

    /// Injects and reverts the faults that are due.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be started or signalled.
    pub fn advance(&mut self, cluster: &mut HostCluster) -> Result<(), BenchError> {
        let now = Instant::now();
        self.restart_upstream_if_due(now, cluster)?;
        self.series.retain(|s| !s.is_over());
        while self.series.len() < OVERLAPPING_SERIES {
            let host = self.rng.random_range(0..cluster.hosts.len());
            self.series
                .push(PauseSeries::draw(&mut self.rng, host, now));
        }
        for series in &mut self.series {
            let done = series.advance(&mut self.rng, now, cluster)?;
            let entry = done.map(|d| (now - self.started, d));
            self.history.extend(entry);
        }
        Ok(())
    }

    fn restart_upstream_if_due(
        &mut self,
        now: Instant,
        cluster: &mut HostCluster,
    ) -> Result<(), BenchError> {
        if now < self.next_restart_at {
            return Ok(());
        }
        self.next_restart_at =
            now + Duration::from_millis(self.rng.random_range(RESTART_INTERVAL_MS));
        let host = self.rng.random_range(0..cluster.hosts.len());
        let first_report_ms = self.rng.random_range(FIRST_REPORT_MS);
        cluster.restart_upstream(host, first_report_ms)?;
        let entry = format!("restart upstream {host}, first report after {first_report_ms} ms");
        self.history.push((now - self.started, entry));
        Ok(())
    }

    /// Resumes the daemons that are paused, and ends the late grants. All upstreams that run must be
    /// able to respond.
    ///
    /// # Errors
    ///
    /// Returns an error if a daemon can't be signalled or an upstream does not respond.
    pub fn revert_all(&mut self, cluster: &mut HostCluster) -> Result<(), BenchError> {
        for mut series in std::mem::take(&mut self.series) {
            series.resume(cluster)?;
        }
        cluster.set_late_grants(0.0)
    }

    /// Returns how many faults were injected or reverted.
    pub fn count(&self) -> usize {
        self.history.len()
    }

    /// Returns what was injected and reverted, each after its time in seconds since the start.
    pub fn history(&self) -> String {
        let entries = self.history.iter();
        let entries = entries.map(|(at, what)| format!("{:.2} {what}", at.as_secs_f64()));
        entries.collect::<Vec<_>>().join(", ")
    }
}
