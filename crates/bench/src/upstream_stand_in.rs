//! A stand-in for an upstream: it registers with the daemon of its host, accepts grants and
//! requests, observes deadlines and cancellations, starts cold, sheds load, reports its load with a
//! lag, and records the requests that it runs in a journal. Faults can be set under `/stand-in/`.

use std::collections::{HashMap, HashSet};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use foxtaildrift::connection::http_server::{HttpHandler, HttpServer};
use foxtaildrift::connection::upstream_client::{
    DEADLINE_HEADER, IDEMPOTENCY_HEADER, KEY_HEADER, OUTCOME_HEADER, SLICE_HEADER, TOKEN_HEADER,
    UPSTREAM_REQUEST_ID_HEADER,
};
use foxtaildrift::process::sync;
use foxtaildrift::version::fencing_token::FencingToken;
use foxtaildrift::version::upstream::{Upstream, UpstreamBoot};
use tiny_http::{Header, Method, Request, Response};

use crate::args::{self, BenchError};
use crate::journal::{self, Journal, Run};

/// How often the upstream registers with the daemon.
const REGISTER_INTERVAL: Duration = Duration::from_millis(250);
/// How long a new connection may wait for a free thread.
const QUEUE_TIMEOUT: Duration = Duration::from_millis(20);
/// How long a measured load is reported until it is measured again.
const REPORT_LAG: Duration = Duration::from_secs(2);
/// The factor by which a request takes longer on a cold upstream.
const COLD_FACTOR: u64 = 4;
/// A request with this body crashes the upstream.
pub const POISON: &str = "poison";

/// The configuration from the command line.
struct Settings {
    upstream: Upstream,
    /// The upstream's address, by which responses and the journal name it.
    name: String,
    /// The administration API of the daemon with which the upstream registers.
    daemon_admin: Option<SocketAddr>,
    token: String,
    service_time: Duration,
    warmup_requests: u64,
}

#[derive(Default)]
struct State {
    /// The number of requests that occupy a slot.
    running: u32,
    /// The number of requests until the upstream is warm.
    cold_remaining: u64,
    /// The factor by which requests take longer, as a fault.
    slow_factor: u64,
    /// The ids of the requests that wait for a slot or run.
    in_flight: HashSet<String>,
    /// The ids of the requests in flight that were cancelled.
    cancelled: HashSet<String>,
    /// The highest granted fencing token of each slice.
    tokens: HashMap<String, FencingToken>,
    draining: bool,
    /// The largest number of requests in flight while the upstream was cold.
    cold_peak: u32,
    /// When the reported load was measured, and its value.
    reported: (Option<Instant>, u32),
}

struct StandIn {
    settings: Settings,
    journal: Journal,
    state: Mutex<State>,
    changed: Condvar,
    /// The number of requests that were refused because too many were in flight.
    shed: AtomicU64,
    /// Whether responses contain an empty key in place of the request's key.
    omits_keys: AtomicBool,
}

/// Runs the stand-in until the process is killed.
///
/// # Errors
///
/// Returns an error if the arguments are invalid or the address can't be listened on.
///
/// # Panics
///
/// Panics if the name of the default service is invalid.
pub fn run(args: &[String]) -> Result<(), BenchError> {
    let matches = args::parse(args, |o| {
        o.optopt("", "listen", "the address to listen on", "ADDRESS");
        o.optopt("", "service", "the service", "NAME");
        o.optopt("", "slots", "requests that run at once", "N");
        o.optopt("", "cold-slots", "requests that run at once when cold", "N");
        o.optopt("", "connections", "connections at once", "N");
        o.optflag(
            "",
            "checks-grants",
            "check the fencing token of each request",
        );
        o.optopt("", "announce", "the daemon's administration API", "ADDRESS");
        o.optopt("", "token", "the daemon's token", "TOKEN");
        o.optopt(
            "",
            "service-us",
            "how long a request takes, in microseconds",
            "N",
        );
        o.optopt("", "warm-after", "requests until the upstream is warm", "N");
        o.optopt("", "journal", "the journal file", "FILE");
    })?;
    let listen: SocketAddr = args::value(&matches, "listen", ([127, 0, 0, 1], 9000).into())?;
    let boot = UpstreamBoot(rand::random());
    let upstream = Upstream {
        service: args::value(
            &matches,
            "service",
            "order-desk".parse().expect("the name is valid"),
        )?,
        address: listen,
        boot,
        slots: args::value(&matches, "slots", 9)?,
        cold_slots: args::value(&matches, "cold-slots", 3)?,
        connections: args::value(&matches, "connections", 110)?,
        checks_grants: matches.opt_present("checks-grants"),
    };
    let announce = matches.opt_str("announce");
    let announce = announce.map(|a| a.parse()).transpose();
    let path = PathBuf::from(
        matches
            .opt_str("journal")
            .unwrap_or_else(|| "up.journal".into()),
    );
    let warmup_requests = args::value(&matches, "warm-after", 0)?;
    let stand_in = Arc::new(StandIn {
        settings: Settings {
            name: listen.to_string(),
            daemon_admin: announce.map_err(BenchError::with_context("--announce"))?,
            token: matches.opt_str("token").unwrap_or_default(),
            service_time: Duration::from_micros(args::value(&matches, "service-us", 2000)?),
            warmup_requests,
            upstream,
        },
        journal: Journal::open(&path)
            .map_err(BenchError::with_context("can't open the journal"))?,
        state: Mutex::new(State {
            cold_remaining: warmup_requests,
            slow_factor: 1,
            ..State::default()
        }),
        changed: Condvar::new(),
        shed: AtomicU64::new(0),
        omits_keys: AtomicBool::new(false),
    });
    let listener = TcpListener::bind(listen).map_err(BenchError::with_context(
        "can't start the upstream's stand-in",
    ))?;
    // One more thread than connections, so that health checks are served while all are busy.
    let workers = stand_in.settings.upstream.connections + 1;
    let handler = Arc::clone(&stand_in) as Arc<dyn HttpHandler>;
    let server = HttpServer::start("upstream", listener, workers, QUEUE_TIMEOUT, &handler);
    let _server = server.map_err(BenchError::with_context(
        "can't start the upstream's stand-in",
    ))?;
    stand_in.register_forever();
    Ok(())
}

impl StandIn {
    fn register_forever(&self) {
        let config = ureq::Agent::config_builder().timeout_global(Some(Duration::from_secs(1)));
        let agent = config.build().new_agent();
        loop {
            if let Some(admin) = self.settings.daemon_admin {
                let url = format!("http://{admin}/v1/upstream");
                let bearer = format!("Bearer {}", self.settings.token);
                let text = serde_json::to_string(&self.settings.upstream).unwrap_or_default();
                let _ = agent.put(url).header("authorization", bearer).send(text);
            }
            thread::sleep(REGISTER_INTERVAL);
        }
    }
}

impl HttpHandler for StandIn {
    fn serve(&self, mut request: Request) {
        let mut body = Vec::new();
        if request.as_reader().read_to_end(&mut body).is_err() {
            return;
        }
        let path = request.url().to_owned();
        let header = |name: &'static str| {
            let found = request.headers().iter().find(|h| h.field.equiv(name));
            found
                .map(|h| h.value.as_str().to_owned())
                .unwrap_or_default()
        };
        let text = String::from_utf8_lossy(&body).trim().to_owned();
        let headers = RequestHeaders {
            request_id: header(UPSTREAM_REQUEST_ID_HEADER),
            deadline: header(DEADLINE_HEADER).parse().ok(),
            idempotency_key: header(IDEMPOTENCY_HEADER),
            key: header(KEY_HEADER),
            slice: header(SLICE_HEADER),
            token: header(TOKEN_HEADER),
            changes: *request.method() != Method::Get,
        };
        let (status, body, not_run) = match path.as_str() {
            "/foxtaildrift/health" => (200, "ok".to_owned(), false),
            "/foxtaildrift/load" => (200, self.lagging_load(), false),
            "/foxtaildrift/drain" => {
                sync::lock(&self.state).draining = true;
                (200, String::new(), false)
            }
            "/foxtaildrift/grant" => (self.grant(&headers), String::new(), false),
            "/foxtaildrift/cancel" => (self.cancel(&headers), String::new(), false),
            _ if path.starts_with("/stand-in/") => (200, self.control(&path, &text), false),
            _ => self.handle_request(&headers, &path, &text),
        };
        let mut response = Response::from_string(body).with_status_code(status);
        let outcome = if not_run { "not-run" } else { "ran" };
        if let Ok(header) = Header::from_bytes(OUTCOME_HEADER, outcome) {
            response.add_header(header);
        }
        let _ = request.respond(response);
    }
}

impl StandIn {
    /// Sheds or runs a request; returns the status, the body, and whether the request did not run.
    fn handle_request(
        &self,
        headers: &RequestHeaders,
        path: &str,
        body: &str,
    ) -> (u16, String, bool) {
        if body == POISON {
            std::process::abort();
        }
        let shed = || (503, "shed".to_owned(), true);
        {
            let mut state = sync::lock(&self.state);
            let limit = if state.cold_remaining > 0 {
                self.settings.upstream.cold_slots
            } else {
                self.settings.upstream.slots
            };
            let in_flight = u32::try_from(state.in_flight.len()).unwrap_or(u32::MAX) + 1;
            if state.cold_remaining > 0 {
                state.cold_peak = state.cold_peak.max(in_flight);
            }
            if in_flight > limit * 2 {
                self.shed.fetch_add(1, Ordering::SeqCst);
                return shed();
            }
            state.in_flight.insert(headers.request_id.clone());
        }
        let result = self.run_request(headers, path);
        sync::lock(&self.state)
            .in_flight
            .remove(&headers.request_id);
        result
    }

    /// Runs a request when a slot is free.
    fn run_request(&self, headers: &RequestHeaders, path: &str) -> (u16, String, bool) {
        let refused = |reason: &str| (409, reason.to_owned(), true);
        let slots = self.settings.upstream.slots;
        let state = sync::lock(&self.state);
        let waited = self.changed.wait_while(state, |s| s.running >= slots);
        let mut state = waited.unwrap_or_else(PoisonError::into_inner);
        state.running += 1;
        let cold = state.cold_remaining > 0;
        let factor = if cold {
            COLD_FACTOR * self.overload(&state)
        } else {
            1
        } * state.slow_factor;
        drop(state);
        thread::sleep(self.settings.service_time * u32::try_from(factor).unwrap_or(1));
        let mut state = sync::lock(&self.state);
        state.running -= 1;
        state.cold_remaining = state.cold_remaining.saturating_sub(1);
        self.changed.notify_one();
        if state.cancelled.remove(&headers.request_id) {
            return refused("cancelled");
        }
        if headers
            .deadline
            .is_some_and(|millis| journal::micros_now() > millis * 1000)
        {
            return refused("the deadline passed");
        }
        if self.settings.upstream.checks_grants && !headers.has_granted_token(&state.tokens) {
            return refused("the token is too low");
        }
        let run = Run {
            at: journal::micros_now(),
            upstream: self.settings.name.clone(),
            service: self.settings.upstream.service.to_string(),
            id: headers.idempotency_key.clone(),
            key: headers.key.clone(),
            slice: headers.slice.clone(),
            token: headers.token.clone(),
            changes: headers.changes,
        };
        if self.journal.write(&run).is_err() {
            return refused("no journal");
        }
        drop(state);
        let key = if self.omits_keys.load(Ordering::SeqCst) {
            ""
        } else {
            &headers.key
        };
        (
            200,
            format!(
                "{} {key} {} {path}\n",
                self.settings.name, headers.idempotency_key
            ),
            false,
        )
    }

    /// Returns the factor by which a cold upstream slows down further when more requests run than
    /// it has cold slots.
    fn overload(&self, state: &State) -> u64 {
        let cold_slots = self.settings.upstream.cold_slots.max(1);
        u64::from(state.running.div_ceil(cold_slots)).max(1)
    }

    /// Accepts a grant unless its fencing token is lower than the highest one of the slice.
    fn grant(&self, headers: &RequestHeaders) -> u16 {
        let Ok(token) = headers.token.parse::<FencingToken>() else {
            return 400;
        };
        let mut state = sync::lock(&self.state);
        let highest = state.tokens.entry(headers.slice.clone()).or_insert(token);
        if token < *highest {
            return 409;
        }
        *highest = token;
        200
    }

    /// Cancels a request that has not taken effect yet; status 200 says that it never will.
    fn cancel(&self, headers: &RequestHeaders) -> u16 {
        let mut state = sync::lock(&self.state);
        if state.in_flight.contains(&headers.request_id) {
            state.cancelled.insert(headers.request_id.clone());
            return 200;
        }
        404
    }

    /// Returns the number of running requests, measured at most [`REPORT_LAG`] ago.
    fn lagging_load(&self) -> String {
        let mut state = sync::lock(&self.state);
        let stale = state.reported.0.is_none_or(|at| at.elapsed() > REPORT_LAG);
        if stale {
            state.reported = (Some(Instant::now()), state.running);
        }
        state.reported.1.to_string()
    }

    /// Sets a fault; returns the peak of requests in flight when cold, and the number of shed
    /// requests.
    fn control(&self, path: &str, text: &str) -> String {
        let number = text.parse().unwrap_or(1);
        let mut state = sync::lock(&self.state);
        match path {
            "/stand-in/slow" => state.slow_factor = number,
            "/stand-in/cold" => {
                state.cold_remaining = self.settings.warmup_requests.max(number);
                state.cold_peak = 0;
            }
            _ => {}
        }
        format!("{} {}", state.cold_peak, self.shed.load(Ordering::SeqCst))
    }
}

/// The headers and the method of an upstream request.
struct RequestHeaders {
    request_id: String,
    /// In milliseconds since 1970.
    deadline: Option<u64>,
    idempotency_key: String,
    key: String,
    slice: String,
    token: String,
    /// Whether the request changes state: its method is not GET.
    changes: bool,
}

impl RequestHeaders {
    /// Returns whether the request has no slice, or a fencing token that is at least the highest
    /// one granted for its slice.
    fn has_granted_token(&self, tokens: &HashMap<String, FencingToken>) -> bool {
        if self.slice.is_empty() {
            return true;
        }
        let granted = tokens.get(&self.slice);
        self.token
            .parse::<FencingToken>()
            .is_ok_and(|t| granted.is_some_and(|&g| t >= g))
    }
}
