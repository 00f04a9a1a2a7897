//! How much an upstream bears at present, judged by how long its answers take.
//!
//! A new upstream is cold: it gets no more than it announced to bear then, until its answers have
//! become clearly faster, or have stayed as they are for long. One that suddenly becomes slow may
//! have turned cold, or share its host with a busy neighbour. It gets half of its share for a short
//! trial: if that makes its answers faster, it was overloaded and is cold; if not, its slowness has
//! nothing to do with its load, and it gets its full share again.

use std::time::Duration;

use crate::process::moment::Moment;

/// The weight of a new time in the running mean.
const MEAN_WEIGHT: f64 = 0.1;
/// The weight of a new time in the mean of the latest few.
const LATEST_WEIGHT: f64 = 0.5;
/// How fast the usual time rises towards the mean, for each sample.
const USUAL_RISE: f64 = 0.002;
/// How many times the usual time the mean must be for the upstream to count as slow.
const SLOW_FACTOR: f64 = 2.5;
/// The samples that a judgement needs at the least.
const SAMPLES_MIN: u32 = 8;
/// The samples that a trial needs.
const TRIAL_SAMPLES: u32 = 5;
/// The part of its share that the upstream gets in a trial.
const TRIAL_PART: f64 = 0.5;
/// The part of the former mean below which a trial shows relief.
const RELIEF: f64 = 0.75;
/// The part of the cold mean below which the upstream is warm.
const WARM: f64 = 0.6;
/// How long a cold upstream whose answers stay as they are is held back.
const COLD_TIME: Duration = Duration::from_secs(8);
/// How long each step of the way back to the full share takes.
const RAMP_INTERVAL: Duration = Duration::from_millis(250);
/// How much more the upstream gets with each step.
const RAMP_FACTOR: f64 = 1.5;
/// How many times slower than before a step must make the answers to be taken back.
const RAMP_WORSE: f64 = 1.5;

/// What the upstream is taken for.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// It gets its full share.
    Warm,
    /// It became slow; `before` was the time of the latest few orders then.
    Trial { before: f64 },
    /// It gets what a cold one bears.
    Cold,
    /// It gets more step by step; `before` was its mean at the last step.
    Ramp { before: f64 },
}

/// A mean of the orders that were given since some moment.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    since: Moment,
    samples: u32,
    sum: f64,
}

impl Window {
    fn new(since: Moment) -> Self {
        Self {
            since,
            samples: 0,
            sum: 0.0,
        }
    }

    fn add(&mut self, given: Moment, micros: f64) {
        if given >= self.since {
            self.samples += 1;
            self.sum += micros;
        }
    }

    fn mean(&self, samples_min: u32) -> Option<f64> {
        (self.samples >= samples_min).then(|| self.sum / f64::from(self.samples))
    }
}

/// The speed of one run of an upstream, and the share that follows from it.
#[derive(Debug)]
pub struct AdaptiveLimit {
    slots: u32,
    cold_slots: u32,
    limit: f64,
    phase: Phase,
    phase_since: Moment,
    window: Window,
    cold_mean: Option<f64>,
    mean: f64,
    latest: f64,
    usual: f64,
    samples: u32,
}

impl AdaptiveLimit {
    /// Returns the pace of an upstream that has just started.
    pub fn cold(now: Moment, slots: u32, cold_slots: u32) -> Self {
        let slots = slots.max(1);
        let cold_slots = cold_slots.clamp(1, slots);
        Self {
            slots,
            cold_slots,
            limit: f64::from(cold_slots),
            phase: Phase::Cold,
            phase_since: now,
            window: Window::new(now),
            cold_mean: None,
            mean: 0.0,
            latest: 0.0,
            usual: 0.0,
            samples: 0,
        }
    }

    /// Returns how many orders the upstream gets at once.
    pub fn limit(&self) -> u32 {
        (self.limit as u32).clamp(1, self.slots)
    }

    /// Returns how many orders it works on at once when warm.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the mean time of an order, in microseconds; zero while it isn't known.
    pub fn mean_micros(&self) -> f64 {
        if self.samples < SAMPLES_MIN {
            0.0
        } else {
            self.mean
        }
    }

    /// Returns the capacity that the upstream has now, in per mille of its usual one.
    pub fn capacity_per_mille(&self) -> u32 {
        let slowness = if self.mean > 0.0 {
            (self.usual / self.mean).clamp(0.05, 1.0)
        } else {
            1.0
        };
        let slowness = if slowness > 0.7 { 1.0 } else { slowness };
        let share = f64::from(self.limit()) / f64::from(self.slots);
        (slowness * share * 1000.0) as u32
    }

    /// Returns the part of its full share that the upstream gets, in per mille.
    pub fn share_per_mille(&self) -> u32 {
        self.limit() * 1000 / self.slots
    }

    /// Takes in the time of an order that has just ended.
    pub fn record_latency(&mut self, now: Moment, took: Duration) {
        let micros = took.as_micros() as f64;
        self.samples = self.samples.saturating_add(1);
        let weight = if self.samples == 1 { 1.0 } else { MEAN_WEIGHT };
        self.mean += (micros - self.mean) * weight;
        self.latest += (micros - self.latest) * weight.max(LATEST_WEIGHT);
        self.window.add(now - took, micros);
        self.follow_usual();
        match self.phase {
            Phase::Warm => self.watch(now),
            Phase::Trial { before } => self.judge_trial(now, before),
            Phase::Cold => self.look_for_warmth(now),
            Phase::Ramp { before } => self.climb(now, before),
        }
    }

    /// Takes in that the upstream shed an order: it has more than it bears, so it is cold.
    pub fn record_shed(&mut self, now: Moment) {
        if self.phase != Phase::Cold {
            self.limit = f64::from(self.cold_slots);
            self.cold_mean = None;
            self.enter(now, Phase::Cold);
        }
    }

    /// Lets the usual time fall with the mean at once, and rise slowly.
    fn follow_usual(&mut self) {
        if self.samples <= SAMPLES_MIN || self.mean < self.usual {
            self.usual = self.mean;
        } else {
            self.usual += (self.mean - self.usual) * USUAL_RISE;
        }
    }

    fn enter(&mut self, now: Moment, phase: Phase) {
        self.phase = phase;
        self.phase_since = now;
        self.window = Window::new(now);
    }

    /// Starts a trial where the upstream became slow.
    fn watch(&mut self, now: Moment) {
        if self.mean > self.usual * SLOW_FACTOR {
            self.limit = (self.limit * TRIAL_PART).max(f64::from(self.cold_slots));
            self.enter(
                now,
                Phase::Trial {
                    before: self.latest,
                },
            );
        }
    }

    fn judge_trial(&mut self, now: Moment, before: f64) {
        let Some(mean) = self.window.mean(TRIAL_SAMPLES) else {
            return;
        };
        if mean < before * RELIEF {
            self.limit = f64::from(self.cold_slots);
            self.cold_mean = None;
            self.enter(now, Phase::Cold);
            return;
        }
        // Slow whatever its load: that is its usual time for as long as it lasts.
        self.usual = self.mean;
        self.limit = f64::from(self.slots);
        self.enter(now, Phase::Warm);
    }

    fn look_for_warmth(&mut self, now: Moment) {
        let Some(mean) = self.window.mean(SAMPLES_MIN) else {
            return;
        };
        let cold = *self.cold_mean.get_or_insert(mean);
        let late = now.since(self.phase_since) >= COLD_TIME;
        if mean < cold * WARM || late {
            self.enter(now, Phase::Ramp { before: mean });
            return;
        }
        self.window = Window::new(now);
    }

    fn climb(&mut self, now: Moment, before: f64) {
        let Some(mean) = self.window.mean(SAMPLES_MIN) else {
            return;
        };
        if mean > before * RAMP_WORSE {
            self.limit = f64::from(self.cold_slots);
            self.cold_mean = Some(before);
            self.enter(now, Phase::Cold);
            return;
        }
        if now.since(self.phase_since) < RAMP_INTERVAL {
            return;
        }
        let more = (self.limit * RAMP_FACTOR).max(self.limit + 1.0);
        self.limit = more.min(f64::from(self.slots));
        let full = self.limit >= f64::from(self.slots);
        self.enter(
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
