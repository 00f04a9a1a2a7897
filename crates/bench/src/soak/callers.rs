//! Callers that keep their connections open and note what they are told.

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
use crate::soak::newest_of;

/// How many callers each host has.
const CALLERS: usize = 3;
/// How many callers there are at the most.
const CALLERS_MAX: usize = 96;
/// How long a caller waits, in milliseconds.
const DEADLINE_MS: u64 = 1500;
/// How much longer than that a caller keeps the connection open.
const PATIENCE: Duration = Duration::from_millis(400);
/// How long a caller rests between two requests.
const PAUSE: Duration = Duration::from_millis(15);
/// How long a caller rests after a connection that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(80);

/// What became of a request, as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// An answer with this status, and whether it is whole and the request's own.
    Status(u16, bool),
    /// The connection failed, with the reason.
    Failed(String),
}

/// One request.
#[derive(Clone, Debug)]
pub struct Told {
    /// The host that took it.
    pub host: usize,
    /// Its id.
    pub id: String,
    /// Its method.
    pub method: &'static str,
    /// The newest route that is asked for, where it asks for one.
    pub route: Option<u32>,
    /// When it was sent.
    pub sent: Instant,
    /// When it ended.
    pub ended: Instant,
    /// What became of it.
    pub answer: Answer,
}

/// The running callers.
pub struct Callers {
    stop: Arc<AtomicBool>,
    told: Arc<Mutex<Vec<Told>>>,
    threads: Vec<JoinHandle<()>>,
}

struct Caller {
    host: usize,
    name: String,
    client: HttpClient,
    rng: SmallRng,
    newest: Arc<AtomicU32>,
}

impl Callers {
    /// Starts the callers of all hosts; `newest` is the number of the newest route.
    pub fn start(cluster: &HostCluster, seed: u64, newest: &Arc<AtomicU32>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let told = Arc::new(Mutex::new(Vec::new()));
        let hosts = cluster.hosts.len();
        let each = CALLERS.min((CALLERS_MAX / hosts).max(1));
        let mut threads = Vec::new();
        for number in 0..hosts * each {
            let host = number % hosts;
            let mut caller = Caller {
                host,
                name: format!("s{seed}-{number}"),
                client: HttpClient::new(cluster.hosts[host].callers, None),
                rng: SmallRng::seed_from_u64(seed.wrapping_mul(1000) + number as u64),
                newest: Arc::clone(newest),
            };
            let to = cluster.hosts[host].callers;
            let (stop, told) = (Arc::clone(&stop), Arc::clone(&told));
            threads.push(thread::spawn(move || {
                for count in 0u32.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let one = caller.call(count, to);
                    let failed = matches!(one.answer, Answer::Failed(_));
                    sync::lock(&told).push(one);
                    thread::sleep(if failed { FAILURE_PAUSE } else { PAUSE });
                }
            }));
        }
        Self {
            stop,
            told,
            threads,
        }
    }

    /// Stops the callers and returns all that they were told.
    ///
    /// # Panics
    ///
    /// Panics where a caller has panicked: its requests would be missing from the verdict.
    pub fn stop(self) -> Vec<Told> {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            thread.join().expect("a caller does not panic");
        }
        std::mem::take(&mut sync::lock(&self.told))
    }
}

impl Caller {
    fn call(&mut self, count: u32, to: SocketAddr) -> Told {
        let id = format!("{}-{count}", self.name);
        let newest = newest_of(&self.newest);
        let (method, path, keyed, route) = match self.rng.random_range(0..10) {
            0..=2 => ("GET", "/look/".to_owned(), true, None),
            3..=5 => ("POST", "/book/".to_owned(), true, None),
            6 => ("GET", "/peek/".to_owned(), false, None),
            7..=8 => ("POST", "/pay/".to_owned(), false, None),
            _ => ("GET", format!("/v{newest}/"), false, Some(newest)),
        };
        let target = format!("{path}{id}");
        let mut headers = Headers::default();
        headers.push("Host", "a.example");
        headers.push("Request-Id", id.as_str());
        headers.push("Deadline-Ms", DEADLINE_MS.to_string());
        if keyed {
            headers.push("Shard-Key", self.rng.random::<u16>().to_string());
        }
        let body = match method {
            "POST" => id.clone().into_bytes(),
            _ => Vec::new(),
        };
        let call = OutgoingRequest {
            method,
            target: target.clone(),
            headers,
            body,
        };
        let sent = Instant::now();
        let limit = Duration::from_millis(DEADLINE_MS) + PATIENCE;
        let answer = match self.client.call(&call, limit) {
            Ok((head, body)) => {
                let own = head.headers.get_str("Request-Id") == Some(id.as_str());
                let signed = head.headers.get("Response-Signature").is_some();
                let whole = body == format!("{method} {target}").into_bytes();
                let right = match head.status {
                    200..300 => own && signed && whole,
                    _ => !signed,
                };
                Answer::Status(head.status, right)
            }
            Err(e) => {
                // The next request begins on a new connection.
                self.client = HttpClient::new(to, None);
                Answer::Failed(e.to_string())
            }
        };
        Told {
            host: self.host,
            id,
            method,
            route,
            sent,
            ended: Instant::now(),
            answer,
        }
    }
}
