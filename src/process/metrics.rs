//! The metrics of a process, through `opentelemetry`, in Prometheus' text form.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use thiserror::Error;

use crate::request::outcome::Outcome;
use crate::version::service_name::ServiceName;

/// The upper bounds of the histogram of request times, in seconds.
const SECONDS: [f64; 14] = [
    0.0005, 0.001, 0.002, 0.004, 0.007, 0.013, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0,
];

/// Metrics that could not be set up.
#[derive(Debug, Error)]
#[error("metrics: {0}")]
pub struct MetricsError(String);

/// The instruments of a process.
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    seconds: Histogram<f64>,
    datagrams: Counter<u64>,
    datagram_bytes: Counter<u64>,
    malformed: Counter<u64>,
    retries: Counter<u64>,
    hedges: Counter<u64>,
    refusals: Counter<u64>,
    order_wait: Histogram<f64>,
    order_run: Histogram<f64>,
    store_calls: Counter<u64>,
    store_seconds: Histogram<f64>,
    in_flight: Gauge<u64>,
    limit: Gauge<u64>,
    waiting: Gauge<u64>,
    epoch: Gauge<u64>,
    document: Gauge<u64>,
}

impl Metrics {
    /// Sets the instruments up.
    ///
    /// # Errors
    ///
    /// Returns an error where the exporter can't be set up.
    pub fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build();
        let exporter = exporter.map_err(|e| MetricsError(e.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("foxtaildrift");
        let counter = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        let gauge = |name: &'static str, text: &'static str| {
            meter.u64_gauge(name).with_description(text).build()
        };
        let seconds = |name: &'static str, text: &'static str| {
            let histogram = meter.f64_histogram(name).with_unit("s");
            let histogram = histogram.with_boundaries(SECONDS.to_vec());
            histogram.with_description(text).build()
        };
        Ok(Self {
            requests: counter("requests", "Callers' requests by service and outcome"),
            seconds: seconds(
                "request_duration",
                "Time from a caller's request to its answer",
            ),
            refusals: counter("refusals", "Requests that did not run, by cause"),
            order_wait: seconds("order_wait", "Time that orders wait for their turn here"),
            order_run: seconds("order_run", "Time that orders take at the upstream here"),
            store_calls: counter("store_calls", "Calls to the store by kind and result"),
            store_seconds: seconds("store_duration", "Time of calls to the store but watches"),
            datagrams: counter("datagrams", "Datagrams by direction"),
            datagram_bytes: counter("datagram_bytes", "Bytes of datagrams by direction"),
            malformed: counter("malformed", "Datagrams and frames that could not be read"),
            retries: counter("retries", "Requests tried again"),
            hedges: counter("hedges", "Requests sent to a second upstream"),
            in_flight: gauge("upstream_in_flight", "Orders in flight to the upstream"),
            limit: gauge(
                "upstream_limit",
                "Orders that may be in flight to the upstream",
            ),
            waiting: gauge("upstream_waiting", "Requests that wait for the upstream"),
            epoch: gauge("table_epoch", "Epoch of the table in force"),
            document: gauge(
                "configuration_version",
                "Version of the configuration in force",
            ),
            registry,
            _provider: provider,
        })
    }

    /// Counts a caller's request.
    pub fn record_request(&self, service: &ServiceName, outcome: Outcome, took: Duration) {
        let service = KeyValue::new("service", service.to_string());
        let outcome = KeyValue::new("outcome", outcome.to_string());
        self.requests.add(1, &[service.clone(), outcome]);
        self.seconds.record(took.as_secs_f64(), &[service]);
    }

    /// Counts a request that did not run.
    pub fn record_refusal(&self, cause: &'static str) {
        self.refusals.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Notes how long an order waited here, and how long it took at the upstream.
    pub fn record_order(&self, waited: Duration, ran: Duration) {
        self.order_wait.record(waited.as_secs_f64(), &[]);
        self.order_run.record(ran.as_secs_f64(), &[]);
    }

    /// Counts a call to the store; a watch takes as long as nothing happens.
    pub fn record_store_call(&self, kind: &'static str, well: bool, took: Option<Duration>) {
        let kind = KeyValue::new("kind", kind);
        let result = KeyValue::new("result", if well { "answered" } else { "failed" });
        self.store_calls.add(1, &[kind.clone(), result]);
        if let Some(took) = took {
            self.store_seconds.record(took.as_secs_f64(), &[kind]);
        }
    }

    /// Counts a datagram sent.
    pub fn record_datagram_sent(&self, bytes: usize) {
        self.datagram("sent", bytes);
    }

    /// Counts a datagram received.
    pub fn record_datagram_received(&self, bytes: usize) {
        self.datagram("received", bytes);
    }

    /// Counts a datagram or frame that could not be read.
    pub fn record_malformed(&self) {
        self.malformed.add(1, &[]);
    }

    /// Counts a retry.
    pub fn record_retry(&self) {
        self.retries.add(1, &[]);
    }

    /// Counts a hedge.
    pub fn record_hedge(&self) {
        self.hedges.add(1, &[]);
    }

    /// Sets what the gate to the upstream shows.
    pub fn record_upstream_load(&self, in_flight: u32, limit: u32, waiting: usize) {
        self.in_flight.record(in_flight.into(), &[]);
        self.limit.record(limit.into(), &[]);
        self.waiting
            .record(u64::try_from(waiting).unwrap_or(u64::MAX), &[]);
    }

    /// Sets which versions are in force.
    pub fn record_versions(&self, epoch: u64, document: u64) {
        self.epoch.record(epoch, &[]);
        self.document.record(document, &[]);
    }

    /// Returns all metrics in Prometheus' text form.
    ///
    /// # Errors
    ///
    /// Returns an error where the encoder fails.
    pub fn prometheus_text(&self) -> Result<String, MetricsError> {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .map_err(|e| MetricsError(e.to_string()))
    }

    fn datagram(&self, direction: &'static str, bytes: usize) {
        let direction = [KeyValue::new("direction", direction)];
        self.datagrams.add(1, &direction);
        self.datagram_bytes
            .add(u64::try_from(bytes).unwrap_or(u64::MAX), &direction);
    }
}
