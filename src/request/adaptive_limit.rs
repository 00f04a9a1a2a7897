//! An adaptive concurrency limit for an upstream, derived from the latencies of its responses.
//!
//! A new upstream is cold: its limit is the number of cold slots that it announced, until its
//! responses have become clearly faster, or have kept the same latency for a long time. An upstream
//! that suddenly becomes slow may be cold again, or may share its host with a busy process. Its
//! limit is halved for a short trial: if its responses become faster, it was overloaded and counts
//! as cold; if not, its latency does not depend on its load, and it gets its full limit back.

use std::time::Duration;

use crate::process::moment::Moment;

/// The weight of a new sample in the moving mean.
const MEAN_WEIGHT: f64 = 0.1;
/// The weight of a new sample in the mean of the most recent latencies.
const RECENT_WEIGHT: f64 = 0.5;
/// The fraction by which the base latency rises towards the mean with each sample.
const BASE_RISE: f64 = 0.002;
/// The multiple of the base latency above which the mean counts as slow.
const SLOW_FACTOR: f64 = 2.5;
/// The minimum number of samples for a decision outside a trial.
const SAMPLES_MIN: u32 = 8;
/// The number of samples that decides a trial.
const TRIAL_SAMPLES: u32 = 5;
/// The fraction of the limit that remains during a trial.
const TRIAL_FRACTION: f64 = 0.5;
/// A trial shows overload if its mean falls below this fraction of the latency before it.
const OVERLOAD_RATIO: f64 = 0.75;
/// The upstream starts to warm up if its mean falls below this fraction of its cold mean.
const WARM_RATIO: f64 = 0.6;
/// How long an upstream stays cold if its latency does not change.
const COLD_TIME: Duration = Duration::from_secs(8);
/// The minimum time between two increases of the limit.
const RAMP_INTERVAL: Duration = Duration::from_millis(250);
/// The factor by which each step of a ramp increases the limit.
const RAMP_FACTOR: f64 = 1.5;
/// A ramp is reverted if its mean exceeds this multiple of the mean before the step.
const RAMP_ABORT_RATIO: f64 = 1.5;

/// The phase that determines how the limit changes.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// The upstream has its full limit.
    Warm,
    /// The upstream became slow; `before` is the mean of the most recent latencies at that time.
    Trial { before: f64 },
    /// The upstream is limited to its cold slots.
    Cold,
    /// The limit increases step by step; `before` is the mean latency at the last step.
    Ramp { before: f64 },
}

/// The mean latency of the requests sent since a moment.
#[derive(Clone, Copy, Debug, Default)]
struct LatencyWindow {
    since: Moment,
    samples: u32,
    sum: f64,
}

impl LatencyWindow {
    fn new(since: Moment) -> Self {
        Self {
            since,
            samples: 0,
            sum: 0.0,
        }
    }

    fn add(&mut self, sent: Moment, micros: f64) {
        if sent >= self.since {
            self.samples += 1;
            self.sum += micros;
        }
    }

    fn mean(&self, samples_min: u32) -> Option<f64> {
        (self.samples >= samples_min).then(|| self.sum / f64::from(self.samples))
    }
}

/// The latency statistics of one upstream process, and the limit that follows from them.
#[derive(Debug)]
pub struct AdaptiveLimit {
    slots: u32,
    cold_slots: u32,
    limit: f64,
    phase: Phase,
    phase_since: Moment,
    /// The latencies of requests sent since the phase or its present step began.
    window: LatencyWindow,
    /// The mean latency that the cold upstream must get clearly below to count as warm, in
    /// microseconds; `None` until measured.
    cold_mean: Option<f64>,
    /// The moving mean latency, in microseconds.
    mean: f64,
    /// The moving mean of the most recent latencies, in microseconds.
    recent: f64,
    /// The usual latency, in microseconds: it follows a falling mean at once and a rising mean
    /// slowly.
    base: f64,
    samples: u32,
}

impl AdaptiveLimit {
    /// Returns the limit of an upstream that has just started.
    pub fn cold(now: Moment, slots: u32, cold_slots: u32) -> Self {
        let slots = slots.max(1);
        let cold_slots = cold_slots.clamp(1, slots);
        Self {
            slots,
            cold_slots,
            limit: f64::from(cold_slots),
            phase: Phase::Cold,
            phase_since: now,
            window: LatencyWindow::new(now),
            cold_mean: None,
            mean: 0.0,
            recent: 0.0,
            base: 0.0,
            samples: 0,
        }
    }

    /// Returns how many requests may be in flight.
    pub fn limit(&self) -> u32 {
        (self.limit as u32).clamp(1, self.slots)
    }

    /// Returns how many concurrent requests the upstream handles when warm.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the mean latency, in microseconds; zero until there are enough samples.
    pub fn mean_micros(&self) -> f64 {
        if self.samples < SAMPLES_MIN {
            0.0
        } else {
            self.mean
        }
    }

    /// Returns the present capacity of the upstream, in per mille of its usual capacity.
    pub fn capacity_per_mille(&self) -> u32 {
        let speed = if self.mean > 0.0 {
            (self.base / self.mean).clamp(0.05, 1.0)
        } else {
            1.0
        };
        let speed = if speed > 0.7 { 1.0 } else { speed };
        let share = f64::from(self.limit()) / f64::from(self.slots);
        (speed * share * 1000.0) as u32
    }

    /// Returns the limit, in per mille of the slots.
    pub fn share_per_mille(&self) -> u32 {
        self.limit() * 1000 / self.slots
    }

    /// Records the latency of a request that has just finished.
    pub fn record_latency(&mut self, now: Moment, latency: Duration) {
        let micros = latency.as_micros() as f64;
        self.samples = self.samples.saturating_add(1);
        let weight = if self.samples == 1 { 1.0 } else { MEAN_WEIGHT };
        self.mean += (micros - self.mean) * weight;
        self.recent += (micros - self.recent) * weight.max(RECENT_WEIGHT);
        self.window.add(now - latency, micros);
        self.update_base();
        match self.phase {
            Phase::Warm => self.start_trial_if_slow(now),
            Phase::Trial { before } => self.evaluate_trial(now, before),
            Phase::Cold => self.evaluate_cold(now),
            Phase::Ramp { before } => self.evaluate_ramp(now, before),
        }
    }

    /// Records that the upstream shed a request: it is overloaded and counts as cold.
    pub fn record_shed(&mut self, now: Moment) {
        if self.phase != Phase::Cold {
            self.limit = f64::from(self.cold_slots);
            self.cold_mean = None;
            self.enter_phase(now, Phase::Cold);
        }
    }

    /// Lowers the base latency to the mean at once, but raises it slowly.
    fn update_base(&mut self) {
        if self.samples <= SAMPLES_MIN || self.mean < self.base {
            self.base = self.mean;
        } else {
            self.base += (self.mean - self.base) * BASE_RISE;
        }
    }

    fn enter_phase(&mut self, now: Moment, phase: Phase) {
        self.phase = phase;
        self.phase_since = now;
        self.window = LatencyWindow::new(now);
    }

    /// Starts a trial if the upstream became slow.
    fn start_trial_if_slow(&mut self, now: Moment) {
        if self.mean > self.base * SLOW_FACTOR {
            self.limit = (self.limit * TRIAL_FRACTION).max(f64::from(self.cold_slots));
            self.enter_phase(
                now,
                Phase::Trial {
                    before: self.recent,
                },
            );
        }
    }

    fn evaluate_trial(&mut self, now: Moment, before: f64) {
        let Some(mean) = self.window.mean(TRIAL_SAMPLES) else {
            return;
        };
        if mean < before * OVERLOAD_RATIO {
            self.limit = f64::from(self.cold_slots);
            self.cold_mean = None;
            self.enter_phase(now, Phase::Cold);
            return;
        }
        // The latency does not depend on the load, so it becomes the new base.
        self.base = self.mean;
        self.limit = f64::from(self.slots);
        self.enter_phase(now, Phase::Warm);
    }

    fn evaluate_cold(&mut self, now: Moment) {
        let Some(mean) = self.window.mean(SAMPLES_MIN) else {
            return;
        };
        let cold = *self.cold_mean.get_or_insert(mean);
        let timed_out = now.since(self.phase_since) >= COLD_TIME;
        if mean < cold * WARM_RATIO || timed_out {
            self.enter_phase(now, Phase::Ramp { before: mean });
            return;
        }
        self.window = LatencyWindow::new(now);
    }

    fn evaluate_ramp(&mut self, now: Moment, before: f64) {
        let Some(mean) = self.window.mean(SAMPLES_MIN) else {
            return;
        };
        if mean > before * RAMP_ABORT_RATIO {
            self.limit = f64::from(self.cold_slots);
            self.cold_mean = Some(before);
            self.enter_phase(now, Phase::Cold);
            return;
        }
        if now.since(self.phase_since) < RAMP_INTERVAL {
            return;
        }
        let increased = (self.limit * RAMP_FACTOR).max(self.limit + 1.0);
        self.limit = increased.min(f64::from(self.slots));
        let full = self.limit >= f64::from(self.slots);
        self.enter_phase(
            now,
            if full {
                Phase::Warm
            } else {
                Phase::Ramp { before: mean }
            },
        );
    }
}

impl Default for AdaptiveLimit {
    fn default() -> Self {
        Self::cold(Moment::default(), 1, 1)
    }
}
