//! Daemons that are paused several times in a row.

use std::time::{Duration, Instant};

use rand::RngExt;
use rand::rngs::SmallRng;
use rustix::process::Signal;

use crate::args::BenchError;
use crate::host_cluster::{HostCluster, HostProcess};

/// How long a pause lasts, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 1000..5000;
/// The time between two pauses of a series, in milliseconds.
const GAP_MS: std::ops::Range<u64> = 50..1500;
/// The number of pauses of a series.
const PAUSES: std::ops::Range<u32> = 2..5;

/// Pauses the daemon of one host a drawn number of times, with short gaps.
pub struct PauseSeries {
    host: usize,
    /// The number of pauses that have not ended.
    remaining: u32,
    is_paused: bool,
    next_change_at: Instant,
}

impl PauseSeries {
    /// Draws a series for the daemon of a host; its first pause begins after a gap.
    pub fn draw(rng: &mut SmallRng, host: usize, now: Instant) -> Self {
        Self {
            host,
            remaining: rng.random_range(PAUSES),
            is_paused: false,
            next_change_at: now + Duration::from_millis(rng.random_range(GAP_MS)),
        }
    }

    /// Pauses or resumes the daemon if that is due; returns what was done.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon can't be signalled.
    pub fn advance(
        &mut self,
        rng: &mut SmallRng,
        now: Instant,
        cluster: &mut HostCluster,
    ) -> Result<Option<String>, BenchError> {
        if self.is_over() || now < self.next_change_at {
            return Ok(None);
        }
        if self.is_paused {
            self.resume(cluster)?;
            self.remaining -= 1;
            self.next_change_at = now + Duration::from_millis(rng.random_range(GAP_MS));
            return Ok(Some(format!("resume {}", self.host)));
        }
        cluster.signal(self.host, HostProcess::Daemon, Signal::STOP)?;
        self.is_paused = true;
        self.next_change_at = now + Duration::from_millis(rng.random_range(PAUSE_MS));
        Ok(Some(format!("pause {}", self.host)))
    }

    /// Resumes the daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon can't be signalled.
    pub fn resume(&mut self, cluster: &mut HostCluster) -> Result<(), BenchError> {
        self.is_paused = false;
        cluster.signal(self.host, HostProcess::Daemon, Signal::CONT)
    }

    /// Returns whether all pauses have ended.
    pub fn is_over(&self) -> bool {
        self.remaining == 0
    }
}
