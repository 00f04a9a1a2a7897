//! Callers that keep their connections open and record the outcome of each call.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use foxtaildrift::connection::http_client::HttpClient;
use foxtaildrift::connection::protocol::OutgoingRequest;
use foxtaildrift::process::sync;
use foxtaildrift::request::headers::Headers;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::host_cluster::HostCluster;
use crate::soak::hot_keys::HotKeys;
use crate::soak::newest_route_number;

/// The number of callers of each host.
const CALLERS_PER_HOST: usize = 3;
/// The largest number of callers in total, but at least one for each host.
const CALLERS_MAX: usize = 96;
/// The number of callers in total that send requests for hot keys only, besides the others.
const HOT_CALLERS: usize = 32;
/// The deadline that a request states, in milliseconds after it is sent.
const DEADLINE_MS: u64 = 1500;
/// How long after the deadline a caller still waits for the response.
const CONNECTION_GRACE: Duration = Duration::from_millis(400);
/// The number of kinds of requests that are drawn, weighted by how often they are drawn.
const KINDS: u32 = 10;
/// How many of them are for a key; they come first.
const KEYED_KINDS: u32 = 6;
/// The pause between two requests of a caller.
const REQUEST_PAUSE: Duration = Duration::from_millis(15);
/// The pause between two requests of a caller of hot keys.
const HOT_REQUEST_PAUSE: Duration = Duration::from_millis(10);
/// The pause of a caller after a failed connection.
const FAILURE_PAUSE: Duration = Duration::from_millis(80);

/// The outcome of a call as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// A response with this status, and whether it is valid: a successful one is complete, signed
    /// and for this request, any other is not signed.
    Response(u16, bool),
    /// The connection failed for this reason.
    Failed(String),
}

/// A request and its outcome.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// The number of the host that the request was sent to.
    pub host: usize,
    /// The value of its header `Request-Id`.
    pub id: String,
    /// The HTTP method.
    pub method: &'static str,
    /// The number of the requested route, if it is a numbered one.
    pub route: Option<u32>,
    /// When the request was sent.
    pub sent: Instant,
    /// When the response arrived or the connection failed.
    pub ended: Instant,
    /// The outcome of the request.
    pub outcome: CallOutcome,
}

/// The running callers.
pub struct Callers {
    stop: Arc<AtomicBool>,
    calls: Arc<Mutex<Vec<CallRecord>>>,
    threads: Vec<JoinHandle<()>>,
}

struct Caller {
    host: usize,
    name: String,
    client: HttpClient,
    rng: SmallRng,
    newest_route: Arc<AtomicU32>,
    /// The choice of the keys, if it sends requests for hot keys only.
    hot_keys: Option<HotKeys>,
    pause: Duration,
}

impl Callers {
    /// Starts the callers of all hosts; `newest_route` holds the highest route number.
    pub fn start(cluster: &HostCluster, seed: u64, newest_route: &Arc<AtomicU32>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let calls = Arc::new(Mutex::new(Vec::new()));
        let hosts = cluster.hosts.len();
        let per_host = CALLERS_PER_HOST.min((CALLERS_MAX / hosts).max(1));
        let started = Instant::now();
        let create_caller = |number: usize, name: String| Caller {
            host: number % hosts,
            name,
            client: HttpClient::new(cluster.hosts[number % hosts].caller_address, None),
            rng: SmallRng::seed_from_u64(seed.wrapping_mul(1000) + number as u64),
            newest_route: Arc::clone(newest_route),
            hot_keys: None,
            pause: REQUEST_PAUSE,
        };
        let usual = (0..hosts * per_host).map(|n| create_caller(n, format!("s{seed}-{n}")));
        let hot = (0..HOT_CALLERS).map(|n| Caller {
            hot_keys: Some(HotKeys::new(seed, started)),
            pause: HOT_REQUEST_PAUSE,
            ..create_caller(n, format!("s{seed}-hot{n}"))
        });
        let threads = usual
            .chain(hot)
            .map(|mut caller| {
                let address = cluster.hosts[caller.host].caller_address;
                let (stop, calls) = (Arc::clone(&stop), Arc::clone(&calls));
                thread::spawn(move || {
                    for count in 0u32.. {
                        if stop.load(Ordering::SeqCst) {
                            return;
                        }
                        let call = caller.call(count, address);
                        let failed = matches!(call.outcome, CallOutcome::Failed(_));
                        sync::lock(&calls).push(call);
                        thread::sleep(if failed { FAILURE_PAUSE } else { caller.pause });
                    }
                })
            })
            .collect();
        Self {
            stop,
            calls,
            threads,
        }
    }

    /// Stops the callers and returns the records of all calls.
    ///
    /// # Panics
    ///
    /// Panics if a caller has panicked: its calls would be missing from the verdict.
    pub fn stop(self) -> Vec<CallRecord> {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            thread.join().expect("a caller does not panic");
        }
        std::mem::take(&mut sync::lock(&self.calls))
    }
}

impl Caller {
    fn call(&mut self, count: u32, address: SocketAddr) -> CallRecord {
        let id = format!("{}-{count}", self.name);
        let newest_route = newest_route_number(&self.newest_route);
        let kinds = match self.hot_keys {
            Some(_) => 0..KEYED_KINDS,
            None => 0..KINDS,
        };
        let (method, path, keyed, route) = match self.rng.random_range(kinds) {
            0..=2 => ("GET", "/look/".to_owned(), true, None),
            3..=5 => ("POST", "/book/".to_owned(), true, None),
            6 => ("GET", "/peek/".to_owned(), false, None),
            7..=8 => ("POST", "/pay/".to_owned(), false, None),
            _ => (
                "GET",
                format!("/v{newest_route}/"),
                false,
                Some(newest_route),
            ),
        };
        let target = format!("{path}{id}");
        let mut headers = Headers::default();
        headers.push("Host", "a.example");
        headers.push("Request-Id", id.as_str());
        headers.push("Deadline-Ms", DEADLINE_MS.to_string());
        if keyed {
            let key = match &self.hot_keys {
                Some(hot_keys) => hot_keys.draw(&mut self.rng),
                None => self.rng.random(),
            };
            headers.push("Shard-Key", key.to_string());
        }
        let body = match method {
            "POST" => id.clone().into_bytes(),
            _ => Vec::new(),
        };
        let request = OutgoingRequest {
            method,
            target: target.clone(),
            headers,
            body,
        };
        let sent = Instant::now();
        let timeout = Duration::from_millis(DEADLINE_MS) + CONNECTION_GRACE;
        let outcome = match self.client.call(&request, timeout) {
            Ok((head, body)) => {
                let same_id = head.headers.get_str("Request-Id") == Some(id.as_str());
                let signed = head.headers.get("Response-Signature").is_some();
                let complete = body == format!("{method} {target}").into_bytes();
                let valid = match head.status {
                    200..300 => same_id && signed && complete,
                    _ => !signed,
                };
                CallOutcome::Response(head.status, valid)
            }
            Err(e) => {
                // The next request opens a new connection.
                self.client = HttpClient::new(address, None);
                CallOutcome::Failed(e.to_string())
            }
        };
        CallRecord {
            host: self.host,
            id,
            method,
            route,
            sent,
            ended: Instant::now(),
            outcome,
        }
    }
}
