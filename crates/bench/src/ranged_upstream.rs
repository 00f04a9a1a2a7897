//! A stand-in for an upstream of the users' platform: it accepts grants of key ranges, reports its
//! state to the daemon of its host, and records the requests that it runs in a journal.

use std::fs::OpenOptions;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use foxtaildrift::connection::buffered_connection::ConnectionError;
use foxtaildrift::connection::http_client::HttpClient;
use foxtaildrift::connection::http_listener::{
    HttpListener, HttpRequest, HttpResponse, ListenerHandler, ListenerLimits,
};
use foxtaildrift::connection::http1::RequestHead;
use foxtaildrift::connection::protocol::OutgoingRequest;
use foxtaildrift::connection::reactor::Reactor;
use foxtaildrift::connection::recipient::Recipient;
use foxtaildrift::process::sync;
use foxtaildrift::request::headers::Headers;
use serde_json::{Value, json};

use crate::args::{self, BenchError};
use crate::host_run::HostRun;
use crate::late_connections::LateConnections;
use crate::late_grants::LateGrants;
use crate::ownership_event::{OwnershipChange, OwnershipEvent};
use crate::upstream_options::UpstreamOptions;

/// The headers of a request that its response repeats, each under another name.
const RECEIVED_HEADERS: [(&str, &str); 2] = [
    ("Tenant", "Received-Tenant"),
    ("Authorization", "Received-Authorization"),
];
/// The limits of requests to the stand-in.
const LIMITS: ListenerLimits = ListenerLimits {
    head_bytes: 16 * 1024,
    body_bytes: 4 * 1024 * 1024,
    head_timeout: Duration::from_secs(2),
    idle_timeout: Duration::from_secs(10),
};
/// How often the state is reported to the daemon.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// The timeout of a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(900);
/// How long the connection of a call without an answer is kept open.
const UNANSWERED_TIME: Duration = Duration::from_secs(10);
/// How often a call without an answer checks whether its client has closed the connection.
const CLIENT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The path under which the fraction of late grants is set.
pub const LATE_GRANTS_PATH: &str = "/stand-in/late-grants";

/// A granted range of keys, both ends included.
struct Grant {
    first: u64,
    last: u64,
    fencing_token: u64,
    expires_at: Instant,
}

/// The fencing token of a call for a range of keys, both ends included.
struct SeenToken {
    first: u64,
    last: u64,
    fencing_token: u64,
}

#[derive(Default)]
struct State {
    /// The accepted grants that were neither released nor replaced; they may have expired.
    active: Vec<Grant>,
    /// The tokens seen since the start; no grant with a lower one is accepted for their keys.
    seen: Vec<SeenToken>,
    /// The number of requests that are running.
    running: u32,
}

struct RangedUpstream {
    /// The id of this upstream process, from its start time and address.
    id: String,
    /// Whether only requests whose keys were granted are run.
    sharded: bool,
    service_time: Duration,
    late_grants: LateGrants,
    /// Whether the fencing tokens of releases refuse no grant.
    fences_by_releases: bool,
    /// The path of the journal.
    journal: String,
    state: Mutex<State>,
}

/// Runs the stand-in until the process is killed.
///
/// # Errors
///
/// Returns an error if the arguments are invalid or the address can't be listened on.
pub fn run(args: &[String]) -> Result<(), BenchError> {
    let matches = args::parse(args, |o| {
        o.reqopt("", "listen", "the address to listen on", "ADDRESS");
        o.reqopt(
            "",
            "reports",
            "the address to which the state is reported",
            "ADDRESS",
        );
        o.reqopt("", "service", "the service", "NAME");
        o.reqopt("", "domain", "the failure domain", "NAME");
        o.reqopt("", "journal", "the journal file", "FILE");
        o.optflag("", "divided", "run only requests whose keys were granted");
        UpstreamOptions::declare(o);
    })?;
    let options = UpstreamOptions::from_matches(&matches)?;
    let text = |name: &str| args::value(&matches, name, String::new());
    let address: SocketAddr = parse_address(&text("listen")?)?;
    let reports: SocketAddr = parse_address(&text("reports")?)?;
    let has_late_connections = options.late_connections > 0.0;
    // Late connections are passed on to a port of the kernel's choice.
    let own_address = match has_late_connections {
        true => SocketAddr::new(address.ip(), 0),
        false => address,
    };
    let listener = TcpListener::bind(own_address).map_err(BenchError::with_context(
        "can't start the upstream's stand-in",
    ))?;
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let started_ms = u64::try_from(since_epoch.as_millis()).unwrap_or(0);
    let upstream = Arc::new(RangedUpstream {
        id: format!("i-{started_ms:x}-{}", address.ip()),
        sharded: matches.opt_present("divided"),
        service_time: Duration::from_millis(options.work_ms),
        late_grants: LateGrants::new(&options),
        fences_by_releases: options.fences_by_releases,
        journal: text("journal")?,
        state: Mutex::default(),
    });
    let id = upstream.id.clone();
    let reactor = Reactor::start().map_err(BenchError::with_context("can't start the stand-in"))?;
    let listener = HttpListener::start(&reactor, listener, upstream).map_err(
        BenchError::with_context("can't start the upstream's stand-in"),
    )?;
    let _late_connections = match has_late_connections {
        true => {
            let started = LateConnections::start(address, listener.address(), &options);
            Some(started.map_err(BenchError::with_context("can't start the stand-in"))?)
        }
        false => None,
    };
    let client = HttpClient::new(reports, Some(address.ip()));
    let info =
        json!({"Service": text("service")?, "Version": "v1", "Zone": text("domain")?, "Slots": 8});
    thread::sleep(Duration::from_millis(options.first_report_ms));
    for sequence in 1u64.. {
        let status = json!({"State": "ready", "Sequence": sequence, "WarmupRemainingMs": 0});
        let body = json!({"Address": address.to_string(), "born": started_ms, "Info": info, "Status": status});
        let mut headers = Headers::default();
        headers.push("Host", "reports");
        let request = OutgoingRequest {
            method: "POST",
            target: format!("/Instances.Heartbeat/{id}"),
            headers,
            body: body.to_string().into_bytes(),
        };
        // The daemon may be down; the next report repeats the state.
        let _ = client.call(&request, REPORT_TIMEOUT);
        thread::sleep(REPORT_INTERVAL);
    }
    Ok(())
}

fn micros_now() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(now.unwrap_or_default().as_micros()).unwrap_or(0)
}

fn parse_address(text: &str) -> Result<SocketAddr, BenchError> {
    text.parse()
        .map_err(BenchError::with_context("invalid address"))
}

/// Returns the JSON body of a request; null if it is none.
fn parse_body(request: &HttpRequest) -> Value {
    serde_json::from_slice(&request.body).unwrap_or(Value::Null)
}

impl State {
    /// Records the fencing token of a call; repeated ones are kept once.
    fn record_token(&mut self, first: u64, last: u64, fencing_token: u64) {
        let is_same =
            |s: &SeenToken| (s.first, s.last, s.fencing_token) == (first, last, fencing_token);
        if !self.seen.iter().any(is_same) {
            self.seen.push(SeenToken {
                first,
                last,
                fencing_token,
            });
        }
    }
}

impl RangedUpstream {
    /// Accepts a grant that arrived at `arrived_at`, unless a higher fencing token was seen for some
    /// of its keys.
    fn grant(&self, body: &Value, arrived_at: Instant) -> HttpResponse {
        let number = |name: &str| body[name].as_u64().unwrap_or(0);
        let (first, last, fencing_token) = (number("From"), number("To"), number("fence"));
        let expires_at = arrived_at + Duration::from_millis(number("HoldMs"));
        let mut state = sync::lock(&self.state);
        let is_fenced =
            |s: &SeenToken| s.first <= last && first <= s.last && s.fencing_token > fencing_token;
        if state.seen.iter().any(is_fenced) {
            return HttpResponse::text(409, "a higher fence was seen");
        }
        // A late grant may expire before a renewal that was carried out before it.
        let is_replaced =
            |g: &Grant| g.first == first && g.last == last && g.expires_at <= expires_at;
        state.active.retain(|g| !is_replaced(g));
        state.active.push(Grant {
            first,
            last,
            fencing_token,
            expires_at,
        });
        state.record_token(first, last, fencing_token);
        let at_micros = micros_now();
        let remaining = expires_at.saturating_duration_since(Instant::now());
        let remaining_micros = u64::try_from(remaining.as_micros()).unwrap_or(0);
        let event = OwnershipEvent {
            at_micros,
            upstream: self.id.clone(),
            first,
            last,
            fencing_token,
            change: OwnershipChange::Granted {
                expires_at_micros: at_micros + remaining_micros,
            },
        };
        self.write_journal(&event.to_string());
        HttpResponse::text(200, "")
    }

    /// Accepts a grant `delay` after its arrival, unless its duration has passed by then, and closes
    /// the connection without a response.
    fn grant_late(
        &self,
        body: &Value,
        arrived_at: Instant,
        delay: Duration,
        recipient: &Recipient,
    ) -> HttpResponse {
        thread::sleep(delay.saturating_sub(arrived_at.elapsed()));
        let duration = Duration::from_millis(body["HoldMs"].as_u64().unwrap_or(0));
        if arrived_at.elapsed() < duration {
            self.grant(body, arrived_at);
        }
        while !recipient.has_disconnected() && arrived_at.elapsed() < UNANSWERED_TIME {
            thread::sleep(CLIENT_POLL_INTERVAL);
        }
        HttpResponse {
            close_without_response: true,
            ..HttpResponse::default()
        }
    }

    /// Handles a grant, which may be a late one.
    fn handle_grant(&self, request: &HttpRequest, recipient: &Recipient) -> HttpResponse {
        let body = parse_body(request);
        match self.late_grants.draw_delay() {
            Some(delay) => self.grant_late(&body, request.received_at, delay, recipient),
            None => self.grant(&body, request.received_at),
        }
    }

    /// Changes the fraction of the grants that are late.
    fn set_late_grants(&self, body: &Value) -> HttpResponse {
        match body.as_f64().filter(|s| (0.0..=1.0).contains(s)) {
            Some(share) => {
                self.late_grants.set_share(share);
                HttpResponse::text(200, "")
            }
            None => HttpResponse::text(400, "not from 0 to 1"),
        }
    }

    /// Releases the grants of a range of keys, and responds once no request is running.
    fn release(&self, body: &Value) -> HttpResponse {
        let number = |name: &str| body[name].as_u64().unwrap_or(0);
        let (first, last, fencing_token) = (number("From"), number("To"), number("fence"));
        let mut kept = Vec::new();
        let mut state = sync::lock(&self.state);
        for grant in std::mem::take(&mut state.active) {
            // What remains of the grant below and above the released range.
            let remainders = [
                (
                    grant.first,
                    grant.last.min(first.saturating_sub(1)),
                    grant.first < first,
                ),
                (grant.first.max(last + 1), grant.last, grant.last > last),
            ];
            for (from, to, is_left) in remainders {
                if is_left {
                    kept.push(Grant {
                        first: from,
                        last: to,
                        ..grant
                    });
                }
            }
        }
        state.active = kept;
        if self.fences_by_releases {
            state.record_token(first, last, fencing_token);
        }
        let event = OwnershipEvent {
            at_micros: micros_now(),
            upstream: self.id.clone(),
            first,
            last,
            fencing_token,
            change: OwnershipChange::Released,
        };
        self.write_journal(&event.to_string());
        drop(state);
        while sync::lock(&self.state).running > 0 {
            thread::sleep(Duration::from_millis(2));
        }
        let mut response = HttpResponse::text(200, "");
        response.headers.push("Handover", "warm");
        response
    }

    /// Records in the journal that a request runs, if its key is granted; returns whether it is.
    fn try_start(&self, key: Option<u64>, id: &str, head: &RequestHead) -> bool {
        let now = Instant::now();
        // The lock is held until the journal is written, so that no grant or release comes between
        // the check and the entry.
        let mut state = sync::lock(&self.state);
        let covers_key =
            |g: &&Grant| key.is_some_and(|k| g.first <= k && k <= g.last) && g.expires_at > now;
        let tokens = state
            .active
            .iter()
            .filter(covers_key)
            .map(|g| g.fencing_token);
        let fencing_token = tokens.max();
        if self.sharded && fencing_token.is_none() {
            return false;
        }
        state.running += 1;
        let run = HostRun {
            started_at_micros: micros_now(),
            id: id.to_owned(),
            method: head.method.clone(),
            target: head.target.clone(),
            key: key.filter(|_| self.sharded),
            fencing_token: fencing_token.unwrap_or(0),
            upstream: self.id.clone(),
        };
        self.write_journal(&run.to_string());
        true
    }

    fn run_request(&self, request: &HttpRequest, id: &str) -> HttpResponse {
        let head = &request.head;
        let expected = head.headers.get_str("Expected-Instance");
        let key = head
            .headers
            .get_str("Shard-Key")
            .and_then(|k| k.parse().ok());
        let mut response = if expected.is_some_and(|e| e != self.id)
            || !self.try_start(key, id, head)
        {
            let mut response = HttpResponse::text(421, "not here");
            response.headers.push("Not-Executed", "1");
            response
        } else {
            thread::sleep(self.service_time);
            sync::lock(&self.state).running -= 1;
            let mut response = HttpResponse::text(200, format!("{} {}", head.method, head.target));
            response.headers.push("Response-Signature", "s");
            response
        };
        for (name, received) in RECEIVED_HEADERS {
            if let Some(value) = head.headers.get(name) {
                response.headers.push(received, value);
            }
        }
        response.headers.push("Request-Id", id);
        response
    }

    fn write_journal(&self, line: &str) {
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
        match request.head.path() {
            "/grant" if self.sharded => self.handle_grant(&request, recipient),
            "/release" if self.sharded => self.release(&parse_body(&request)),
            "/grant" | "/release" => HttpResponse::text(400, "no keys"),
            LATE_GRANTS_PATH => self.set_late_grants(&parse_body(&request)),
            _ => {
                let id = request
                    .head
                    .headers
                    .get_str("Request-Id")
                    .unwrap_or("")
                    .to_owned();
                let response = self.run_request(&request, &id);
                if recipient.has_disconnected() {
                    self.write_journal(&format!("left {id}"));
                }
                response
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
