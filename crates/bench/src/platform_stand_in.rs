//! A small stand-in for the platform: the key-value, blocking-query and session calls of Consul's
//! published HTTP interface, with faults that can be switched on.

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

/// The threads that serve calls; each waiting watch takes one.
const THREADS: u32 = 400;
/// How long a new connection may be queued.
const PATIENCE: Duration = Duration::from_millis(20);
/// How often lapsed sessions are looked for.
const SWEEP: Duration = Duration::from_millis(200);
/// The largest value, in bytes.
const VALUE_BYTES_MAX: usize = 1024 * 1024;

/// What is wrong with the platform at present.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Fault {
    down: bool,
    slow_ms: u64,
    lose_one_in: u64,
}

#[derive(Clone, Debug)]
struct Entry {
    value: Vec<u8>,
    modify_index: u64,
    session: Option<String>,
}

#[derive(Default)]
struct Store {
    index: u64,
    entries: BTreeMap<String, Entry>,
    sessions: HashMap<String, (Instant, Duration)>,
    next_session: u64,
    fault: Fault,
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
/// Returns an error where the address can't be listened on.
pub fn run(args: &[String]) -> Result<(), BenchError> {
    let matches = args::parse(args, |o| {
        o.optopt("", "listen", "where to listen", "ADDRESS");
    })?;
    let listen: SocketAddr = args::value(&matches, "listen", ([127, 0, 0, 1], 8500).into())?;
    let listener = TcpListener::bind(listen).map_err(BenchError::with_context("platform"))?;
    let platform = Arc::new(Platform::default());
    let handler = Arc::clone(&platform) as Arc<dyn HttpHandler>;
    let server = HttpServer::start("platform", listener, THREADS, PATIENCE, &handler);
    let _server = server.map_err(BenchError::with_context("platform"))?;
    loop {
        thread::sleep(SWEEP);
        platform.sweep();
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
        let number = self.calls.fetch_add(1, Ordering::SeqCst);
        let fault = sync::lock(&self.store).fault;
        if fault.down {
            let _ = request.respond(Response::from_string("down").with_status_code(500));
            return;
        }
        thread::sleep(Duration::from_millis(fault.slow_ms));
        let method = request.method().clone();
        let (status, text) = self.answer(&method, path, &query, &body);
        let lost = fault.lose_one_in > 0
            && method == Method::Put
            && number.is_multiple_of(fault.lose_one_in);
        let (status, text) = if lost {
            (500, "answer lost".to_owned())
        } else {
            (status, text)
        };
        let _ = request.respond(Response::from_string(text).with_status_code(status));
    }
}

impl Platform {
    /// Switches faults, and tells the number of calls.
    fn control(&self, setting: &str, body: &[u8]) -> (u16, String) {
        let number = String::from_utf8_lossy(body).trim().parse().unwrap_or(0);
        let mut store = sync::lock(&self.store);
        match setting {
            "down" => store.fault.down = number > 0,
            "slow-ms" => store.fault.slow_ms = number,
            "lose-one-in" => store.fault.lose_one_in = number,
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

    fn answer(
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
            let same = |s: &mut Store| {
                let present = s.entries.get(key).map_or(1, |e| e.modify_index);
                present == index && !s.fault.down
            };
            let waited = self.changed.wait_timeout_while(store, wait, same);
            store = waited.unwrap_or_else(std::sync::PoisonError::into_inner).0;
            if store.fault.down {
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
        let present = store.entries.get(key).map_or(0, |e| e.modify_index);
        let held_by = store.entries.get(key).and_then(|e| e.session.clone());
        let session = query.get("acquire").map(|s| (*s).to_owned());
        let allowed = match (query.get("cas"), &session) {
            (Some(cas), _) => cas.parse() == Ok(present),
            (None, Some(id)) => {
                store.sessions.contains_key(id) && held_by.as_ref().is_none_or(|by| by == id)
            }
            (None, None) => true,
        };
        if !allowed {
            return (200, "false".to_owned());
        }
        if session.is_some() && held_by == session {
            return (200, "true".to_owned());
        }
        store.index += 1;
        let modify_index = store.index + 1;
        let entry = Entry {
            value: body.to_vec(),
            modify_index,
            session: session.or(held_by),
        };
        store.entries.insert(key.to_owned(), entry);
        self.changed.notify_all();
        (200, "true".to_owned())
    }

    /// Ends the sessions that were not renewed in time.
    fn sweep(&self) {
        let mut store = sync::lock(&self.store);
        let lapsed = store
            .sessions
            .iter()
            .filter(|(_, (renewed, ttl))| renewed.elapsed() > *ttl);
        let lapsed: Vec<String> = lapsed.map(|(id, _)| id.clone()).collect();
        for id in &lapsed {
            store.end_session(id);
        }
        if !lapsed.is_empty() {
            self.changed.notify_all();
        }
    }
}

impl Store {
    fn create_session(&mut self, body: &[u8]) -> String {
        let wish: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
        let ttl = wish["TTL"]
            .as_str()
            .and_then(|t| t.strip_suffix('s')?.parse().ok());
        let ttl = Duration::from_secs(ttl.unwrap_or(10).max(10));
        self.next_session += 1;
        let id = format!("00000000-0000-4000-8000-{:012x}", self.next_session);
        self.sessions.insert(id.clone(), (Instant::now(), ttl));
        serde_json::json!({ "ID": id }).to_string()
    }

    /// Ends a session and deletes what it holds.
    fn end_session(&mut self, id: &str) {
        self.sessions.remove(id);
        self.entries.retain(|_, e| e.session.as_deref() != Some(id));
    }
}
