//! An upstream of the fleet model: its speed, and the admission of the daemon beside it.

use std::collections::HashMap;

use foxtaildrift::process::host::admission::Admission;
use foxtaildrift::process::host::admission_queue::Ticket;
use foxtaildrift::request::upstream_load::UpstreamLoad;
use rand::RngExt;
use rand::rngs::SmallRng;

/// Duration of a period in which an upstream is slow or not.
const PERIOD_MICROS: u64 = 400_000;
/// Probability that an upstream is slow during a period.
pub const SLOW_PROBABILITY: f64 = 0.2;
/// Factor on the run times of a slow upstream.
pub const SLOW_FACTOR: f64 = 3.0;

/// An upstream of the model, with the admission of the daemon beside it.
pub struct ModelUpstream {
    pub admission: Admission,
    pub speed: f64,
    /// Whether the upstream is slow, by period.
    slow: Vec<bool>,
    pub queued: HashMap<Ticket, usize>,
}

impl ModelUpstream {
    /// Creates an upstream for a run of `seconds`.
    pub fn new(slots: u32, seconds: u64, rng: &mut SmallRng) -> Self {
        let mut admission = Admission::default();
        admission.set_slots(slots);
        let periods = seconds * 1_000_000 / PERIOD_MICROS + 100;
        Self {
            admission,
            speed: rng.random_range(0.5..1.6),
            slow: (0..periods)
                .map(|_| rng.random_bool(SLOW_PROBABILITY))
                .collect(),
            queued: HashMap::new(),
        }
    }

    /// Returns when a request ends that starts at `start`.
    pub fn end_of(&self, start: u64, work_micros: f64) -> u64 {
        let (mut now, mut left) = (start as f64, work_micros / self.speed);
        loop {
            let period = (now / PERIOD_MICROS as f64) as usize;
            let is_slow = self.slow.get(period).copied().unwrap_or_default();
            let factor = if is_slow { SLOW_FACTOR } else { 1.0 };
            let period_end = (period + 1) as f64 * PERIOD_MICROS as f64;
            if now + left * factor <= period_end {
                return (now + left * factor) as u64;
            }
            left -= (period_end - now) / factor;
            now = period_end;
        }
    }

    /// Returns the load that the daemon reports.
    pub fn load(&self) -> UpstreamLoad {
        UpstreamLoad {
            in_flight: self.admission.in_flight(),
            waiting: self.admission.waiting() as u32,
            slots: self.admission.slots(),
            mean_micros: self.admission.run_times().mean_micros() as u32,
            ..UpstreamLoad::default()
        }
    }

    /// Returns the requests in progress and queued, per slot.
    pub fn load_per_slot(&self) -> f64 {
        let load = f64::from(self.admission.in_flight()) + self.admission.waiting() as f64;
        load / f64::from(self.admission.slots())
    }

    /// Returns whether a request could start at once.
    pub fn has_free_slots(&self) -> bool {
        self.admission.in_flight() < self.admission.slots()
    }
}
