//! How many repeats one daemon may send: its part of a budget that all daemons share.

use std::collections::VecDeque;
use std::time::Duration;

use crate::process::moment::Moment;

/// The part of the budget that is used at the most: the daemons don't count in step.
const USED_PART: f64 = 0.75;
/// The length of the steps in which requests are counted.
const STEP: Duration = Duration::from_millis(500);

/// The terms of the budget that all daemons share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetConfig {
    /// The repeats allowed for each request.
    pub ratio: f64,
    /// The repeats allowed in a window whatever the requests, over all daemons.
    pub slack: f64,
    /// The length of the window.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    since: Moment,
    requests: u32,
    repeats: u32,
}

/// One daemon's part of the budget of one service.
#[derive(Debug, Default)]
pub struct RetryBudgetShare {
    counts: VecDeque<Count>,
}

impl RetryBudgetShare {
    /// Counts a caller's request.
    pub fn request(&mut self, now: Moment, terms: &RetryBudgetConfig) {
        self.present(now, terms).requests += 1;
    }

    /// Takes a repeat out of the budget, of which each of `daemons` has a part; returns whether
    /// there was one.
    pub fn withdraw(&mut self, now: Moment, terms: &RetryBudgetConfig, daemons: usize) -> bool {
        self.present(now, terms);
        let requests: u32 = self.counts.iter().map(|c| c.requests).sum();
        let repeats: u32 = self.counts.iter().map(|c| c.repeats).sum();
        let slack = terms.slack / daemons.max(1) as f64;
        let allowed = (terms.ratio * f64::from(requests) + slack) * USED_PART;
        if f64::from(repeats) + 1.0 > allowed {
            return false;
        }
        self.present(now, terms).repeats += 1;
        true
    }

    /// Returns the count of the present step, and forgets those that left the window.
    fn present(&mut self, now: Moment, terms: &RetryBudgetConfig) -> &mut Count {
        let window = terms.window;
        while self
            .counts
            .front()
            .is_some_and(|c| now.since(c.since) > window)
        {
            self.counts.pop_front();
        }
        let begun = self
            .counts
            .back()
            .is_some_and(|c| now.since(c.since) < STEP);
        if !begun {
            self.counts.push_back(Count {
                since: now,
                ..Count::default()
            });
        }
        let last = self.counts.len() - 1;
        &mut self.counts[last]
    }
}
