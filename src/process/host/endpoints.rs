//! The small listeners: readiness and metrics, and the reports of the upstream.

use std::sync::Arc;
use std::time::Duration;

use crate::connection::dialect::Discovery;
use crate::connection::front::{FrontHandler, FrontLimits, HttpReply, HttpRequest};
use crate::connection::http1::RequestHead;
use crate::connection::wire::{Waiter, WireError};
use crate::process::host::host_context::HostContext;

/// What such a listener takes.
const LIMITS: FrontLimits = FrontLimits {
    head_bytes: 16 * 1024,
    body_bytes: 64 * 1024,
    head_time: Duration::from_secs(2),
    idle_time: Duration::from_secs(30),
};

/// Answers whether callers may be sent here, and gives the metrics.
pub struct ReadinessHandler(pub Arc<HostContext>);

impl FrontHandler for ReadinessHandler {
    fn limits(&self) -> FrontLimits {
        LIMITS
    }

    fn body_time(&self, _head: &RequestHead) -> Duration {
        LIMITS.head_time
    }

    fn handle(&self, request: HttpRequest, _waiter: &Waiter) -> HttpReply {
        match request.head.path() {
            "/ready" if self.0.is_ready() => HttpReply::text(200, "ready\n"),
            "/ready" => HttpReply::text(503, "not ready\n"),
            "/metrics" => match self.0.metrics.text() {
                Ok(text) => HttpReply::text(200, text),
                Err(e) => HttpReply::text(500, format!("{e}\n")),
            },
            _ => HttpReply::text(404, "no such page\n"),
        }
    }

    fn refuse(&self, error: &WireError) -> HttpReply {
        HttpReply::text(400, format!("{error}\n"))
    }

    fn is_closing(&self) -> bool {
        self.0.stop.is_raised()
    }
}

/// Takes the reports of the upstream.
pub struct ReportHandler {
    /// The parts of the daemon.
    pub parts: Arc<HostContext>,
    /// How upstreams make themselves known.
    pub discovery: Arc<dyn Discovery>,
}

impl FrontHandler for ReportHandler {
    fn limits(&self) -> FrontLimits {
        LIMITS
    }

    fn body_time(&self, _head: &RequestHead) -> Duration {
        LIMITS.head_time
    }

    fn handle(&self, request: HttpRequest, _waiter: &Waiter) -> HttpReply {
        match self.discovery.read(&request) {
            Ok(report) => {
                self.parts.take_report(report);
                self.discovery.acknowledge()
            }
            Err(e) => {
                tracing::warn!(event = "report-refused", target = request.head.target, error = %e);
                HttpReply::text(400, format!("{e}\n"))
            }
        }
    }

    fn refuse(&self, error: &WireError) -> HttpReply {
        HttpReply::text(400, format!("{error}\n"))
    }

    fn is_closing(&self) -> bool {
        self.parts.stop.is_raised()
    }
}
