//! Records metrics of the calls to the store.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::connection::traffic::Traffic;
use crate::process::metrics::Metrics;
use crate::process::store::{
    CommitOutcome, RangeResponse, Store, StoreError, Transaction, WatchResponse,
};
use crate::process::store_position::StorePosition;

/// Store wrapper that records the number and duration of calls.
pub struct MeteredStore {
    store: Arc<dyn Store>,
    metrics: Arc<Metrics>,
    traffic: Arc<Traffic>,
}

impl MeteredStore {
    /// Wraps `store`.
    pub fn new(store: Arc<dyn Store>, metrics: Arc<Metrics>, traffic: Arc<Traffic>) -> Self {
        Self {
            store,
            metrics,
            traffic,
        }
    }

    fn timed<T>(
        &self,
        kind: &'static str,
        call: impl FnOnce() -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        let started = Instant::now();
        let result = call();
        let elapsed = Some(started.elapsed());
        self.metrics
            .record_store_call(kind, result.is_ok(), elapsed);
        result
    }
}

impl Store for MeteredStore {
    fn range(&self, prefix: &str) -> Result<RangeResponse, StoreError> {
        self.traffic.record("store-range", 0);
        self.timed("range", || self.store.range(prefix))
    }

    fn watch(
        &self,
        prefix: &str,
        after: StorePosition,
        wait: Duration,
    ) -> Result<WatchResponse, StoreError> {
        self.traffic.record("store-watch", 0);
        let result = self.store.watch(prefix, after, wait);
        self.metrics
            .record_store_call("watch", result.is_ok(), None);
        result
    }

    fn commit(&self, transaction: &Transaction) -> Result<CommitOutcome, StoreError> {
        self.traffic.record("store-commit", 0);
        self.timed("commit", || self.store.commit(transaction))
    }

    fn close(&self) {
        self.store.close();
    }
}
