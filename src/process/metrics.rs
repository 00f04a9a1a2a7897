//! The metrics of a process, recorded with `opentelemetry` and exported in Prometheus' text format.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use thiserror::Error;

use crate::connection::memory_budget::{MemoryBudget, ShedReason};
use crate::request::outcome::Outcome;
use crate::version::service_name::ServiceName;

/// The upper bounds of the buckets of duration histograms, in seconds.
const DURATION_BOUNDS_S: [f64; 14] = [
    0.0005, 0.001, 0.002, 0.004, 0.007, 0.013, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0,
];

/// Why the metrics could not be set up or encoded.
#[derive(Debug, Error)]
#[error("metrics: {0}")]
pub struct MetricsError(String);

/// The metric instruments of a process.
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    request_duration: Histogram<f64>,
    datagrams: Counter<u64>,
    datagram_bytes: Counter<u64>,
    malformed: Counter<u64>,
    retries: Counter<u64>,
    returns: Counter<u64>,
    quota_tokens: Counter<u64>,
    quota_refusals: Counter<u64>,
    quota_share: Counter<u64>,
    hedges: Counter<u64>,
    refusals: Counter<u64>,
    selections: Counter<u64>,
    report_age: Histogram<f64>,
    order_wait: Histogram<f64>,
    order_run: Histogram<f64>,
    store_calls: Counter<u64>,
    store_duration: Histogram<f64>,
    store_restored: Counter<u64>,
    in_flight: Gauge<u64>,
    limit: Gauge<u64>,
    waiting: Gauge<u64>,
    table_epoch: Gauge<u64>,
    configuration_version: Gauge<u64>,
    late_waiting: Gauge<u64>,
    slowdown: Gauge<u64>,
    routing_age: Gauge<u64>,
    load_shed: Gauge<u64>,
    memory_reserved: Gauge<u64>,
}

impl Metrics {
    /// Creates the instruments.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter can't be set up.
    pub fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build();
        let exporter = exporter.map_err(|e| MetricsError(e.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("foxtaildrift");
        let counter = |name: &'static str, description: &'static str| {
            meter
                .u64_counter(name)
                .with_description(description)
                .build()
        };
        let gauge = |name: &'static str, description: &'static str| {
            meter.u64_gauge(name).with_description(description).build()
        };
        let duration = |name: &'static str, description: &'static str| {
            let histogram = meter.f64_histogram(name).with_unit("s");
            let histogram = histogram.with_boundaries(DURATION_BOUNDS_S.to_vec());
            histogram.with_description(description).build()
        };
        Ok(Self {
            requests: counter("requests", "Callers' requests by service and outcome"),
            request_duration: duration(
                "request_duration",
                "Time from a caller's request to its answer",
            ),
            refusals: counter("refusals", "Requests that did not run, by cause"),
            selections: counter(
                "selections",
                "Upstreams selected among equivalent ones, by domain and result",
            ),
            report_age: duration(
                "selection_report_age",
                "Age of the load report of a selected upstream",
            ),
            order_wait: duration("order_wait", "Time that orders wait for their turn here"),
            order_run: duration("order_run", "Time that orders take at the upstream here"),
            store_calls: counter("store_calls", "Calls to the store by kind and result"),
            store_duration: duration("store_duration", "Time of calls to the store but watches"),
            store_restored: counter(
                "store_restored",
                "Reads of a store that came back from an older copy",
            ),
            datagrams: counter("datagrams", "Datagrams by direction"),
            datagram_bytes: counter("datagram_bytes", "Bytes of datagrams by direction"),
            malformed: counter("malformed", "Datagrams and frames that could not be read"),
            retries: counter("retries", "Requests tried again"),
            returns: counter(
                "returns",
                "Requests whose callers returned as told after a refusal",
            ),
            quota_tokens: counter(
                "quota_tokens",
                "Tokens of teams that this daemon issued to others as their quota owner",
            ),
            quota_refusals: counter(
                "quota_refusals",
                "Requests refused over a team's quota, by cause",
            ),
            quota_share: counter(
                "quota_share",
                "Requests sent under the fixed share, without an answer of the quota owner",
            ),
            hedges: counter("hedges", "Requests sent to a second upstream"),
            in_flight: gauge("upstream_in_flight", "Orders in flight to the upstream"),
            limit: gauge(
                "upstream_limit",
                "Orders that may be in flight to the upstream",
            ),
            waiting: gauge("upstream_waiting", "Requests that wait for the upstream"),
            late_waiting: gauge(
                "upstream_late_waiting",
                "Requests that wait for the upstream and will miss their objective",
            ),
            slowdown: gauge(
                "upstream_slowdown_percent",
                "Present run times of the upstream relative to the usual ones",
            ),
            table_epoch: gauge("table_epoch", "Epoch of the table in force"),
            configuration_version: gauge(
                "configuration_version",
                "Version of the configuration in force",
            ),
            routing_age: gauge(
                "routing_age_ms",
                "Time since the routing in force is known to have been the newest",
            ),
            load_shed: gauge(
                "load_shed",
                "What was refused or closed for others, by reason",
            ),
            memory_reserved: gauge("memory_reserved", "Reserved bytes of the memory budget"),
            registry,
            _provider: provider,
        })
    }

    /// Records the outcome and the duration of a caller's request.
    pub fn record_request(&self, service: &ServiceName, outcome: Outcome, elapsed: Duration) {
        let service = KeyValue::new("service", service.to_string());
        let outcome = KeyValue::new("outcome", outcome.to_string());
        self.requests.add(1, &[service.clone(), outcome]);
        self.request_duration
            .record(elapsed.as_secs_f64(), &[service]);
    }

    /// Counts a request that did not run, by the cause of its refusal.
    pub fn record_refusal(&self, cause: &'static str) {
        self.refusals.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Counts an upstream that was selected among equivalent ones, by failure domain and by what came
    /// of the request, and records the age of its load report.
    pub fn record_selection(
        &self,
        is_remote: bool,
        result: &'static str,
        report_age: Option<Duration>,
    ) {
        let domain = KeyValue::new("domain", if is_remote { "other" } else { "own" });
        self.selections
            .add(1, &[domain, KeyValue::new("result", result)]);
        if let Some(age) = report_age {
            self.report_age.record(age.as_secs_f64(), &[]);
        }
    }

    /// Records how long a request waited on this host, and how long it ran at the upstream.
    pub fn record_upstream_request(&self, wait: Duration, run: Duration) {
        self.order_wait.record(wait.as_secs_f64(), &[]);
        self.order_run.record(run.as_secs_f64(), &[]);
    }

    /// Counts a call to the store, and records its duration if that is given. Watches have none,
    /// since they last until something changes.
    pub fn record_store_call(
        &self,
        kind: &'static str,
        succeeded: bool,
        elapsed: Option<Duration>,
    ) {
        let kind = KeyValue::new("kind", kind);
        let result = KeyValue::new("result", if succeeded { "answered" } else { "failed" });
        self.store_calls.add(1, &[kind.clone(), result]);
        if let Some(elapsed) = elapsed {
            self.store_duration.record(elapsed.as_secs_f64(), &[kind]);
        }
    }

    /// Counts a read of a store that came back from an older copy.
    pub fn record_store_restored(&self) {
        self.store_restored.add(1, &[]);
    }

    /// Counts a sent datagram of `bytes` bytes.
    pub fn record_datagram_sent(&self, bytes: usize) {
        self.count_datagram("sent", bytes);
    }

    /// Counts a received datagram of `bytes` bytes.
    pub fn record_datagram_received(&self, bytes: usize) {
        self.count_datagram("received", bytes);
    }

    /// Counts a datagram or frame that could not be decoded.
    pub fn record_malformed(&self) {
        self.malformed.add(1, &[]);
    }

    /// Counts a request that was retried.
    pub fn record_retry(&self) {
        self.retries.add(1, &[]);
    }

    /// Counts a request whose caller returned as told after a refusal.
    pub fn record_return(&self) {
        self.returns.add(1, &[]);
    }

    /// Counts tokens that were issued to another daemon.
    pub fn record_quota_tokens(&self, tokens: u64) {
        self.quota_tokens.add(tokens, &[]);
    }

    /// Counts a request that was refused over a quota: at the `limit`, or with `no-answer`.
    pub fn record_quota_refusal(&self, cause: &'static str) {
        self.quota_refusals.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Counts a request of the fixed share.
    pub fn record_quota_share(&self) {
        self.quota_share.add(1, &[]);
    }

    /// Counts a hedged request: one that was also sent to a second upstream.
    pub fn record_hedge(&self) {
        self.hedges.add(1, &[]);
    }

    /// Sets the number of requests in flight to the upstream, their limit, and the number that
    /// wait.
    pub fn record_upstream_load(&self, in_flight: u32, limit: u32, waiting: usize) {
        self.in_flight.record(in_flight.into(), &[]);
        self.limit.record(limit.into(), &[]);
        self.waiting
            .record(u64::try_from(waiting).unwrap_or(u64::MAX), &[]);
    }

    /// Sets how many of the waiting requests will miss their objective, and the present run times of
    /// the upstream relative to the usual ones.
    pub fn record_queue(&self, late_waiting: usize, slowdown: f64) {
        self.late_waiting
            .record(u64::try_from(late_waiting).unwrap_or(u64::MAX), &[]);
        self.slowdown.record((slowdown * 100.0) as u64, &[]);
    }

    /// Sets how much of the memory budget is reserved, and how often something was refused or ended.
    pub fn record_memory(&self, budget: &MemoryBudget) {
        let reserved = u64::try_from(budget.reserved()).unwrap_or(u64::MAX);
        self.memory_reserved.record(reserved, &[]);
        for reason in ShedReason::ALL {
            let label = KeyValue::new("reason", reason.as_str());
            self.load_shed.record(budget.count(reason), &[label]);
        }
    }

    /// Sets the versions of the table and of the configuration that are in force.
    pub fn record_versions(&self, epoch: u64, configuration: u64) {
        self.table_epoch.record(epoch, &[]);
        self.configuration_version.record(configuration, &[]);
    }

    /// Sets how long ago the routing in force is known to have been the newest, in milliseconds.
    pub fn record_routing_age(&self, age_ms: u64) {
        self.routing_age.record(age_ms, &[]);
    }

    /// Returns all metrics in Prometheus' text format.
    ///
    /// # Errors
    ///
    /// Returns an error if the encoder fails.
    pub fn prometheus_text(&self) -> Result<String, MetricsError> {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .map_err(|e| MetricsError(e.to_string()))
    }

    fn count_datagram(&self, direction: &'static str, bytes: usize) {
        let direction = [KeyValue::new("direction", direction)];
        self.datagrams.add(1, &direction);
        self.datagram_bytes
            .add(u64::try_from(bytes).unwrap_or(u64::MAX), &direction);
    }
}
