//! The HTTP administration API of a daemon: health, status, metrics, and the announcement of the
//! local upstream.

use std::io::Read;
use std::sync::Arc;

use serde::Serialize;
use tiny_http::{Header, Method, Request, Response};

use crate::connection::http_server::HttpHandler;
use crate::process::node::Node;
use crate::version::upstream::Upstream;

/// The number of threads that serve the API.
pub const THREADS: u32 = 2;
/// The maximum size of a request body, in bytes; the rest is ignored.
const BODY_BYTES_MAX: u64 = 64 * 1024;

/// A response of the API.
struct ApiResponse {
    status: u16,
    content_type: &'static str,
    text: String,
}

impl ApiResponse {
    fn text(status: u16, text: impl Into<String>) -> Self {
        Self {
            status,
            content_type: "text/plain; charset=utf-8",
            text: text.into(),
        }
    }

    fn json(value: &impl Serialize) -> Self {
        match serde_json::to_string(value) {
            Ok(text) => Self {
                status: 200,
                content_type: "application/json",
                text,
            },
            Err(e) => Self::text(500, format!("{e}\n")),
        }
    }
}

/// The administration API of a daemon.
pub struct AdminApi {
    node: Arc<Node>,
}

impl AdminApi {
    /// Creates the API of the daemon `node`.
    pub fn new(node: Arc<Node>) -> Self {
        Self { node }
    }
}

impl HttpHandler for AdminApi {
    fn serve(&self, mut request: Request) {
        // The body is read first: closing a connection with unread bytes resets it, and the client
        // would lose the response.
        let body = read_body(&mut request);
        let api_response = match body {
            Ok(body) => route(&request, &body, &self.node),
            Err(e) => ApiResponse::text(400, format!("the body could not be read: {e}\n")),
        };
        let mut response =
            Response::from_string(api_response.text).with_status_code(api_response.status);
        if let Ok(header) = Header::from_bytes("content-type", api_response.content_type) {
            response.add_header(header);
        }
        if let Err(e) = request.respond(response) {
            tracing::debug!(error = %e, "cannot send a response: the client is gone");
        }
    }
}

/// Dispatches a request by its method and path.
fn route(request: &Request, body: &str, node: &Node) -> ApiResponse {
    let path = request.url().split('?').next().unwrap_or("").to_owned();
    match (request.method(), path.as_str()) {
        (Method::Get, "/health") => ApiResponse::text(200, "ok\n"),
        (Method::Get, "/ready") if node.is_ready() => ApiResponse::text(200, "ready\n"),
        (Method::Get, "/ready") => ApiResponse::text(503, "not ready\n"),
        (Method::Get, "/v1/status") => ApiResponse::json(&node.status()),
        (Method::Get, "/metrics") => match node.metrics().prometheus_text() {
            Ok(text) => ApiResponse::text(200, text),
            Err(e) => ApiResponse::text(500, format!("{e}\n")),
        },
        (Method::Put, "/v1/upstream") => {
            with_token(request, node, || register_upstream(body, node))
        }
        (_, "/health" | "/ready" | "/v1/status" | "/metrics" | "/v1/upstream") => {
            ApiResponse::text(405, "this path does not take that method\n")
        }
        _ => ApiResponse::text(404, "no such path\n"),
    }
}

/// Runs `call`, which changes state, only if the request presents the token of the settings.
fn with_token(request: &Request, node: &Node, call: impl FnOnce() -> ApiResponse) -> ApiResponse {
    let expected = &node.settings().token;
    if expected.is_empty() {
        return ApiResponse::text(403, "refused: the settings hold no token\n");
    }
    let presented = request
        .headers()
        .iter()
        .find(|h| h.field.equiv("authorization"));
    let presented = presented.map(|h| h.value.as_str()).unwrap_or("");
    let is_authorized = presented
        .strip_prefix("Bearer ")
        .is_some_and(|t| secrets_equal(t, expected));
    if !is_authorized {
        let from = request.remote_addr().map(ToString::to_string);
        tracing::warn!(
            from,
            path = request.url(),
            "request with a wrong token rejected"
        );
        return ApiResponse::text(401, "refused: wrong token\n");
    }
    call()
}

/// Compares two secrets in constant time, which does not reveal where they differ.
fn secrets_equal(a: &str, b: &str) -> bool {
    let pairs = a.bytes().zip(b.bytes());
    a.len() == b.len() && pairs.fold(0, |differs, (x, y)| differs | (x ^ y)) == 0
}

/// Registers the local upstream that announces itself.
fn register_upstream(body: &str, node: &Node) -> ApiResponse {
    match serde_json::from_str::<Upstream>(body) {
        Ok(upstream) => {
            node.register_upstream(&upstream);
            ApiResponse::text(200, "announced\n")
        }
        Err(e) => ApiResponse::text(400, format!("the announcement is malformed: {e}\n")),
    }
}

fn read_body(request: &mut Request) -> std::io::Result<String> {
    let mut text = String::new();
    request
        .as_reader()
        .take(BODY_BYTES_MAX)
        .read_to_string(&mut text)?;
    Ok(text)
}
