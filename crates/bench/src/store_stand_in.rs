//! A stand-in for the users' store: range reads, watches and transactions, with faults that can be
//! set under `/control/`.

use std::collections::VecDeque;
use std::net::TcpListener;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use foxtaildrift::connection::buffered_connection::ConnectionError;
use foxtaildrift::connection::http_listener::{
    HttpListener, HttpRequest, HttpResponse, ListenerHandler, ListenerLimits,
};
use foxtaildrift::connection::http1::RequestHead;
use foxtaildrift::connection::reactor::Reactor;
use foxtaildrift::connection::recipient::Recipient;
use foxtaildrift::process::{store, sync};
use serde_json::{Value, json};

use crate::args::{self, BenchError};
use crate::store_copies::{Items, StoreCopies, StoreCopy};

/// The limits of requests to the stand-in.
const LIMITS: ListenerLimits = ListenerLimits {
    head_bytes: 16 * 1024,
    body_bytes: 4 * 1024 * 1024,
    head_timeout: Duration::from_secs(2),
    idle_timeout: Duration::from_secs(30),
};
/// The number of changes that the history keeps for watches.
const HISTORY_MAX: usize = 1000;
/// The number of items in a page of a range read.
const PAGE_ITEMS: usize = 50;

#[derive(Default)]
struct State {
    revision: u64,
    items: Items,
    copies: StoreCopies,
    /// How often the store came back from an older copy; responses have no era while it is zero.
    era: u64,
    history: VecDeque<Value>,
    /// The highest revision that the history no longer contains.
    compacted_revision: u64,
    /// Whether every request fails with status 503.
    down: bool,
    /// The number of requests received.
    calls: u64,
    /// The delay of each response.
    response_delay: Duration,
    /// Of every `lose_one_in` requests one gets no response, if it is a transaction; zero disables
    /// this.
    lose_one_in: u64,
}

/// Handles the requests to the stand-in.
#[derive(Default)]
pub struct StoreStandIn {
    state: Mutex<State>,
    changed: Condvar,
}

/// Runs the stand-in until the process is killed.
///
/// # Errors
///
/// Returns an error if the arguments are invalid or the address can't be listened on.
pub fn run(args: &[String]) -> Result<(), BenchError> {
    let matches = args::parse(args, |o| {
        o.reqopt("", "listen", "the address to listen on", "ADDRESS");
    })?;
    let address: String = args::value(&matches, "listen", String::new())?;
    let listener = TcpListener::bind(&address)
        .map_err(BenchError::with_context("can't start the store's stand-in"))?;
    let handler = Arc::new(StoreStandIn::default());
    let reactor = Reactor::start().map_err(BenchError::with_context("can't start the stand-in"))?;
    let _listener = HttpListener::start(&reactor, listener, handler)
        .map_err(BenchError::with_context("can't start the store's stand-in"))?;
    loop {
        thread::park();
    }
}

impl StoreStandIn {
    /// Serves a page of the items with a prefix, after the key `after`.
    fn range(&self, prefix: &str, after: &str) -> HttpResponse {
        let state = sync::lock(&self.state);
        let matching = state.items.iter().filter(|(k, _)| k.starts_with(prefix));
        let mut rest = matching.filter(|(k, _)| k.as_str() > after);
        let page: Vec<Value> = rest
            .by_ref()
            .take(PAGE_ITEMS)
            .map(|(k, v)| item(k, v))
            .collect();
        let more = rest.next().is_some();
        json_response(
            200,
            &json!({"items": page, "HasMore": more, "AsOf": state.revision}),
        )
    }

    /// Waits for changes of keys with a prefix after the revision `after`; status 410 says that the
    /// history does not contain them.
    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> HttpResponse {
        let deadline = Instant::now() + wait;
        let mut state = sync::lock(&self.state);
        loop {
            if after < state.compacted_revision || after > state.revision {
                return json_response(410, &json!({}));
            }
            let is_new = |e: &&Value| {
                let key = e["Key"].as_str().unwrap_or_default();
                key.starts_with(prefix) && e["Revision"].as_u64() > Some(after)
            };
            let events: Vec<Value> = state.history.iter().filter(is_new).cloned().collect();
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || remaining.is_zero() || state.down {
                let as_of = state.revision;
                return json_response(200, &json!({"events": events, "AsOf": as_of}));
            }
            let waited = self.changed.wait_timeout(state, remaining);
            state = waited.unwrap_or_else(std::sync::PoisonError::into_inner).0;
        }
    }

    /// Commits a transaction if all expected revisions match.
    fn commit(&self, body: &Value) -> HttpResponse {
        let empty = Vec::new();
        let rows = |name: &str| body[name].as_array().unwrap_or(&empty).clone();
        let entries: usize = ["ExpectedRevision", "Puts", "Remove"]
            .iter()
            .map(|name| rows(name).len())
            .sum();
        if entries > store::TRANSACTION_ENTRIES_MAX {
            return HttpResponse::text(400, "too many entries");
        }
        let mut state = sync::lock(&self.state);
        let is_unchanged = |row: &Value| {
            let key = row["Key"].as_str().unwrap_or_default();
            let current = state.items.get(key).map_or(0, |(_, r)| *r);
            row["Revision"].as_u64() == Some(current)
        };
        if !rows("ExpectedRevision").iter().all(is_unchanged) {
            return json_response(412, &json!({"items": []}));
        }
        state.revision += 1;
        let revision = state.revision;
        for put in rows("Puts") {
            let key = put["Key"].as_str().unwrap_or_default().to_owned();
            let value = put["Value"].as_str().unwrap_or_default().to_owned();
            let entry = (value, revision);
            let event = item(&key, &entry);
            state.record_event(event);
            state.items.insert(key, entry);
        }
        for key in rows("Remove").iter().filter_map(Value::as_str) {
            if state.items.remove(key).is_some() {
                state.record_event(json!({"Key": key, "Revision": revision, "Removed": true}));
            }
        }
        state.record_copy();
        drop(state);
        self.changed.notify_all();
        json_response(200, &json!({"Revision": revision}))
    }

    /// Comes back, in a new era, from a copy of the content as it was `age` ago.
    fn restore(&self, age: Duration) {
        let mut state = sync::lock(&self.state);
        let copy = state.copies.take(Instant::now(), age);
        state.items = copy.items;
        state.revision = copy.revision;
        state.compacted_revision = copy.revision;
        state.history.clear();
        state.era += 1;
        drop(state);
        self.changed.notify_all();
    }

    /// Writes the operators' values again that the store has lost; returns how many.
    fn rewrite(&self) -> usize {
        let state = sync::lock(&self.state);
        let lost = state.copies.lost_operator_values(&state.items);
        drop(state);
        for (key, value) in &lost {
            match value {
                Some(value) => self.commit(&json!({"Puts": [{"Key": key, "Value": value}]})),
                None => self.commit(&json!({"Remove": [key]})),
            };
        }
        lost.len()
    }

    /// Sets a fault, returns the number of requests, or writes a key in place of an operator.
    fn control(&self, path: &str, body: &[u8]) -> HttpResponse {
        match path {
            "/control/down" | "/control/up" => {
                sync::lock(&self.state).down = path.ends_with("down");
                self.changed.notify_all();
            }
            "/control/slow-ms" | "/control/lose-one-in" => {
                let text = String::from_utf8_lossy(body);
                let Ok(value) = text.parse::<u64>() else {
                    return HttpResponse::text(400, "no number");
                };
                let mut state = sync::lock(&self.state);
                match path {
                    "/control/slow-ms" => state.response_delay = Duration::from_millis(value),
                    _ => state.lose_one_in = value,
                }
            }
            "/control/forget" => {
                let mut state = sync::lock(&self.state);
                state.compacted_revision = state.revision;
                state.history.clear();
            }
            "/control/restore" => {
                let text = String::from_utf8_lossy(body);
                let Ok(age_ms) = text.parse::<u64>() else {
                    return HttpResponse::text(400, "no number");
                };
                self.restore(Duration::from_millis(age_ms));
            }
            "/control/rewrite" => return HttpResponse::text(200, self.rewrite().to_string()),
            "/control/calls" => {
                let calls = sync::lock(&self.state).calls;
                return HttpResponse::text(200, calls.to_string());
            }
            _ if path.starts_with("/control/remove/") => {
                let key = path.trim_start_matches("/control/remove/");
                sync::lock(&self.state).copies.record_operator(key, None);
                return self.commit(&json!({"Remove": [key]}));
            }
            _ => {
                let key = path.trim_start_matches("/control/put/");
                let value = STANDARD.encode(body);
                let mut state = sync::lock(&self.state);
                state.copies.record_operator(key, Some(&value));
                drop(state);
                return self.commit(&json!({"Puts": [{"Key": key, "Value": value}]}));
            }
        }
        HttpResponse::text(200, "")
    }
}

impl State {
    fn record_copy(&mut self) {
        let copy = StoreCopy {
            items: self.items.clone(),
            revision: self.revision,
        };
        self.copies.record(Instant::now(), copy);
    }

    fn record_event(&mut self, event: Value) {
        self.history.push_back(event);
        while self.history.len() > HISTORY_MAX {
            let oldest = self.history.pop_front();
            let revision = oldest.and_then(|e| e["Revision"].as_u64());
            self.compacted_revision = revision.unwrap_or(self.compacted_revision);
        }
    }
}

impl ListenerHandler for StoreStandIn {
    fn limits(&self) -> ListenerLimits {
        LIMITS
    }

    fn body_timeout(&self, _head: &RequestHead) -> Duration {
        LIMITS.head_timeout
    }

    fn handle(&self, request: HttpRequest, _recipient: &Recipient) -> HttpResponse {
        let mut response = self.respond(&request);
        let era = sync::lock(&self.state).era;
        if era > 0 {
            response.headers.push("Store-Era", era.to_string());
        }
        response
    }

    fn error_response(&self, error: &ConnectionError) -> HttpResponse {
        HttpResponse::text(400, error.to_string())
    }

    fn is_shutting_down(&self) -> bool {
        false
    }
}

impl StoreStandIn {
    /// Responds to a request, without the era.
    fn respond(&self, request: &HttpRequest) -> HttpResponse {
        let path = request.head.path().to_owned();
        if path.starts_with("/control/") {
            return self.control(&path, &request.body);
        }
        let mut state = sync::lock(&self.state);
        state.calls += 1;
        if state.down {
            return HttpResponse::text(503, "down");
        }
        let delay = state.response_delay;
        let lost = state.lose_one_in > 0 && state.calls.is_multiple_of(state.lose_one_in);
        drop(state);
        thread::sleep(delay);
        let query = |name: &str| {
            let pairs = request.head.target.split(['?', '&']).skip(1);
            let mut named = pairs
                .filter_map(|p| p.split_once('='))
                .filter(|(n, _)| *n == name);
            named.next().map(|(_, v)| v.to_owned()).unwrap_or_default()
        };
        match path.as_str() {
            "/kv-range" => self.range(&query("PathPrefix"), &query("after")),
            "/kv-watch" => {
                let wait = Duration::from_millis(query("WaitMs").parse().unwrap_or(0));
                self.watch(
                    &query("PathPrefix"),
                    query("after").parse().unwrap_or(0),
                    wait,
                )
            }
            "/kv-txn" => match serde_json::from_slice(&request.body) {
                Ok(body) => {
                    let response = self.commit(&body);
                    HttpResponse {
                        close_without_response: lost,
                        ..response
                    }
                }
                Err(e) => HttpResponse::text(400, e.to_string()),
            },
            _ => HttpResponse::text(404, "no such call"),
        }
    }
}

/// Returns the JSON of an item in range reads and watches.
fn item(key: &str, (value, revision): &(String, u64)) -> Value {
    json!({"Key": key, "Value": value, "Revision": revision, "CreatedRev": revision, "Lease": 0})
}

/// Returns a response with a JSON body.
pub fn json_response(status: u16, body: &Value) -> HttpResponse {
    HttpResponse::text(status, body.to_string())
}
