//! This daemon's shares of the retry budgets of all services.

use std::collections::HashMap;
use std::sync::Mutex;

use crate::process::host::retry_budget_share::{RetryBudgetConfig, RetryBudgetShare};
use crate::process::moment::Moment;
use crate::process::sync;
use crate::version::service_name::ServiceName;

/// Shares of the retry budgets, by service.
pub(super) struct RetryBudgets {
    config: RetryBudgetConfig,
    shares: Mutex<HashMap<ServiceName, RetryBudgetShare>>,
}

impl RetryBudgets {
    /// Creates budgets with the same limits for each service.
    pub(super) fn new(config: RetryBudgetConfig) -> Self {
        Self {
            config,
            shares: Mutex::default(),
        }
    }

    /// Counts a caller's request to `service`.
    pub(super) fn record_request(&self, now: Moment, service: &ServiceName) {
        let mut shares = sync::lock(&self.shares);
        let share = shares.entry(service.clone()).or_default();
        share.record_request(now, &self.config);
    }

    /// Withdraws one retry from the share of `service`, one of `daemons`; returns whether it is
    /// allowed.
    pub(super) fn try_withdraw(&self, now: Moment, service: &ServiceName, daemons: usize) -> bool {
        let mut shares = sync::lock(&self.shares);
        let share = shares.entry(service.clone()).or_default();
        share.try_withdraw(now, &self.config, daemons)
    }
}
