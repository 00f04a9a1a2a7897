//! The administration API of a daemon, over HTTP.

use std::io::Read;
use std::sync::Arc;

use serde::Serialize;
use tiny_http::{Header, Method, Request, Response};

use crate::connection::http_server::HttpHandler;
use crate::process::node::Node;
use crate::version::upstream::Upstream;

/// The threads that serve the API.
pub const THREADS: u32 = 2;
/// The largest body that the API takes, in bytes.
const BODY_BYTES_MAX: u64 = 64 * 1024;

/// An answer of the API.
struct Reply {
    status: u16,
    content_type: &'static str,
    text: String,
}

impl Reply {
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
    /// Creates the API of the daemon with the parts in `node`.
    pub fn new(node: Arc<Node>) -> Self {
        Self { node }
    }
}

impl HttpHandler for AdminApi {
    fn serve(&self, mut request: Request) {
        // Read first: a connection closed with unread bytes would take the answer with it.
        let body = read_body(&mut request);
        let reply = match body {
            Ok(body) => answer(&request, &body, &self.node),
            Err(e) => Reply::text(400, format!("the body could not be read: {e}\n")),
        };
        let mut response = Response::from_string(reply.text).with_status_code(reply.status);
        if let Ok(header) = Header::from_bytes("content-type", reply.content_type) {
            response.add_header(header);
        }
        if let Err(e) = request.respond(response) {
            tracing::debug!(error = %e, "the operator is gone");
        }
    }
}

fn answer(request: &Request, body: &str, node: &Node) -> Reply {
    let path = request.url().split('?').next().unwrap_or("").to_owned();
    match (request.method(), path.as_str()) {
        (Method::Get, "/health") => Reply::text(200, "ok\n"),
        (Method::Get, "/ready") if node.is_ready() => Reply::text(200, "ready\n"),
        (Method::Get, "/ready") => Reply::text(503, "not ready\n"),
        (Method::Get, "/v1/status") => Reply::json(&node.status()),
        (Method::Get, "/metrics") => match node.metrics().prometheus_text() {
            Ok(text) => Reply::text(200, text),
            Err(e) => Reply::text(500, format!("{e}\n")),
        },
        (Method::Put, "/v1/upstream") => guarded(request, node, || announce(body, node)),
        (_, "/health" | "/ready" | "/v1/status" | "/metrics" | "/v1/upstream") => {
            Reply::text(405, "this path does not take that method\n")
        }
        _ => Reply::text(404, "no such path\n"),
    }
}

/// Lets a call that changes state pass only with the token from the settings.
fn guarded(request: &Request, node: &Node, call: impl FnOnce() -> Reply) -> Reply {
    let expected = &node.settings().token;
    if expected.is_empty() {
        return Reply::text(403, "refused: the settings hold no token\n");
    }
    let presented = request
        .headers()
        .iter()
        .find(|h| h.field.equiv("authorization"));
    let presented = presented.map(|h| h.value.as_str()).unwrap_or("");
    let fits = presented
        .strip_prefix("Bearer ")
        .is_some_and(|t| is_same(t, expected));
    if !fits {
        let from = request.remote_addr().map(ToString::to_string);
        tracing::warn!(
            from,
            path = request.url(),
            "call with a wrong token refused"
        );
        return Reply::text(401, "refused: wrong token\n");
    }
    call()
}

/// Compares two secrets in a time that does not tell where they differ.
fn is_same(a: &str, b: &str) -> bool {
    let pairs = a.bytes().zip(b.bytes());
    a.len() == b.len() && pairs.fold(0, |differs, (x, y)| differs | (x ^ y)) == 0
}

fn announce(body: &str, node: &Node) -> Reply {
    match serde_json::from_str::<Upstream>(body) {
        Ok(upstream) => {
            node.announce(&upstream);
            Reply::text(200, "announced\n")
        }
        Err(e) => Reply::text(400, format!("the announcement is malformed: {e}\n")),
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
