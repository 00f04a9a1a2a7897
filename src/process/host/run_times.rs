//! Estimates how long a request of each kind runs on the local upstream now. Performs no I/O:
//! callers pass in the time.
//!
//! Answers the load of kinds whose run times differ by a factor of ten on one upstream, and of
//! upstreams that differ in speed and are slowed for moments by their neighbours.

use std::collections::HashMap;
use std::time::Duration;

use crate::process::moment::Moment;
use crate::request::request_kind::RequestKind;

/// Weight of a new run time in the moving averages.
const RUN_TIME_WEIGHT: f64 = 0.05;
/// Number of run times of a kind up to which their plain mean is used.
const PLAIN_MEAN_SAMPLES: u32 = 20;
/// Assumed mean run time of an upstream while none is known, in microseconds.
pub(super) const INITIAL_MEAN_MICROS: f64 = 100_000.0;
/// Weight of a new run time in the slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.15;
/// Time constant of the decay of the slowdown: one that is not confirmed by new run times ends.
const SLOWDOWN_DECAY: Duration = Duration::from_millis(500);
/// Range of the slowdown.
const SLOWDOWN_RANGE: (f64, f64) = (0.5, 6.0);
/// Maximum number of kinds; operators add and remove routes all the time.
const KINDS_MAX: usize = 64;

#[derive(Clone, Copy, Debug)]
struct KindTimes {
    mean_micros: f64,
    samples: u32,
    last_at: Moment,
}

/// Run times of the requests on one upstream.
#[derive(Debug)]
pub struct RunTimes {
    kinds: HashMap<RequestKind, KindTimes>,
    /// Mean over all kinds.
    mean_micros: f64,
    /// Ratio of the latest run times to the means of their kinds, as of `slowdown_at`.
    slowdown: f64,
    slowdown_at: Moment,
}

impl Default for RunTimes {
    fn default() -> Self {
        Self {
            kinds: HashMap::new(),
            mean_micros: INITIAL_MEAN_MICROS,
            slowdown: 1.0,
            slowdown_at: Moment::default(),
        }
    }
}

impl RunTimes {
    /// Records how long a request ran.
    pub fn record(&mut self, now: Moment, kind: RequestKind, run_time: Duration) {
        let micros = run_time.as_micros() as f64;
        let before = self.slowdown(now);
        if let Some(known) = self.kinds.get(&kind) {
            let (min, max) = SLOWDOWN_RANGE;
            let ratio = (micros / known.mean_micros.max(1.0)).clamp(min, max);
            self.slowdown = before + (ratio - before) * SLOWDOWN_WEIGHT;
            self.slowdown_at = now;
        }
        self.mean_micros += (micros - self.mean_micros) * RUN_TIME_WEIGHT;
        // A moment of slowness must not count twice, in the slowdown and in the mean of the kind.
        self.record_kind(now, kind, micros / before.max(1.0));
    }

    /// Returns how long a request of `kind` is expected to run if it starts now.
    pub fn estimate(&self, now: Moment, kind: RequestKind) -> Duration {
        let mean = self
            .kinds
            .get(&kind)
            .map_or(self.mean_micros, |k| k.mean_micros);
        Duration::from_micros((mean * self.slowdown(now)) as u64)
    }

    /// Returns the mean run time over all kinds, in microseconds.
    pub fn mean_micros(&self) -> f64 {
        self.mean_micros
    }

    /// Returns the present run times relative to the usual ones.
    pub fn slowdown(&self, now: Moment) -> f64 {
        let age = now.since(self.slowdown_at).as_secs_f64() / SLOWDOWN_DECAY.as_secs_f64();
        1.0 + (self.slowdown - 1.0) * (-age).exp()
    }

    fn record_kind(&mut self, now: Moment, kind: RequestKind, micros: f64) {
        if self.kinds.len() >= KINDS_MAX && !self.kinds.contains_key(&kind) {
            let oldest = self.kinds.iter().min_by_key(|(_, k)| k.last_at);
            if let Some(oldest) = oldest.map(|(kind, _)| *kind) {
                self.kinds.remove(&oldest);
            }
        }
        let times = self.kinds.entry(kind).or_insert(KindTimes {
            mean_micros: micros,
            samples: 0,
            last_at: now,
        });
        times.samples = times.samples.saturating_add(1);
        times.last_at = now;
        let weight = match times.samples <= PLAIN_MEAN_SAMPLES {
            true => 1.0 / f64::from(times.samples),
            false => RUN_TIME_WEIGHT,
        };
        times.mean_micros += (micros - times.mean_micros) * weight;
    }
}
