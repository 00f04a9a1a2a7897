//! A small stand-in for an upstream: announces itself, takes grants and orders, honours deadlines
//! and cancellation, starts cold, sheds, reports a lagging load, and keeps a journal.

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

/// How often the upstream announces itself.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(250);
/// How long a new connection may be queued.
const PATIENCE: Duration = Duration::from_millis(20);
/// How far the reported load lags.
const REPORT_LAG: Duration = Duration::from_secs(2);
/// How much longer an order takes on a cold upstream.
const COLD_FACTOR: u64 = 4;
/// A body with this text crashes the upstream.
pub const POISON: &str = "poison";

/// The settings of the stand-in.
struct Settings {
    upstream: Upstream,
    name: String,
    announce: Option<SocketAddr>,
    token: String,
    service_time: Duration,
    warmup_requests: u64,
}

#[derive(Default)]
struct State {
    running: u32,
    cold_left: u64,
    slow_factor: u64,
    in_orders: HashSet<String>,
    cancelled: HashSet<String>,
    tokens: HashMap<String, FencingToken>,
    draining: bool,
    cold_peak: u32,
    reported: (Option<Instant>, u32),
}

struct StandIn {
    settings: Settings,
    journal: Journal,
    state: Mutex<State>,
    changed: Condvar,
    shed: AtomicU64,
    crossed: AtomicBool,
}

/// Runs the stand-in until the process is killed.
///
/// # Errors
///
/// Returns an error where the arguments don't fit or the address can't be listened on.
///
/// # Panics
///
/// Panics where the default service's name is none.
pub fn run(args: &[String]) -> Result<(), BenchError> {
    let matches = args::parse(args, |o| {
        o.optopt("", "listen", "where to listen", "ADDRESS");
        o.optopt("", "service", "the service", "NAME");
        o.optopt("", "slots", "orders at once", "N");
        o.optopt("", "cold-slots", "orders at once when cold", "N");
        o.optopt("", "connections", "connections", "N");
        o.optflag("", "checks-grants", "check the token of each order");
        o.optopt("", "announce", "the daemon's administration API", "ADDRESS");
        o.optopt("", "token", "the daemon's token", "TOKEN");
        o.optopt(
            "",
            "service-us",
            "the time of an order, in microseconds",
            "N",
        );
        o.optopt("", "warm-after", "orders until warm", "N");
        o.optopt("", "journal", "the journal", "FILE");
    })?;
    let listen: SocketAddr = args::value(&matches, "listen", ([127, 0, 0, 1], 9000).into())?;
    let boot = UpstreamBoot(rand::random());
    let upstream = Upstream {
        service: args::value(&matches, "service", "order-desk".parse().expect("a name"))?,
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
            announce: announce.map_err(BenchError::with_context("--announce"))?,
            token: matches.opt_str("token").unwrap_or_default(),
            service_time: Duration::from_micros(args::value(&matches, "service-us", 2000)?),
            warmup_requests,
            upstream,
        },
        journal: Journal::open(&path).map_err(BenchError::with_context("journal"))?,
        state: Mutex::new(State {
            cold_left: warmup_requests,
            slow_factor: 1,
            ..State::default()
        }),
        changed: Condvar::new(),
        shed: AtomicU64::new(0),
        crossed: AtomicBool::new(false),
    });
    let listener = TcpListener::bind(listen).map_err(BenchError::with_context("upstream"))?;
    // One more thread than connections, so that health answers while all are busy.
    let workers = stand_in.settings.upstream.connections + 1;
    let handler = Arc::clone(&stand_in) as Arc<dyn HttpHandler>;
    let server = HttpServer::start("upstream", listener, workers, PATIENCE, &handler);
    let _server = server.map_err(BenchError::with_context("upstream"))?;
    stand_in.announce_forever();
    Ok(())
}

impl StandIn {
    fn announce_forever(&self) {
        let config = ureq::Agent::config_builder().timeout_global(Some(Duration::from_secs(1)));
        let agent = config.build().new_agent();
        loop {
            if let Some(admin) = self.settings.announce {
                let url = format!("http://{admin}/v1/upstream");
                let bearer = format!("Bearer {}", self.settings.token);
                let text = serde_json::to_string(&self.settings.upstream).unwrap_or_default();
                let _ = agent.put(url).header("authorization", bearer).send(text);
            }
            thread::sleep(ANNOUNCE_INTERVAL);
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
        let order = Order {
            name: header(UPSTREAM_REQUEST_ID_HEADER),
            deadline: header(DEADLINE_HEADER).parse().ok(),
            id: header(IDEMPOTENCY_HEADER),
            key: header(KEY_HEADER),
            slice: header(SLICE_HEADER),
            token: header(TOKEN_HEADER),
            changes: *request.method() != Method::Get,
        };
        let (status, answer, not_run) = match path.as_str() {
            "/foxtaildrift/health" => (200, "ok".to_owned(), false),
            "/foxtaildrift/load" => (200, self.lagging_load(), false),
            "/foxtaildrift/drain" => {
                sync::lock(&self.state).draining = true;
                (200, String::new(), false)
            }
            "/foxtaildrift/grant" => (self.grant(&order), String::new(), false),
            "/foxtaildrift/cancel" => (self.cancel(&order), String::new(), false),
            _ if path.starts_with("/stand-in/") => (200, self.control(&path, &text), false),
            _ => self.order(&order, &path, &text),
        };
        let mut response = Response::from_string(answer).with_status_code(status);
        let outcome = if not_run { "not-run" } else { "ran" };
        if let Ok(header) = Header::from_bytes(OUTCOME_HEADER, outcome) {
            response.add_header(header);
        }
        let _ = request.respond(response);
    }
}

impl StandIn {
    /// Works on an order; returns status, answer, and whether it was not run.
    fn order(&self, order: &Order, path: &str, body: &str) -> (u16, String, bool) {
        if body == POISON {
            std::process::abort();
        }
        let shed = || (503, "shed".to_owned(), true);
        {
            let mut state = sync::lock(&self.state);
            let limit = if state.cold_left > 0 {
                self.settings.upstream.cold_slots
            } else {
                self.settings.upstream.slots
            };
            let in_orders = u32::try_from(state.in_orders.len()).unwrap_or(u32::MAX) + 1;
            if state.cold_left > 0 {
                state.cold_peak = state.cold_peak.max(in_orders);
            }
            if in_orders > limit * 2 {
                self.shed.fetch_add(1, Ordering::SeqCst);
                return shed();
            }
            state.in_orders.insert(order.name.clone());
        }
        let result = self.work(order, path);
        sync::lock(&self.state).in_orders.remove(&order.name);
        result
    }

    fn work(&self, order: &Order, path: &str) -> (u16, String, bool) {
        let refused = |reason: &str| (409, reason.to_owned(), true);
        let slots = self.settings.upstream.slots;
        let state = sync::lock(&self.state);
        let waited = self.changed.wait_while(state, |s| s.running >= slots);
        let mut state = waited.unwrap_or_else(PoisonError::into_inner);
        state.running += 1;
        let cold = state.cold_left > 0;
        let factor = if cold {
            COLD_FACTOR * self.overload(&state)
        } else {
            1
        } * state.slow_factor;
        drop(state);
        thread::sleep(self.settings.service_time * u32::try_from(factor).unwrap_or(1));
        let mut state = sync::lock(&self.state);
        state.running -= 1;
        state.cold_left = state.cold_left.saturating_sub(1);
        self.changed.notify_one();
        if state.cancelled.remove(&order.name) {
            return refused("cancelled");
        }
        if order
            .deadline
            .is_some_and(|d| journal::micros_now() > d * 1000)
        {
            return refused("the deadline passed");
        }
        if self.settings.upstream.checks_grants && !order.fits(&state.tokens) {
            return refused("the token is too low");
        }
        let run = Run {
            at: journal::micros_now(),
            upstream: self.settings.name.clone(),
            service: self.settings.upstream.service.to_string(),
            id: order.id.clone(),
            key: order.key.clone(),
            slice: order.slice.clone(),
            token: order.token.clone(),
            changes: order.changes,
        };
        if self.journal.write(&run).is_err() {
            return refused("no journal");
        }
        drop(state);
        let key = if self.crossed.load(Ordering::SeqCst) {
            ""
        } else {
            &order.key
        };
        (
            200,
            format!("{} {key} {} {path}\n", self.settings.name, order.id),
            false,
        )
    }

    /// Returns how many times more orders a cold upstream has than it bears: it only gets slower.
    fn overload(&self, state: &State) -> u64 {
        let bears = self.settings.upstream.cold_slots.max(1);
        u64::from(state.running.div_ceil(bears)).max(1)
    }

    /// Takes a grant where its token is no lower than the present one.
    fn grant(&self, order: &Order) -> u16 {
        let Ok(token) = order.token.parse::<FencingToken>() else {
            return 400;
        };
        let mut state = sync::lock(&self.state);
        let highest = state.tokens.entry(order.slice.clone()).or_insert(token);
        if token < *highest {
            return 409;
        }
        *highest = token;
        200
    }

    /// Cancels an order that has not taken effect; 200 says that it never will.
    fn cancel(&self, order: &Order) -> u16 {
        let mut state = sync::lock(&self.state);
        if state.in_orders.contains(&order.name) {
            state.cancelled.insert(order.name.clone());
            return 200;
        }
        404
    }

    /// Returns the load as it was some time ago.
    fn lagging_load(&self) -> String {
        let mut state = sync::lock(&self.state);
        let stale = state.reported.0.is_none_or(|at| at.elapsed() > REPORT_LAG);
        if stale {
            state.reported = (Some(Instant::now()), state.running);
        }
        state.reported.1.to_string()
    }

    /// Switches faults, and tells counts.
    fn control(&self, path: &str, text: &str) -> String {
        let number = text.parse().unwrap_or(1);
        let mut state = sync::lock(&self.state);
        match path {
            "/stand-in/slow" => state.slow_factor = number,
            "/stand-in/cold" => {
                state.cold_left = self.settings.warmup_requests.max(number);
                state.cold_peak = 0;
            }
            _ => {}
        }
        format!("{} {}", state.cold_peak, self.shed.load(Ordering::SeqCst))
    }
}

/// What the headers of an order say.
struct Order {
    name: String,
    deadline: Option<u64>,
    id: String,
    key: String,
    slice: String,
    token: String,
    changes: bool,
}

impl Order {
    /// Returns whether the order's token is the granted one of its slice.
    fn fits(&self, tokens: &HashMap<String, FencingToken>) -> bool {
        if self.slice.is_empty() {
            return true;
        }
        let granted = tokens.get(&self.slice);
        self.token
            .parse::<FencingToken>()
            .is_ok_and(|t| granted.is_some_and(|&g| t >= g))
    }
}
