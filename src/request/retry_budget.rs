//! Limits retries and hedges to a percentage of the requests.

/// The maximum number of extra attempts that a budget accumulates.
const TOKENS_MAX: f64 = 20.0;

/// A token bucket for retries or hedges.
///
/// Each request deposits a fraction of a token, and each extra attempt withdraws a whole one.
#[derive(Debug)]
pub struct RetryBudget {
    percent: u32,
    tokens: f64,
}

impl RetryBudget {
    /// Creates a budget of `percent` extra attempts per hundred requests, with a half-full bucket.
    pub fn new(percent: u32) -> Self {
        let tokens = if percent == 0 { 0.0 } else { TOKENS_MAX / 2.0 };
        Self { percent, tokens }
    }

    /// Sets the number of extra attempts allowed per hundred requests.
    pub fn set_percent(&mut self, percent: u32) {
        self.percent = percent;
    }

    /// Deposits the fraction of a token that one request earns.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + f64::from(self.percent) / 100.0).min(TOKENS_MAX);
    }

    /// Withdraws a token for an extra attempt; returns whether there was one.
    pub fn withdraw(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
