//! How many retries one daemon may send: its part of a budget that all daemons share.

use std::collections::VecDeque;
use std::time::Duration;

use crate::process::moment::Moment;

/// The part of the budget that is used at the most: the daemons don't count in step.
const USABLE_FRACTION: f64 = 0.75;
/// The length of the steps in which requests are counted.
const BUCKET_LENGTH: Duration = Duration::from_millis(500);

/// The config of the budget that all daemons share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetConfig {
    /// The retries allowed for each request.
    pub ratio: f64,
    /// The retries allowed in a window whatever the requests, over all daemons.
    pub slack: f64,
    /// The length of the window.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    start: Moment,
    requests: u32,
    retries: u32,
}

/// One daemon's part of the budget of one service.
#[derive(Debug, Default)]
pub struct RetryBudgetShare {
    buckets: VecDeque<Bucket>,
}

impl RetryBudgetShare {
    /// Counts a caller's request.
    pub fn record_request(&mut self, now: Moment, config: &RetryBudgetConfig) {
        self.current_bucket(now, config).requests += 1;
    }

    /// Takes a repeat out of the budget, of which each of `daemons` has a part; returns whether
    /// there was one.
    pub fn try_withdraw(
        &mut self,
        now: Moment,
        config: &RetryBudgetConfig,
        daemons: usize,
    ) -> bool {
        self.current_bucket(now, config);
        let requests: u32 = self.buckets.iter().map(|c| c.requests).sum();
        let retries: u32 = self.buckets.iter().map(|c| c.retries).sum();
        let slack = config.slack / daemons.max(1) as f64;
        let allowed = (config.ratio * f64::from(requests) + slack) * USABLE_FRACTION;
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        self.current_bucket(now, config).retries += 1;
        true
    }

    /// Returns the count of the current_bucket step, and forgets those that left the window.
    fn current_bucket(&mut self, now: Moment, config: &RetryBudgetConfig) -> &mut Bucket {
        let window = config.window;
        while self
            .buckets
            .front()
            .is_some_and(|c| now.since(c.start) > window)
        {
            self.buckets.pop_front();
        }
        let is_current = self
            .buckets
            .back()
            .is_some_and(|c| now.since(c.start) < BUCKET_LENGTH);
        if !is_current {
            self.buckets.push_back(Bucket {
                start: now,
                ..Bucket::default()
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
