//! Bounds repeats to a share of the requests.

/// The most repeats that may be saved up.
const SAVED_MAX: f64 = 20.0;

/// A budget for retries or hedges: each request pays in a part of a repeat.
#[derive(Debug)]
pub struct RetryBudget {
    percent: u32,
    saved: f64,
}

impl RetryBudget {
    /// Creates a budget of `percent` repeats for each hundred requests, with some saved up.
    pub fn new(percent: u32) -> Self {
        let saved = if percent == 0 { 0.0 } else { SAVED_MAX / 2.0 };
        Self { percent, saved }
    }

    /// Sets how many repeats are allowed for each hundred requests.
    pub fn set_percent(&mut self, percent: u32) {
        self.percent = percent;
    }

    /// Pays in for one request.
    pub fn deposit(&mut self) {
        self.saved = (self.saved + f64::from(self.percent) / 100.0).min(SAVED_MAX);
    }

    /// Takes out one repeat; returns whether there was one.
    pub fn withdraw(&mut self) -> bool {
        let allowed = self.saved >= 1.0;
        if allowed {
            self.saved -= 1.0;
        }
        allowed
    }
}
