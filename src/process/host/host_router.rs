//! Routes callers' requests to upstreams, and turns the outcomes into responses.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::Duration;

use crate::connection::buffered_connection::ConnectionError;
use crate::connection::http_listener::{
    HttpRequest, HttpResponse, ListenerHandler, ListenerLimits,
};
use crate::connection::http1::RequestHead;
use crate::connection::peer_error::PeerError;
use crate::connection::peer_message::{PeerReply, PeerRequest};
use crate::connection::peer_pool::{PeerCallReply, PeerPool};
use crate::connection::protocol::CallerProtocol;
use crate::connection::recipient::Recipient;
use crate::process::clock::Clock;
use crate::process::host::host_dispatcher::HostDispatcher;
use crate::process::host::request_progress::{OWNER_RETRY_AFTER, RequestProgress, RequestTrace};
use crate::process::host::retry_budget_share::{RetryBudgetConfig, RetryBudgetShare};
use crate::process::host::stop_schedule::StopSchedule;
use crate::process::host::upstream_selector::{AttemptOutcome, UpstreamSelector};
use crate::process::membership::Membership;
use crate::process::metrics::Metrics;
use crate::process::moment::Moment;
use crate::process::stop_flag::StopFlag;
use crate::process::sync;
use crate::request::body::Body;
use crate::request::outcome::Outcome;
use crate::request::upstream_load::UpstreamLoad;
use crate::request::upstream_outcome::{NotRunCause, UpstreamOutcome};
use crate::request::upstream_request::UpstreamRequest;
use crate::version::domain_name::DomainName;
use crate::version::instance_id::InstanceId;
use crate::version::key_hash::KeyHash;
use crate::version::member::Member;
use crate::version::routing_config::{RouteRule, RouteTarget, RoutingConfig};
use crate::version::service_name::ServiceName;

/// Timeout of a request whose caller sets none.
const CALLER_TIMEOUT_DEFAULT: Duration = Duration::from_secs(10);
/// Longest timeout that a caller may set.
const CALLER_TIMEOUT_MAX: Duration = Duration::from_secs(600);
/// Longest time for receiving the body of a request, whatever the caller's timeout.
const BODY_TIMEOUT_MAX: Duration = Duration::from_secs(30);
/// Retry delay returned while the routing is unknown.
const ROUTING_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Retry delay returned while too many requests are in progress on this host.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Retry delay returned while this process stops: other daemons can serve the request at once.
const STOPPING_RETRY_AFTER: Duration = Duration::ZERO;
/// Timeout of the question whether another daemon has room for a large body.
const RESERVATION_TIMEOUT: Duration = Duration::from_millis(400);
/// How much longer than the request's time left this daemon waits for another daemon, which reports
/// a timeout when the request's time runs out there.
const OUTCOME_GRACE: Duration = Duration::from_millis(60);

/// Dependencies of a [`HostRouter`].
pub struct HostRouterDeps {
    /// Clock of the host.
    pub clock: Arc<dyn Clock>,
    /// Membership of this daemon.
    pub membership: Arc<Membership>,
    /// Dispatcher to the local upstream.
    pub dispatcher: Arc<HostDispatcher>,
    /// Connections to other daemons.
    pub peers: Arc<PeerPool>,
    /// Protocol of the callers.
    pub protocol: Arc<dyn CallerProtocol>,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
    /// Instance id of this daemon.
    pub instance: InstanceId,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Service of the local upstream, reported as the origin of requests.
    pub origin: ServiceName,
    /// Retry budget that all daemons share.
    pub retry_budget: RetryBudgetConfig,
    /// Set when the process starts to stop.
    pub stop: Arc<StopFlag>,
    /// The times of the stop, once it has started.
    pub stop_schedule: Arc<OnceLock<StopSchedule>>,
}

/// Router of the callers' requests on one host.
pub struct HostRouter {
    deps: HostRouterDeps,
    selector: UpstreamSelector,
    retry_budgets: Mutex<HashMap<ServiceName, RetryBudgetShare>>,
    /// Credits of each route's targets, by route name, for smooth weighted round-robin.
    target_credits: Mutex<HashMap<String, Vec<i64>>>,
}

impl HostRouter {
    /// Creates a router without observations of upstreams.
    pub fn new(deps: HostRouterDeps) -> Self {
        Self {
            deps,
            selector: UpstreamSelector::default(),
            retry_budgets: Mutex::default(),
            target_credits: Mutex::default(),
        }
    }

    /// Drops the observations of daemons that are no longer members.
    pub fn forget_former_members(&self) {
        let table = self.deps.membership.table();
        self.selector.retain(|i| table.member_of(i).is_some());
    }

    /// Routes a request and returns its outcome.
    fn route(
        &self,
        routing: &RoutingConfig,
        rule: &RouteRule,
        request: &mut UpstreamRequest,
        recipient: &Recipient,
    ) -> (UpstreamOutcome, RequestTrace) {
        let now = self.deps.clock.now();
        self.with_retry_budget(&request.service, |share, config| {
            share.record_request(now, config)
        });
        let mut progress = RequestProgress::new(now, request, rule.attempts);
        if self.stops_before(now + request.remaining) {
            let refusal = UpstreamOutcome::not_run(NotRunCause::Stopping, STOPPING_RETRY_AFTER);
            return (refusal, progress.trace);
        }
        let settings = routing.services.get(&request.service);
        let is_sharded = settings.is_some_and(|s| s.sharded);
        let outcome = match (is_sharded, request.key) {
            (true, Some(_)) => self.route_by_key(request, &mut progress, recipient),
            (true, None) => UpstreamOutcome::not_run(NotRunCause::NoOwner, OWNER_RETRY_AFTER),
            (false, _) => {
                request.key = None;
                self.route_shared(request, &mut progress, recipient)
            }
        };
        (
            account_for_earlier_attempts(outcome, progress.may_have_run),
            progress.trace,
        )
    }

    /// Returns whether this process stops so soon that a request with the given deadline must not be
    /// taken any more.
    fn stops_before(&self, deadline: Moment) -> bool {
        let now = self.deps.clock.now();
        let schedule = self.deps.stop_schedule.get();
        schedule.is_some_and(|s| !s.admits(now, deadline.since(now)))
    }

    /// Sends a request to the owner of its key, and retries until the request's deadlines pass.
    fn route_by_key(
        &self,
        request: &mut UpstreamRequest,
        progress: &mut RequestProgress,
        recipient: &Recipient,
    ) -> UpstreamOutcome {
        loop {
            if !progress.update_time_left(self.deps.clock.now(), request) {
                return progress.timeout_outcome();
            }
            let Some(owner) = self.likely_owner(request) else {
                if self.pause(progress, progress.no_owner_deadline, recipient) {
                    continue;
                }
                return UpstreamOutcome::not_run(NotRunCause::NoOwner, OWNER_RETRY_AFTER);
            };
            let outcome = self.attempt_on(&owner, request, progress, recipient);
            let retry = match &outcome {
                UpstreamOutcome::NotRun { cause, .. } => {
                    let deadline = match cause {
                        NotRunCause::NotOwner
                        | NotRunCause::Evacuated
                        | NotRunCause::Draining
                        | NotRunCause::Stopping => progress.move_deadline,
                        _ => progress.no_owner_deadline,
                    };
                    self.should_wait(*cause, request, progress)
                        && self.pause(progress, deadline, recipient)
                }
                outcome => self.should_retry(outcome, request, progress),
            };
            if !retry || recipient.has_disconnected() {
                return outcome;
            }
        }
    }

    /// Returns whether waiting before another attempt can help after a refusal by the owner.
    fn should_wait(
        &self,
        cause: NotRunCause,
        request: &UpstreamRequest,
        progress: &RequestProgress,
    ) -> bool {
        match cause {
            // The planner moves the key away from an upstream or a daemon that takes no more work.
            NotRunCause::NotOwner
            | NotRunCause::Evacuated
            | NotRunCause::Draining
            | NotRunCause::Stopping
            | NotRunCause::Unreachable
            | NotRunCause::Down => true,
            NotRunCause::Shed => progress.may_send_again() && self.withdraw_retry(request),
            _ => false,
        }
    }

    /// Sends a request to one of the equivalent upstreams of its service.
    fn route_shared(
        &self,
        request: &mut UpstreamRequest,
        progress: &mut RequestProgress,
        recipient: &Recipient,
    ) -> UpstreamOutcome {
        let mut tried = Vec::new();
        let mut outcome = UpstreamOutcome::not_run(NotRunCause::NoOwner, OWNER_RETRY_AFTER);
        loop {
            let now = self.deps.clock.now();
            if !progress.update_time_left(now, request) {
                return progress.timeout_outcome();
            }
            let members = self.deps.membership.members_taking_work(&request.service);
            let body_bytes = request.body.0.len();
            let domain = &self.deps.domain;
            let Some(member) = self
                .selector
                .select(now, &members, &tried, domain, body_bytes)
            else {
                if tried.is_empty() && self.pause(progress, progress.no_owner_deadline, recipient) {
                    continue;
                }
                return outcome;
            };
            let instance = member.info.session.instance;
            tried.push(instance);
            self.selector.call_started(instance);
            let started = self.deps.clock.now();
            outcome = self.attempt_on(member, request, progress, recipient);
            let failed = !matches!(&outcome, UpstreamOutcome::Ran(r) if r.status < 500);
            let now = self.deps.clock.now();
            let attempt = AttemptOutcome {
                failed,
                duration: now.since(started),
                load: progress.trace.load,
            };
            self.selector.call_ended(now, instance, attempt);
            if !self.should_retry(&outcome, request, progress) || recipient.has_disconnected() {
                return outcome;
            }
        }
    }

    /// Returns whether a request may be sent to another upstream, or to the same one again.
    fn should_retry(
        &self,
        outcome: &UpstreamOutcome,
        request: &UpstreamRequest,
        progress: &RequestProgress,
    ) -> bool {
        match outcome {
            UpstreamOutcome::Ran(_) => false,
            UpstreamOutcome::NotRun { cause, .. } => match cause {
                NotRunCause::Quarantined => false,
                NotRunCause::Shed => progress.may_send_again() && self.withdraw_retry(request),
                _ => true,
            },
            UpstreamOutcome::Unknown { .. } => {
                request.repeatable && progress.may_send_again() && self.withdraw_retry(request)
            }
        }
    }

    /// Returns the daemon that most likely owns the request's key.
    fn likely_owner(&self, request: &UpstreamRequest) -> Option<Member> {
        let key = request.key?;
        self.deps.membership.with_ownership(|o, _| {
            o.likely_owner(&request.service, KeyHash(key.0.into()))
                .cloned()
        })
    }

    /// Sends a request to the upstream of `member`, and records the outcome.
    fn attempt_on(
        &self,
        member: &Member,
        request: &mut UpstreamRequest,
        progress: &mut RequestProgress,
        recipient: &Recipient,
    ) -> UpstreamOutcome {
        let instance = member.info.session.instance;
        progress.trace.attempts += 1;
        progress.trace.upstream_daemon = Some(instance);
        // Without a new attempt number the other daemon would repeat its reply to the earlier
        // attempt.
        request.attempt = progress.trace.attempts;
        let (outcome, load) = match instance == self.deps.instance {
            true => {
                let (outcome, load) = self.deps.dispatcher.dispatch(request, recipient);
                (outcome, Some(load))
            }
            false => self.forward(member, request, recipient),
        };
        progress.trace.load = load;
        progress.record(&outcome);
        outcome
    }

    /// Sends a request to the daemon `member`.
    fn forward(
        &self,
        member: &Member,
        request: &UpstreamRequest,
        recipient: &Recipient,
    ) -> (UpstreamOutcome, Option<UpstreamLoad>) {
        let session = member.info.session;
        let message = PeerRequest::Dispatch {
            instance: session.instance,
            request: Box::new(request.clone()),
        };
        let address = member.info.peer;
        if message.has_large_body()
            && let Err(refusal) = self.reserve_body(address, session.instance, request, recipient)
        {
            return refusal;
        }
        let timeout = request.remaining + OUTCOME_GRACE;
        let has_ended = || {
            self.deps
                .membership
                .with_ownership(|o, _| o.has_ended(session))
        };
        let outcome = match self
            .deps
            .peers
            .call(address, &message, timeout, recipient, has_ended)
        {
            Ok(reply) => return reply.into_outcome(),
            Err(PeerError::RecipientDisconnected) => UpstreamOutcome::unknown("the caller left"),
            Err(e) => {
                let sent = !e.is_unsent();
                tracing::info!(event = "hop-failed", request = %request.id, to = %address, sent, error = %e);
                match sent {
                    true => {
                        UpstreamOutcome::unknown(format!("the daemon beside the upstream: {e}"))
                    }
                    false => UpstreamOutcome::not_run(NotRunCause::Unreachable, OWNER_RETRY_AFTER),
                }
            }
        };
        (outcome, None)
    }

    /// Asks the daemon at `address` whether it has room for the request's large body.
    ///
    /// # Errors
    ///
    /// Returns the outcome if the body must not be sent now.
    fn reserve_body(
        &self,
        address: SocketAddr,
        instance: InstanceId,
        request: &UpstreamRequest,
        recipient: &Recipient,
    ) -> Result<(), (UpstreamOutcome, Option<UpstreamLoad>)> {
        let reservation = PeerRequest::ReserveBody {
            instance,
            id: request.id.clone(),
            attempt: request.attempt,
            bytes: request.body.0.len(),
        };
        let timeout = request.remaining.min(RESERVATION_TIMEOUT);
        let called = self
            .deps
            .peers
            .call(address, &reservation, timeout, recipient, || false);
        match called {
            Ok(called) if called.reply == PeerReply::Accepted => Ok(()),
            // No copy of the request itself was sent.
            Ok(called) => Err(PeerCallReply {
                resent: false,
                ..called
            }
            .into_outcome()),
            Err(PeerError::RecipientDisconnected) => Err((
                UpstreamOutcome::not_run(NotRunCause::CallerLeft, OWNER_RETRY_AFTER),
                None,
            )),
            Err(e) => {
                tracing::info!(event = "hop-failed", request = %request.id, to = %address, sent = false, error = %e);
                let outcome = UpstreamOutcome::not_run(NotRunCause::Unreachable, OWNER_RETRY_AFTER);
                Err((outcome, None))
            }
        }
    }

    /// Sleeps before another attempt; returns `false` at once if none is worthwhile.
    fn pause(
        &self,
        progress: &mut RequestProgress,
        deadline: Moment,
        recipient: &Recipient,
    ) -> bool {
        let pause = progress.next_pause(self.deps.clock.now(), deadline);
        let Some(pause) = pause.filter(|_| !recipient.has_disconnected()) else {
            return false;
        };
        thread::sleep(pause);
        true
    }

    /// Withdraws one retry from this daemon's share of the retry budget; returns whether it is
    /// allowed.
    fn withdraw_retry(&self, request: &UpstreamRequest) -> bool {
        let now = self.deps.clock.now();
        let daemons = self.deps.membership.table().members.len();
        let allowed = self.with_retry_budget(&request.service, |share, config| {
            share.try_withdraw(now, config, daemons)
        });
        if allowed {
            self.deps.metrics.record_retry();
        }
        allowed
    }

    fn with_retry_budget<R>(
        &self,
        service: &ServiceName,
        f: impl FnOnce(&mut RetryBudgetShare, &RetryBudgetConfig) -> R,
    ) -> R {
        let mut retry_budgets = sync::lock(&self.retry_budgets);
        f(
            retry_budgets.entry(service.clone()).or_default(),
            &self.deps.retry_budget,
        )
    }

    /// Chooses the target of a request by smooth weighted round-robin.
    fn choose_target<'t>(&self, rule: &'t RouteRule) -> Option<&'t RouteTarget> {
        if rule.targets.len() < 2 {
            return rule.targets.first();
        }
        let mut target_credits = sync::lock(&self.target_credits);
        let credits = target_credits.entry(rule.name.clone()).or_default();
        credits.resize(rule.targets.len(), 0);
        let total: i64 = rule.targets.iter().map(|t| i64::from(t.weight)).sum();
        for (credit, target) in credits.iter_mut().zip(&rule.targets) {
            *credit += i64::from(target.weight);
        }
        let best = (0..credits.len()).max_by_key(|&i| credits[i])?;
        credits[best] -= total;
        rule.targets.get(best)
    }

    /// Builds the upstream request for a caller's request.
    ///
    /// # Errors
    ///
    /// Returns the response to a request that can't be routed.
    fn build_request(
        &self,
        routing: &RoutingConfig,
        http_request: HttpRequest,
    ) -> Result<(UpstreamRequest, RouteRule), HttpResponse> {
        let head = &http_request.head;
        let metadata = self.deps.protocol.parse_head(head);
        let Some(id) = metadata.id else {
            return Err(HttpResponse::text(400, "the request has no id\n"));
        };
        let Some(host) = head.headers.get_str("host") else {
            return Err(HttpResponse::text(400, "the request names no host\n"));
        };
        let Some(rule) = routing.route(host, head.path()) else {
            tracing::info!(event = "request", request = %id, status = 404, version = %routing.version, cause = "no-route");
            return Err(HttpResponse::text(404, "no route\n"));
        };
        let Some(target) = self.choose_target(rule) else {
            return Err(HttpResponse::text(503, "the route has no target\n"));
        };
        let elapsed = http_request.received_at.elapsed();
        let timeout = metadata.timeout.unwrap_or(CALLER_TIMEOUT_DEFAULT);
        let timeout = timeout
            .min(CALLER_TIMEOUT_MAX)
            .min(rule.timeout.unwrap_or(CALLER_TIMEOUT_MAX));
        let request = UpstreamRequest {
            id,
            service: target.service.clone(),
            origin: self.deps.origin.clone(),
            method: head.method.clone(),
            target: head.target.clone(),
            headers: head.headers.end_to_end(),
            key: metadata.key,
            repeatable: rule.repeatable,
            priority: rule.priority,
            remaining: timeout.saturating_sub(elapsed),
            objective: rule.objective.saturating_sub(elapsed),
            attempt: 0,
            body: Body(http_request.body),
        };
        Ok((request, rule.clone()))
    }

    /// Records the metrics of a finished request.
    fn record_metrics(&self, service: &ServiceName, outcome: &UpstreamOutcome, duration: Duration) {
        let metric = match outcome {
            UpstreamOutcome::Ran(_) => Outcome::Ran,
            UpstreamOutcome::NotRun { cause, .. } => {
                self.deps.metrics.record_refusal(cause.as_str());
                Outcome::NotRun
            }
            UpstreamOutcome::Unknown { .. } => Outcome::Unknown,
        };
        self.deps.metrics.record_request(service, metric, duration);
    }

    /// Builds the response to the caller from an outcome.
    fn build_response(&self, id: &str, outcome: UpstreamOutcome) -> HttpResponse {
        let mut response = match outcome {
            UpstreamOutcome::Ran(upstream) => {
                return HttpResponse {
                    status: upstream.status,
                    headers: upstream.headers,
                    body: upstream.body.0,
                    close_without_response: false,
                };
            }
            UpstreamOutcome::NotRun {
                cause: NotRunCause::CallerLeft,
                ..
            } => HttpResponse {
                close_without_response: true,
                ..HttpResponse::default()
            },
            UpstreamOutcome::NotRun { cause, retry_after } => {
                let mut response = HttpResponse::text(503, format!("not run: {cause}\n"));
                let (name, value) = self.deps.protocol.retry_after_header(retry_after);
                response.headers.push(name, value);
                response
            }
            UpstreamOutcome::Unknown { reason, timed_out } => {
                let status = if timed_out { 504 } else { 502 };
                HttpResponse::text(status, format!("may have run: {reason}\n"))
            }
        };
        let (name, value) = self.deps.protocol.request_id_header(id);
        response.headers.push(name, value);
        response
    }
}

impl ListenerHandler for HostRouter {
    fn limits(&self) -> ListenerLimits {
        let active = self.deps.membership.active_configuration();
        let limits = active.routing_config.as_ref().map(|r| r.limits);
        let limits = limits.unwrap_or_default();
        ListenerLimits {
            head_bytes: limits.head_bytes,
            body_bytes: limits.body_bytes,
            head_timeout: limits.head_timeout,
            idle_timeout: limits.idle_timeout,
        }
    }

    fn body_timeout(&self, head: &RequestHead) -> Duration {
        let requested = self.deps.protocol.parse_head(head).timeout;
        requested
            .unwrap_or(CALLER_TIMEOUT_DEFAULT)
            .min(BODY_TIMEOUT_MAX)
    }

    fn handle(&self, http_request: HttpRequest, recipient: &Recipient) -> HttpResponse {
        let active = self.deps.membership.active_configuration();
        let Some(routing) = &active.routing_config else {
            let mut response = HttpResponse::text(503, "not run: the routing is not known yet\n");
            let (name, value) = self.deps.protocol.retry_after_header(ROUTING_RETRY_AFTER);
            response.headers.push(name, value);
            return response;
        };
        let started = self.deps.clock.now();
        let queued = http_request.received_at.elapsed();
        let (mut request, rule) = match self.build_request(routing, http_request) {
            Ok(routed) => routed,
            Err(response) => return response,
        };
        let (outcome, mut trace) = self.route(routing, &rule, &mut request, recipient);
        trace.queued = queued;
        let duration = self.deps.clock.now().since(started);
        self.record_metrics(&request.service, &outcome, duration);
        log_request(&request, &rule, routing, &outcome, &trace, duration);
        self.build_response(&request.id, outcome)
    }

    fn error_response(&self, error: &ConnectionError) -> HttpResponse {
        let status = match error {
            ConnectionError::TooLarge("body") => 413,
            ConnectionError::TooLarge(_) => 431,
            ConnectionError::TimedOut => 408,
            _ => 400,
        };
        tracing::info!(event = "request-refused", status, error = %error);
        HttpResponse::text(status, format!("{error}\n"))
    }

    fn overload_response(&self, request: &HttpRequest) -> HttpResponse {
        let id = self.deps.protocol.parse_head(&request.head).id;
        tracing::info!(
            event = "request-refused",
            status = 503,
            request = id,
            error = "too many requests are in progress"
        );
        self.build_response(
            &id.unwrap_or_default(),
            UpstreamOutcome::not_run(NotRunCause::Overloaded, OVERLOAD_RETRY_AFTER),
        )
    }

    fn is_shutting_down(&self) -> bool {
        self.deps.stop.is_set()
    }
}

/// Logs a finished request.
fn log_request(
    request: &UpstreamRequest,
    rule: &RouteRule,
    routing: &RoutingConfig,
    outcome: &UpstreamOutcome,
    trace: &RequestTrace,
    duration: Duration,
) {
    let (label, cause, status) = match outcome {
        UpstreamOutcome::Ran(r) => ("ran", String::new(), r.status),
        UpstreamOutcome::NotRun { cause, .. } => ("not-run", cause.to_string(), 503),
        UpstreamOutcome::Unknown { reason, timed_out } => (
            "unknown",
            reason.clone(),
            if *timed_out { 504 } else { 502 },
        ),
    };
    let upstream = trace.upstream_daemon.map(|i| i.to_string());
    tracing::info!(
        event = "request",
        request = %request.id,
        service = %request.service,
        route = rule.name,
        key = request.key.map(|k| k.0),
        version = %routing.version,
        outcome = label,
        cause,
        status,
        tries = trace.attempts,
        upstream,
        queued_ms = trace.queued.as_millis() as u64,
        waited_ms = trace.load.map(|l| l.waited_ms),
        ran_ms = trace.load.map(|l| l.ran_ms),
        in_flight = trace.load.map(|l| l.in_flight),
        waiting = trace.load.map(|l| l.waiting),
        ms = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX),
    );
}

/// Turns "not run" into "may have run" if an earlier attempt may have run.
fn account_for_earlier_attempts(outcome: UpstreamOutcome, may_have_run: bool) -> UpstreamOutcome {
    match outcome {
        UpstreamOutcome::NotRun { cause, .. } if may_have_run => {
            UpstreamOutcome::unknown(cause.as_str())
        }
        outcome => outcome,
    }
}
