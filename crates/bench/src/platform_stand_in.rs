//! A stand-in for the platform: the key-value, blocking-query and session requests of Consul's
//! published HTTP API, with faults that can be set under `/stand-in/`.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use foxtaildrift::connection::http_server::{HttpHandler, HttpServer};
use foxtaildrift::process::sync;
use tiny_http::{Method, Request, Response};

use crate::args::{self, BenchError};

/// The number of threads that serve requests; each blocking query occupies one while it waits.
const WORKER_THREADS: u32 = 400;
/// How long a new connection may wait for a free thread.
const QUEUE_TIMEOUT: Duration = Duration::from_millis(20);
/// How often expired sessions are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(200);
/// The size limit of a value, in bytes.
const VALUE_BYTES_MAX: usize = 1024 * 1024;

/// The faults that are set at present.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Faults {
    /// Whether every request fails with status 500.
    down: bool,
    /// The delay of each response, in milliseconds.
    slow_ms: u64,
    /// Of every `lose_one_in` requests one gets an error in place of its response, if it is a
    /// write; zero disables this.
    lose_one_in: u64,
}

#[derive(Clone, Debug)]
struct Entry {
    value: Vec<u8>,
    modify_index: u64,
    /// The session that acquired the key.
    session: Option<String>,
}

#[derive(Default)]
struct Store {
    index: u64,
    entries: BTreeMap<String, Entry>,
    /// The time of the last renewal and the time to live of each session.
    sessions: HashMap<String, (Instant, Duration)>,
    next_session: u64,
    faults: Faults,
}

#[derive(Default)]
struct Platform {
    store: Mutex<Store>,
    changed: Condvar,
    calls: AtomicU64,
    writes: AtomicU64,
}

/// Runs the stand-in until the process is killed.
///
/// # Errors
///
/// Returns an error if the arguments are invalid or the address can't be listened on.
pub fn run(args: &[String]) -> Result<(), BenchError> {
    let matches = args::parse(args, |o| {
        o.optopt("", "listen", "the address to listen on", "ADDRESS");
    })?;
    let listen: SocketAddr = args::value(&matches, "listen", ([127, 0, 0, 1], 8500).into())?;
    let listener = TcpListener::bind(listen).map_err(BenchError::with_context(
        "can't start the platform's stand-in",
    ))?;
    let platform = Arc::new(Platform::default());
    let handler = Arc::clone(&platform) as Arc<dyn HttpHandler>;
    let server = HttpServer::start(
        "platform",
        listener,
        WORKER_THREADS,
        QUEUE_TIMEOUT,
        &handler,
    );
    let _server = server.map_err(BenchError::with_context(
        "can't start the platform's stand-in",
    ))?;
    loop {
        thread::sleep(EXPIRY_INTERVAL);
        platform.remove_expired_sessions();
    }
}

impl HttpHandler for Platform {
    fn serve(&self, mut request: Request) {
        let url = request.url().to_owned();
        let (path, query) = url.split_once('?').unwrap_or((&url, ""));
        let query: HashMap<&str, &str> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let mut body = Vec::new();
        if std::io::Read::read_to_end(request.as_reader(), &mut body).is_err() {
            return;
        }
        if let Some(setting) = path.strip_prefix("/stand-in/") {
            let (status, text) = self.control(setting, &body);
            let _ = request.respond(Response::from_string(text).with_status_code(status));
            return;
        }
        let call_number = self.calls.fetch_add(1, Ordering::SeqCst);
        let faults = sync::lock(&self.store).faults;
        if faults.down {
            let _ = request.respond(Response::from_string("down").with_status_code(500));
            return;
        }
        thread::sleep(Duration::from_millis(faults.slow_ms));
        let method = request.method().clone();
        let (status, text) = self.respond(&method, path, &query, &body);
        let lost = faults.lose_one_in > 0
            && method == Method::Put
            && call_number.is_multiple_of(faults.lose_one_in);
        let (status, text) = if lost {
            (500, "answer lost".to_owned())
        } else {
            (status, text)
        };
        let _ = request.respond(Response::from_string(text).with_status_code(status));
    }
}

impl Platform {
    /// Sets a fault, or returns the numbers of requests and writes.
    fn control(&self, setting: &str, body: &[u8]) -> (u16, String) {
        let number = String::from_utf8_lossy(body).trim().parse().unwrap_or(0);
        let mut store = sync::lock(&self.store);
        match setting {
            "down" => store.faults.down = number > 0,
            "slow-ms" => store.faults.slow_ms = number,
            "lose-one-in" => store.faults.lose_one_in = number,
            "calls" => {
                let calls = self.calls.load(Ordering::SeqCst);
                let writes = self.writes.load(Ordering::SeqCst);
                return (200, format!("{calls} {writes}"));
            }
            _ => return (404, String::new()),
        }
        self.changed.notify_all();
        (200, String::new())
    }

    fn respond(
        &self,
        method: &Method,
        path: &str,
        query: &HashMap<&str, &str>,
        body: &[u8],
    ) -> (u16, String) {
        if let Some(key) = path.strip_prefix("/v1/kv/") {
            return match method {
                Method::Get => self.get(key, query),
                Method::Put => self.put(key, query, body),
                _ => (405, String::new()),
            };
        }
        let mut store = sync::lock(&self.store);
        if path == "/v1/session/create" {
            return (200, store.create_session(body));
        }
        if let Some(id) = path.strip_prefix("/v1/session/renew/") {
            return match store.sessions.get_mut(id) {
                Some((renewed, _)) => {
                    *renewed = Instant::now();
                    (200, "[]".to_owned())
                }
                None => (404, String::new()),
            };
        }
        if let Some(id) = path.strip_prefix("/v1/session/destroy/") {
            store.end_session(id);
            self.changed.notify_all();
            return (200, "true".to_owned());
        }
        (404, String::new())
    }

    fn get(&self, key: &str, query: &HashMap<&str, &str>) -> (u16, String) {
        let mut store = sync::lock(&self.store);
        if let Some(index) = query.get("index").and_then(|i| i.parse::<u64>().ok()) {
            let wait = query
                .get("wait")
                .and_then(|w| w.strip_suffix("ms")?.parse().ok());
            let wait = Duration::from_millis(wait.unwrap_or(300_000));
            let is_unchanged = |s: &mut Store| {
                let current = s.entries.get(key).map_or(1, |e| e.modify_index);
                current == index && !s.faults.down
            };
            let waited = self.changed.wait_timeout_while(store, wait, is_unchanged);
            store = waited.unwrap_or_else(std::sync::PoisonError::into_inner).0;
            if store.faults.down {
                return (500, "down".to_owned());
            }
        }
        let Some(entry) = store.entries.get(key) else {
            return (404, String::new());
        };
        let value = serde_json::json!([{
            "Key": key,
            "ModifyIndex": entry.modify_index,
            "Value": STANDARD.encode(&entry.value),
            "Session": entry.session,
        }]);
        (200, value.to_string())
    }

    fn put(&self, key: &str, query: &HashMap<&str, &str>, body: &[u8]) -> (u16, String) {
        if body.len() > VALUE_BYTES_MAX {
            return (413, String::new());
        }
        self.writes.fetch_add(1, Ordering::SeqCst);
        let mut store = sync::lock(&self.store);
        let current_index = store.entries.get(key).map_or(0, |e| e.modify_index);
        let holder = store.entries.get(key).and_then(|e| e.session.clone());
        let session = query.get("acquire").map(|s| (*s).to_owned());
        let allowed = match (query.get("cas"), &session) {
            (Some(cas), _) => cas.parse() == Ok(current_index),
            (None, Some(id)) => {
                store.sessions.contains_key(id) && holder.as_ref().is_none_or(|h| h == id)
            }
            (None, None) => true,
        };
        if !allowed {
            return (200, "false".to_owned());
        }
        if session.is_some() && holder == session {
            return (200, "true".to_owned());
        }
        store.index += 1;
        let modify_index = store.index + 1;
        let entry = Entry {
            value: body.to_vec(),
            modify_index,
            session: session.or(holder),
        };
        store.entries.insert(key.to_owned(), entry);
        self.changed.notify_all();
        (200, "true".to_owned())
    }

    /// Ends the sessions that were not renewed within their time to live.
    fn remove_expired_sessions(&self) {
        let mut store = sync::lock(&self.store);
        let expired = store
            .sessions
            .iter()
            .filter(|(_, (renewed, ttl))| renewed.elapsed() > *ttl);
        let expired: Vec<String> = expired.map(|(id, _)| id.clone()).collect();
        for id in &expired {
            store.end_session(id);
        }
        if !expired.is_empty() {
            self.changed.notify_all();
        }
    }
}

impl Store {
    fn create_session(&mut self, body: &[u8]) -> String {
        let request: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
        let ttl = request["TTL"]
            .as_str()
            .and_then(|t| t.strip_suffix('s')?.parse().ok());
        let ttl = Duration::from_secs(ttl.unwrap_or(10).max(10));
        self.next_session += 1;
        let id = format!("00000000-0000-4000-8000-{:012x}", self.next_session);
        self.sessions.insert(id.clone(), (Instant::now(), ttl));
        serde_json::json!({ "ID": id }).to_string()
    }

    /// Ends a session and deletes the keys that it acquired.
    fn end_session(&mut self, id: &str) {
        self.sessions.remove(id);
        self.entries.retain(|_, e| e.session.as_deref() != Some(id));
    }
}
