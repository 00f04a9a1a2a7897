//! One daemon's share of the retry budget that all daemons have in common.

use std::collections::VecDeque;
use std::time::Duration;

use crate::process::moment::Moment;

/// Fraction of the budget that is used at most: the daemons' buckets are not aligned in time.
const USABLE_FRACTION: f64 = 0.75;
/// Length of the buckets in which requests and retries are counted.
const BUCKET_LENGTH: Duration = Duration::from_millis(500);

/// Limits of the retry budget over all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetConfig {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed per window in addition, however few the requests, over all daemons.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    start: Moment,
    requests: u32,
    retries: u32,
}

/// One daemon's share of the retry budget of one service.
#[derive(Debug, Default)]
pub struct RetryBudgetShare {
    buckets: VecDeque<Bucket>,
}

impl RetryBudgetShare {
    /// Counts a caller's request.
    pub fn record_request(&mut self, now: Moment, config: &RetryBudgetConfig) {
        self.current_bucket(now, config).requests += 1;
    }

    /// Withdraws one retry from this daemon's share, one of `daemons`; returns whether it is
    /// allowed.
    pub fn try_withdraw(
        &mut self,
        now: Moment,
        config: &RetryBudgetConfig,
        daemons: usize,
    ) -> bool {
        self.current_bucket(now, config);
        let requests: u32 = self.buckets.iter().map(|b| b.requests).sum();
        let retries: u32 = self.buckets.iter().map(|b| b.retries).sum();
        let slack = config.slack / daemons.max(1) as f64;
        let allowed = (config.ratio * f64::from(requests) + slack) * USABLE_FRACTION;
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        self.current_bucket(now, config).retries += 1;
        true
    }

    /// Returns the current bucket, and drops those that left the window.
    fn current_bucket(&mut self, now: Moment, config: &RetryBudgetConfig) -> &mut Bucket {
        let window = config.window;
        while self
            .buckets
            .front()
            .is_some_and(|b| now.since(b.start) > window)
        {
            self.buckets.pop_front();
        }
        let is_current = self
            .buckets
            .back()
            .is_some_and(|b| now.since(b.start) < BUCKET_LENGTH);
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
