//! HTTP endpoints besides the callers' one: readiness and metrics, and the reports of the upstream.

use std::sync::Arc;
use std::time::Duration;

use crate::connection::buffered_connection::ConnectionError;
use crate::connection::http_listener::{
    HttpRequest, HttpResponse, ListenerHandler, ListenerLimits,
};
use crate::connection::http1::RequestHead;
use crate::connection::protocol::Discovery;
use crate::connection::recipient::Recipient;
use crate::process::host::explanation::{self, DescribedRequest, ExplainError};
use crate::process::host::host_context::HostContext;
use crate::process::host::report_processor::ReportProcessor;
use crate::process::stop_flag::StopFlag;

/// Limits of these endpoints.
const LIMITS: ListenerLimits = ListenerLimits {
    head_bytes: 16 * 1024,
    body_bytes: 64 * 1024,
    head_timeout: Duration::from_secs(2),
    idle_timeout: Duration::from_secs(30),
};

/// Serves `/ready`, `/metrics` and `/explain`.
pub struct ReadinessHandler(pub Arc<HostContext>);

impl ListenerHandler for ReadinessHandler {
    fn limits(&self) -> ListenerLimits {
        LIMITS
    }

    fn body_timeout(&self, _head: &RequestHead) -> Duration {
        LIMITS.head_timeout
    }

    fn handle(&self, request: HttpRequest, _recipient: &Recipient) -> HttpResponse {
        match request.head.path() {
            "/ready" if self.0.is_ready() => HttpResponse::text(200, "ready\n"),
            "/ready" => HttpResponse::text(503, "not ready\n"),
            "/metrics" => match self.0.metrics.prometheus_text() {
                Ok(text) => HttpResponse::text(200, text),
                Err(e) => HttpResponse::text(500, format!("{e}\n")),
            },
            "/explain" => explain(&self.0, &request.body),
            _ => HttpResponse::text(404, "no such page\n"),
        }
    }

    fn error_response(&self, error: &ConnectionError) -> HttpResponse {
        HttpResponse::text(400, format!("{error}\n"))
    }

    fn is_shutting_down(&self) -> bool {
        self.0.stop.is_set()
    }
}

/// Returns where the request that `body` describes would go now, as JSON.
fn explain(context: &HostContext, body: &[u8]) -> HttpResponse {
    let described: DescribedRequest = match serde_json::from_slice(body) {
        Ok(described) => described,
        Err(e) => return HttpResponse::text(400, format!("{e}\n")),
    };
    let explained = explanation::explain(context, &described);
    let status = match &explained {
        Ok(_) => 200,
        Err(ExplainError::NoRoute { .. }) => 404,
        Err(ExplainError::RoutingUnknown) => 503,
    };
    let text = explained.map(|e| serde_json::to_string(&e));
    match text {
        Ok(Ok(json)) => HttpResponse::text(status, json + "\n"),
        Ok(Err(e)) => HttpResponse::text(500, format!("{e}\n")),
        Err(e) => HttpResponse::text(status, format!("{e}\n")),
    }
}

/// Accepts the reports of the upstream.
pub struct ReportHandler {
    /// Applies the reports.
    pub processor: ReportProcessor,
    /// Set when all threads must end.
    pub stop: Arc<StopFlag>,
    /// Protocol of the reports.
    pub discovery: Arc<dyn Discovery>,
}

impl ListenerHandler for ReportHandler {
    fn limits(&self) -> ListenerLimits {
        LIMITS
    }

    fn body_timeout(&self, _head: &RequestHead) -> Duration {
        LIMITS.head_timeout
    }

    fn handle(&self, request: HttpRequest, _recipient: &Recipient) -> HttpResponse {
        match self.discovery.parse_report(&request) {
            Ok(report) => match self.processor.apply(report) {
                true => self.discovery.acknowledgement(),
                false => HttpResponse::text(503, "the report is not stored yet\n"),
            },
            Err(e) => {
                tracing::warn!(event = "report-refused", target = request.head.target, error = %e);
                HttpResponse::text(400, format!("{e}\n"))
            }
        }
    }

    fn error_response(&self, error: &ConnectionError) -> HttpResponse {
        HttpResponse::text(400, format!("{error}\n"))
    }

    fn is_shutting_down(&self) -> bool {
        self.stop.is_set()
    }
}
