//! Requests whose conditions change between their admission and the write to the upstream, and requests
//! that come late in a stop.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use foxtaildrift::connection::http1::ResponseHead;
use foxtaildrift::connection::protocol::{
    Grant, KeyRange, OutgoingRequest, ResponseMetadata, UpstreamProtocol,
};
use foxtaildrift::connection::recipient::Recipient;
use foxtaildrift::process::clock::{Clock, SystemClock};
use foxtaildrift::process::host::local_upstream::UpstreamLoss;
use foxtaildrift::process::host::stop_gate::StopGate;
use foxtaildrift::process::moment::Moment;
use foxtaildrift::process::wall_time::WallTime;
use foxtaildrift::request::body::Body;
use foxtaildrift::request::headers::Headers;
use foxtaildrift::request::request_kind::RequestKind;
use foxtaildrift::request::shard_key::ShardKey;
use foxtaildrift::request::upstream_outcome::{NotRunCause, UpstreamOutcome};
use foxtaildrift::request::upstream_request::UpstreamRequest;
use foxtaildrift::version::document_version::DocumentVersion;
use foxtaildrift::version::routing_config::RoutingConfig;

use crate::host::grants::daemon::{Daemon, OTHER, OWN, SERVICE, table};
use crate::host::grants::upstream::{Answer, Call, ScriptedProtocol, ScriptedUpstream};

/// The grace period of a stop.
const GRACE: Duration = Duration::from_secs(6);
/// How long after the start of a stop only requests are taken that end before it does.
const LATE_IN_STOP: Duration = Duration::from_secs(3);
/// The number of requests that the upstream runs at once.
const SLOTS: usize = 9;
/// How often a test looks at the load of the upstream.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How long the process stands still; longer than a lease, a drain timeout and [`SHORT_TIME`].
const PAUSE: Duration = Duration::from_secs(4);
/// The time left for a request that can still run after the pause.
const LONG_TIME: Duration = Duration::from_secs(10);
/// The time left for a request whose deadline passes during the pause.
const SHORT_TIME: Duration = Duration::from_secs(1);

/// A clock that can be set forward.
#[derive(Default)]
struct SettableClock {
    ahead_ms: AtomicU64,
}

impl SettableClock {
    fn advance(&self, span: Duration) {
        let ms = u64::try_from(span.as_millis()).unwrap();
        self.ahead_ms.fetch_add(ms, Ordering::SeqCst);
    }
}

impl Clock for SettableClock {
    fn now(&self) -> Moment {
        let ahead = Duration::from_millis(self.ahead_ms.load(Ordering::SeqCst));
        SystemClock.now() + ahead
    }

    fn wall_time(&self) -> WallTime {
        SystemClock.wall_time()
    }
}

/// What happens while a request is on its way to the upstream.
type Interruption = Box<dyn FnOnce() + Send>;

/// The protocol of [`ScriptedUpstream`]; runs an interruption when the next request has its connection
/// and is encoded.
#[derive(Default)]
struct InterruptedProtocol {
    interruption: Mutex<Option<Interruption>>,
}

impl InterruptedProtocol {
    fn interrupt_next(&self, interruption: impl FnOnce() + Send + 'static) {
        *self.interruption.lock().unwrap() = Some(Box::new(interruption));
    }
}

impl UpstreamProtocol for InterruptedProtocol {
    fn request_headers(&self, req: &UpstreamRequest, instance: &str, left: Duration) -> Headers {
        if let Some(interruption) = self.interruption.lock().unwrap().take() {
            interruption();
        }
        ScriptedProtocol.request_headers(req, instance, left)
    }

    fn parse_head(&self, head: &ResponseHead) -> ResponseMetadata {
        ScriptedProtocol.parse_head(head)
    }

    fn ping_request(&self, id: &str) -> OutgoingRequest {
        ScriptedProtocol.ping_request(id)
    }

    fn grant_request(&self, grant: &Grant) -> OutgoingRequest {
        ScriptedProtocol.grant_request(grant)
    }

    fn release_request(&self, keys: KeyRange, fencing_token: u64) -> OutgoingRequest {
        ScriptedProtocol.release_request(keys, fencing_token)
    }
}

/// A daemon whose upstream has all keys.
struct Cell {
    clock: Arc<SettableClock>,
    protocol: Arc<InterruptedProtocol>,
    upstream: ScriptedUpstream,
    daemon: Daemon,
}

impl Cell {
    fn start() -> Self {
        Self::start_with(|_| Answer::After(Duration::ZERO))
    }

    /// Starts a daemon whose upstream answers as `script` says.
    fn start_with(script: impl Fn(&Call) -> Answer + Send + Sync + 'static) -> Self {
        let clock = Arc::new(SettableClock::default());
        let protocol = Arc::new(InterruptedProtocol::default());
        let upstream = ScriptedUpstream::start(script);
        let daemon = Daemon::start_with(
            &upstream,
            table(1, &[OWN, OTHER]),
            Arc::clone(&clock) as Arc<dyn Clock>,
            Arc::clone(&protocol) as Arc<dyn UpstreamProtocol>,
        );
        daemon.manager.reconcile();
        assert_eq!(upstream.calls("grant").len(), 1);
        Self {
            clock,
            protocol,
            upstream,
            daemon,
        }
    }

    /// Sends a request during which the process stands still.
    fn send_across_a_pause(&self, req: &UpstreamRequest) -> UpstreamOutcome {
        let clock = Arc::clone(&self.clock);
        self.protocol.interrupt_next(move || clock.advance(PAUSE));
        self.send(req)
    }

    fn send(&self, req: &UpstreamRequest) -> UpstreamOutcome {
        self.daemon.dispatcher.dispatch(req, &Recipient::none()).0
    }

    fn assert_not_sent(&self, outcome: &UpstreamOutcome, expected: NotRunCause) {
        let sent = self.upstream.calls("request");
        assert!(sent.is_empty(), "{outcome:?}: {sent:?}");
        assert_not_run(outcome, expected);
    }
}

fn assert_not_run(outcome: &UpstreamOutcome, expected: NotRunCause) {
    let is_expected =
        matches!(outcome, UpstreamOutcome::NotRun { cause, .. } if *cause == expected);
    assert!(is_expected, "{outcome:?} in place of {expected}");
}

fn request(key: Option<u16>, remaining: Duration) -> UpstreamRequest {
    UpstreamRequest {
        id: "a".to_owned(),
        service: SERVICE.parse().unwrap(),
        origin: SERVICE.parse().unwrap(),
        method: "GET".to_owned(),
        target: "/request/0/0/0".to_owned(),
        headers: Headers::default(),
        team: None,
        key: key.map(ShardKey),
        repeatable: true,
        kind: RequestKind::default(),
        priority: 1,
        remaining,
        objective: remaining,
        attempt: 1,
        body: Body::default(),
    }
}

/// Shows that what the other tests find missing at the upstream would have arrived there.
#[test]
fn a_request_without_a_pause_is_sent() {
    for key in [Some(7), None] {
        let cell = Cell::start();
        cell.send(&request(key, SHORT_TIME));
        assert_eq!(cell.upstream.calls("request").len(), 1);
    }
}

/// Guards against a daemon that stood still while a request got its connection, and sent it on waking
/// for a key that it no longer owned (OWNER).
#[test]
fn a_request_is_not_sent_once_its_key_is_no_longer_granted() {
    let cell = Cell::start();
    let outcome = cell.send_across_a_pause(&request(Some(7), LONG_TIME));
    cell.assert_not_sent(&outcome, NotRunCause::NotOwner);
}

/// Guards against a request that reaches a leaving upstream after its drain timeout, because it
/// waited for its connection meanwhile (DRAIN).
#[test]
fn a_request_is_not_sent_after_the_drain_timeout_of_its_upstream() {
    let cell = Cell::start();
    cell.daemon.dispatcher.mark_upstream_leaving("i-1", Some(1));
    let outcome = cell.send_across_a_pause(&request(None, LONG_TIME));
    cell.assert_not_sent(&outcome, NotRunCause::Draining);
}

/// Guards against a request that is sent after its deadline on a clock that stands still with the
/// machine (BUDGET).
#[test]
fn a_request_is_not_sent_after_its_deadline() {
    let cell = Cell::start();
    let outcome = cell.send_across_a_pause(&request(None, SHORT_TIME));
    cell.assert_not_sent(&outcome, NotRunCause::TimedOut);
}

/// Guards against a request that reaches an evacuated failure domain, because it waited for its
/// connection while the configuration changed (EVAC).
#[test]
fn a_request_is_not_sent_into_a_domain_evacuated_meanwhile() {
    let cell = Cell::start();
    let membership = Arc::clone(&cell.daemon.membership);
    cell.protocol.interrupt_next(move || {
        let config = RoutingConfig {
            version: DocumentVersion::from(1_u64),
            evacuated: ["zarzis".parse().unwrap()].into(),
            ..RoutingConfig::default()
        };
        assert!(membership.adopt_routing_config(config));
    });
    let outcome = cell.send(&request(None, LONG_TIME));
    cell.assert_not_sent(&outcome, NotRunCause::Evacuated);
}

/// Guards against a request that is sent to whatever listens at the address after its upstream was
/// found to be gone.
#[test]
fn a_request_is_not_sent_once_its_upstream_is_gone() {
    let cell = Cell::start();
    let dispatcher = Arc::clone(&cell.daemon.dispatcher);
    cell.protocol
        .interrupt_next(move || dispatcher.handle_upstream_loss(UpstreamLoss::GrantsNotAnswered));
    let outcome = cell.send(&request(None, LONG_TIME));
    cell.assert_not_sent(&outcome, NotRunCause::Down);
}

/// Guards against a request of another daemon that is taken late in a stop and cut off at its end: only
/// callers' requests were refused then.
#[test]
fn a_request_of_another_daemon_is_not_taken_if_it_may_outlast_the_stop() {
    let cell = Cell::start();
    let now = cell.clock.now();
    cell.daemon.stop_gate.start_stop(now, GRACE);
    cell.clock.advance(LATE_IN_STOP);
    let outcome = cell.send(&request(None, LONG_TIME));
    cell.assert_not_sent(&outcome, NotRunCause::Stopping);
    cell.send(&request(None, SHORT_TIME));
    assert_eq!(cell.upstream.calls("request").len(), 1);
}

/// Fills an upstream that answers no request with [`SLOTS`] requests of `running`, lets another one wait
/// for its turn, and then runs `stop`. Returns the outcomes of the running ones and of the waiting one.
fn outcomes_of_stop(
    waiting: &Recipient,
    running: &[Recipient],
    stop: impl FnOnce(&StopGate),
) -> (Vec<UpstreamOutcome>, UpstreamOutcome) {
    let cell = Cell::start_with(|call| match call.name.as_str() {
        "request" => Answer::Never,
        _ => Answer::After(Duration::ZERO),
    });
    let dispatcher = &*cell.daemon.dispatcher;
    let send = |time, recipient| dispatcher.dispatch(&request(None, time), recipient).0;
    let outcomes = thread::scope(|scope| {
        let running: Vec<_> = running
            .iter()
            .map(|recipient| scope.spawn(move || send(SHORT_TIME * 3, recipient)))
            .collect();
        while cell.upstream.calls("request").len() < SLOTS {
            thread::sleep(POLL_INTERVAL);
        }
        let waiting = scope.spawn(|| send(SHORT_TIME * 2, waiting));
        while dispatcher.load().waiting == 0 {
            thread::sleep(POLL_INTERVAL);
        }
        stop(&cell.daemon.stop_gate);
        let waited = waiting.join().unwrap();
        let ran = running.into_iter().map(|r| r.join().unwrap());
        (ran.collect(), waited)
    });
    assert_eq!(cell.upstream.calls("request").len(), SLOTS);
    outcomes
}

/// Asserts that a request was at the upstream until its time ran out.
fn assert_went_on(outcome: &UpstreamOutcome) {
    let went_on = matches!(
        outcome,
        UpstreamOutcome::Unknown {
            timed_out: true,
            ..
        }
    );
    assert!(went_on, "{outcome:?}");
}

/// Guards against a request that waits for its turn beside a busy upstream when a stop ends, and whose
/// caller gets no answer although nothing ran (LOST).
#[test]
fn a_request_that_waits_for_its_turn_is_refused_when_a_stop_ends() {
    let running = vec![Recipient::none(); SLOTS];
    let (ran, waited) = outcomes_of_stop(&Recipient::none(), &running, StopGate::close);
    assert_not_run(&waited, NotRunCause::Stopping);
    ran.iter().for_each(assert_went_on);
}

/// Guards against a request that waits beside a busy upstream while the daemon that took it stops, and
/// whose caller gets no answer although nothing ran (LOST).
#[test]
fn a_request_whose_daemon_stops_is_refused_only_if_it_waits() {
    let waiting = Recipient::connected();
    let running: Vec<_> = (0..SLOTS).map(|_| Recipient::connected()).collect();
    let (ran, waited) = outcomes_of_stop(&waiting, &running, |_| {
        waiting.withdraw();
        running.iter().for_each(Recipient::withdraw);
    });
    assert_not_run(&waited, NotRunCause::Stopping);
    ran.iter().for_each(assert_went_on);
}
