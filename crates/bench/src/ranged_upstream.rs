//! A small stand-in for an upstream of the users' platform: it takes grants of key ranges, reports
//! its state to the daemon beside it, and notes what it runs in a journal.

use std::fs::OpenOptions;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use foxtaildrift::connection::buffered_connection::{ConnectionError, Recipient};
use foxtaildrift::connection::http_client::HttpClient;
use foxtaildrift::connection::http_listener::{
    HttpListener, HttpRequest, HttpResponse, ListenerHandler, ListenerLimits,
};
use foxtaildrift::connection::http1::RequestHead;
use foxtaildrift::connection::protocol::OutgoingRequest;
use foxtaildrift::process::sync;
use foxtaildrift::request::headers::Headers;
use serde_json::{Value, json};

use crate::args::{self, BenchError};
use crate::host_run::HostRun;

/// What the stand-in takes.
const LIMITS: ListenerLimits = ListenerLimits {
    head_bytes: 16 * 1024,
    body_bytes: 4 * 1024 * 1024,
    head_timeout: Duration::from_secs(2),
    idle_timeout: Duration::from_secs(10),
};
/// How often the state is reported.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// How long a report may take.
const REPORT_TIME: Duration = Duration::from_millis(900);

struct Held {
    first: u64,
    last: u64,
    fence: u64,
    until: Instant,
}

#[derive(Default)]
struct State {
    held: Vec<Held>,
    highest: Vec<Held>,
    running: u32,
}

struct RangedUpstream {
    id: String,
    divided: bool,
    work: Duration,
    journal: String,
    state: Mutex<State>,
}

/// Runs the stand-in until the process is killed.
///
/// # Errors
///
/// Returns an error where the arguments don't fit or the address is taken.
pub fn run(args: &[String]) -> Result<(), BenchError> {
    let matches = args::parse(args, |o| {
        o.reqopt("", "listen", "where orders are taken", "ADDRESS");
        o.reqopt("", "reports", "where the state is reported", "ADDRESS");
        o.reqopt("", "service", "the service", "NAME");
        o.reqopt("", "domain", "the failure domain", "NAME");
        o.reqopt("", "journal", "where runs are noted", "FILE");
        o.optopt("", "work-ms", "how long an order takes", "N");
        o.optflag("", "divided", "take only keys that were granted");
    })?;
    let text = |name: &str| args::value(&matches, name, String::new());
    let address: SocketAddr = parse(&text("listen")?)?;
    let reports: SocketAddr = parse(&text("reports")?)?;
    let listener = TcpListener::bind(address).map_err(BenchError::with_context("listen"))?;
    let born = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let born = u64::try_from(born.as_millis()).unwrap_or(0);
    let upstream = Arc::new(RangedUpstream {
        id: format!("i-{born:x}-{}", address.ip()),
        divided: matches.opt_present("divided"),
        work: Duration::from_millis(args::value(&matches, "work-ms", 20)?),
        journal: text("journal")?,
        state: Mutex::default(),
    });
    let id = upstream.id.clone();
    let _listener =
        HttpListener::start(listener, upstream).map_err(BenchError::with_context("listen"))?;
    let client = HttpClient::new(reports, Some(address.ip()));
    let info =
        json!({"Service": text("service")?, "Version": "v1", "Zone": text("domain")?, "Slots": 8});
    for sequence in 1u64.. {
        let status = json!({"State": "ready", "Sequence": sequence, "WarmupRemainingMs": 0});
        let body =
            json!({"Address": address.to_string(), "born": born, "Info": info, "Status": status});
        let mut headers = Headers::default();
        headers.push("Host", "reports");
        let call = OutgoingRequest {
            method: "POST",
            target: format!("/Instances.Heartbeat/{id}"),
            headers,
            body: body.to_string().into_bytes(),
        };
        // The daemon may be down; the next report tells the same.
        let _ = client.call(&call, REPORT_TIME);
        thread::sleep(REPORT_INTERVAL);
    }
    Ok(())
}

fn micros_now() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(now.unwrap_or_default().as_micros()).unwrap_or(0)
}

fn parse(text: &str) -> Result<SocketAddr, BenchError> {
    text.parse().map_err(BenchError::with_context("address"))
}

impl RangedUpstream {
    fn grant(&self, body: &Value) -> HttpResponse {
        let number = |name: &str| body[name].as_u64().unwrap_or(0);
        let (first, last, fence) = (number("From"), number("To"), number("fence"));
        let mut state = sync::lock(&self.state);
        let overlaps = |h: &&Held| h.first <= last && first <= h.last;
        if state
            .highest
            .iter()
            .filter(overlaps)
            .any(|h| h.fence > fence)
        {
            return HttpResponse::text(409, "a higher fence was seen");
        }
        let until = Instant::now() + Duration::from_millis(number("HoldMs"));
        let held = || Held {
            first,
            last,
            fence,
            until,
        };
        state.held.retain(|h| !(h.first == first && h.last == last));
        state.held.push(held());
        state.highest.push(held());
        self.note(&format!("grant {first} {last} {fence}"));
        HttpResponse::text(200, "")
    }

    fn release(&self, body: &Value) -> HttpResponse {
        let number = |name: &str| body[name].as_u64().unwrap_or(0);
        let (first, last) = (number("From"), number("To"));
        let mut kept = Vec::new();
        let mut state = sync::lock(&self.state);
        for held in std::mem::take(&mut state.held) {
            let parts = [
                (
                    held.first,
                    held.last.min(first.saturating_sub(1)),
                    held.first < first,
                ),
                (held.first.max(last + 1), held.last, held.last > last),
            ];
            for (from, to, some) in parts {
                if some {
                    kept.push(Held {
                        first: from,
                        last: to,
                        ..held
                    });
                }
            }
        }
        state.held = kept;
        drop(state);
        while sync::lock(&self.state).running > 0 {
            thread::sleep(Duration::from_millis(2));
        }
        let mut reply = HttpResponse::text(200, "");
        reply.headers.push("Handover", "warm");
        reply
    }

    /// Notes that a request runs, where its key is held; returns whether it is.
    fn begin(&self, key: Option<u64>, id: &str, head: &RequestHead) -> bool {
        let now = Instant::now();
        // No grant or release comes between the look at the holds and the note.
        let mut state = sync::lock(&self.state);
        let inside = |h: &&Held| key.is_some_and(|k| h.first <= k && k <= h.last) && h.until > now;
        let fences = state.held.iter().filter(inside).map(|h| h.fence);
        let fence = fences.max();
        if self.divided && fence.is_none() {
            return false;
        }
        state.running += 1;
        let run = HostRun {
            started_at_micros: micros_now(),
            id: id.to_owned(),
            method: head.method.clone(),
            target: head.target.clone(),
            key: key.filter(|_| self.divided),
            fencing_token: fence.unwrap_or(0),
            upstream: self.id.clone(),
        };
        self.note(&run.to_string());
        true
    }

    fn work(&self, request: &HttpRequest, id: &str) -> HttpResponse {
        let head = &request.head;
        let expected = head.headers.get_str("Expected-Instance");
        let key = head
            .headers
            .get_str("Shard-Key")
            .and_then(|k| k.parse().ok());
        let mut reply = if expected.is_some_and(|e| e != self.id) || !self.begin(key, id, head) {
            let mut reply = HttpResponse::text(421, "not here");
            reply.headers.push("Not-Executed", "1");
            reply
        } else {
            thread::sleep(self.work);
            sync::lock(&self.state).running -= 1;
            let mut reply = HttpResponse::text(200, format!("{} {}", head.method, head.target));
            reply.headers.push("Response-Signature", "s");
            reply
        };
        reply.headers.push("Request-Id", id);
        reply
    }

    fn note(&self, line: &str) {
        let file = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.journal);
        let written = file.and_then(|mut f| f.write_all(format!("{line}\n").as_bytes()));
        written.expect("the journal can be written");
    }
}

impl ListenerHandler for RangedUpstream {
    fn limits(&self) -> ListenerLimits {
        LIMITS
    }

    fn body_timeout(&self, _head: &RequestHead) -> Duration {
        LIMITS.head_timeout
    }

    fn handle(&self, request: HttpRequest, recipient: &Recipient) -> HttpResponse {
        let body = || serde_json::from_slice(&request.body).unwrap_or(Value::Null);
        match request.head.path() {
            "/grant" if self.divided => self.grant(&body()),
            "/release" if self.divided => self.release(&body()),
            "/grant" | "/release" => HttpResponse::text(400, "no keys"),
            _ => {
                let id = request
                    .head
                    .headers
                    .get_str("Request-Id")
                    .unwrap_or("")
                    .to_owned();
                let reply = self.work(&request, &id);
                if recipient.has_disconnected() {
                    self.note(&format!("left {id}"));
                }
                reply
            }
        }
    }

    fn error_response(&self, error: &ConnectionError) -> HttpResponse {
        HttpResponse::text(400, error.to_string())
    }

    fn is_shutting_down(&self) -> bool {
        false
    }
}
