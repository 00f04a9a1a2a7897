//! Brings callers' requests to where they are served, and tells callers what became of them.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::connection::buffered_connection::{ConnectionError, Recipient};
use crate::connection::http_listener::{
    HttpRequest, HttpResponse, ListenerHandler, ListenerLimits,
};
use crate::connection::http1::RequestHead;
use crate::connection::peer_error::PeerError;
use crate::connection::peer_message::PeerRequest;
use crate::connection::peer_pool::PeerPool;
use crate::connection::protocol::CallerProtocol;
use crate::process::clock::Clock;
use crate::process::host::host_dispatcher::HostDispatcher;
use crate::process::host::request_progress::{HOLDER_RETRY, RequestProgress, Trace};
use crate::process::host::retry_budget_share::{RetryBudgetConfig, RetryBudgetShare};
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
use crate::version::desired::{Desired, RouteRule, Target};
use crate::version::domain_name::DomainName;
use crate::version::instance_id::InstanceId;
use crate::version::key_hash::KeyHash;
use crate::version::member::Member;
use crate::version::service_name::ServiceName;

/// How long a caller waits that does not say so.
const TIME_LEFT_DEFAULT: Duration = Duration::from_secs(10);
/// The longest time that a caller may ask for.
const TIME_LEFT_MAX: Duration = Duration::from_secs(600);
/// How long the body of a request may take, beyond the time that its caller waits.
const BODY_TIME_MAX: Duration = Duration::from_secs(30);
/// How long a caller is told to wait while the routing is unknown.
const ROUTING_RETRY: Duration = Duration::from_millis(300);
/// How much longer than a request its outcome is awaited from another daemon, which tells it when
/// the request's time runs out there.
const OUTCOME_TIME: Duration = Duration::from_millis(60);

/// What the entry works with.
pub struct HostRouterDeps {
    /// The clock of the host.
    pub clock: Arc<dyn Clock>,
    /// The membership.
    pub membership: Arc<Membership>,
    /// The gate to the upstream here.
    pub gate: Arc<HostDispatcher>,
    /// The connections to other daemons.
    pub peers: Arc<PeerPool>,
    /// What callers speak.
    pub protocol: Arc<dyn CallerProtocol>,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// This process.
    pub instance: InstanceId,
    /// The failure domain of the host.
    pub domain: DomainName,
    /// The service beside which callers' requests begin here.
    pub origin: ServiceName,
    /// The budget of repeats that all daemons share.
    pub budget: RetryBudgetConfig,
    /// Raised once the process has begun to stop.
    pub stop: Arc<StopFlag>,
}

/// The entry for callers on one host.
pub struct HostRouter {
    parts: HostRouterDeps,
    selection: UpstreamSelector,
    budgets: Mutex<HashMap<ServiceName, RetryBudgetShare>>,
    turns: Mutex<HashMap<String, Vec<i64>>>,
}

impl HostRouter {
    /// Creates an entry.
    pub fn new(parts: HostRouterDeps) -> Self {
        Self {
            parts,
            selection: UpstreamSelector::default(),
            budgets: Mutex::default(),
            turns: Mutex::default(),
        }
    }

    /// Forgets what was seen of processes that are no members any more.
    pub fn forget_gone(&self) {
        let table = self.parts.membership.table();
        self.selection.retain(|i| table.member_of(i).is_some());
    }

    /// Routes a request and returns what became of it.
    fn route(
        &self,
        desired: &Desired,
        rule: &RouteRule,
        order: &mut UpstreamRequest,
        recipient: &Recipient,
    ) -> (UpstreamOutcome, Trace) {
        let now = self.parts.clock.now();
        self.with_budget(&order.service, |b, terms| b.request(now, terms));
        let mut course = RequestProgress::new(now, order, rule.attempts);
        let terms = desired.services.get(&order.service);
        let divided = terms.is_some_and(|t| t.divided);
        let verdict = match (divided, order.key) {
            (true, Some(_)) => self.route_keyed(order, &mut course, recipient),
            (true, None) => UpstreamOutcome::not_run(NotRunCause::NoOwner, HOLDER_RETRY),
            (false, _) => {
                order.key = None;
                self.route_shared(order, &mut course, recipient)
            }
        };
        (truthful(verdict, course.maybe_run), course.trace)
    }

    /// Brings an order to the holder of its key.
    fn route_keyed(
        &self,
        order: &mut UpstreamRequest,
        course: &mut RequestProgress,
        recipient: &Recipient,
    ) -> UpstreamOutcome {
        loop {
            if !course.has_time(self.parts.clock.now(), order) {
                return course.timed_out();
            }
            let Some(holder) = self.holder(order) else {
                if self.pause(course, course.patience, recipient) {
                    continue;
                }
                return UpstreamOutcome::not_run(NotRunCause::NoOwner, HOLDER_RETRY);
            };
            let verdict = self.try_on(&holder, order, course, recipient);
            let again = match &verdict {
                UpstreamOutcome::NotRun { cause, .. } => {
                    let patience = match cause {
                        NotRunCause::NotOwner => course.move_patience,
                        _ => course.patience,
                    };
                    self.may_wait(*cause, order, course) && self.pause(course, patience, recipient)
                }
                verdict => self.may_try_again(verdict, order, course),
            };
            if !again || recipient.has_disconnected() {
                return verdict;
            }
        }
    }

    /// Returns whether it makes sense to wait a moment after a refusal of the holder.
    fn may_wait(
        &self,
        cause: NotRunCause,
        order: &UpstreamRequest,
        course: &RequestProgress,
    ) -> bool {
        match cause {
            NotRunCause::NotOwner | NotRunCause::Unreachable | NotRunCause::Down => true,
            NotRunCause::Shed => course.may_be_given_again() && self.may_repeat(order),
            _ => false,
        }
    }

    /// Brings an order to one of the equal upstreams of its service.
    fn route_shared(
        &self,
        order: &mut UpstreamRequest,
        course: &mut RequestProgress,
        recipient: &Recipient,
    ) -> UpstreamOutcome {
        let mut tried = Vec::new();
        let mut last = UpstreamOutcome::not_run(NotRunCause::NoOwner, HOLDER_RETRY);
        loop {
            let now = self.parts.clock.now();
            if !course.has_time(now, order) {
                return course.timed_out();
            }
            let members = self.parts.membership.members_taking_work(&order.service);
            let bytes = order.body.0.len();
            let home = &self.parts.domain;
            let Some(member) = self.selection.pick(now, &members, &tried, home, bytes) else {
                if tried.is_empty() && self.pause(course, course.patience, recipient) {
                    continue;
                }
                return last;
            };
            let instance = member.info.session.instance;
            tried.push(instance);
            self.selection.start(instance);
            let begun = self.parts.clock.now();
            last = self.try_on(member, order, course, recipient);
            let failed = !matches!(&last, UpstreamOutcome::Ran(a) if a.status < 500);
            let now = self.parts.clock.now();
            let trip = AttemptOutcome {
                failed,
                took: now.since(begun),
                note: course.trace.load,
            };
            self.selection.end(now, instance, trip);
            if !self.may_try_again(&last, order, course) || recipient.has_disconnected() {
                return last;
            }
        }
    }

    /// Returns whether an order may go to another upstream, or to the same once more.
    fn may_try_again(
        &self,
        verdict: &UpstreamOutcome,
        order: &UpstreamRequest,
        course: &RequestProgress,
    ) -> bool {
        match verdict {
            UpstreamOutcome::Ran(_) => false,
            UpstreamOutcome::NotRun { cause, .. } => match cause {
                NotRunCause::Quarantined => false,
                NotRunCause::Shed => course.may_be_given_again() && self.may_repeat(order),
                _ => true,
            },
            UpstreamOutcome::Unknown { .. } => {
                order.repeatable && course.may_be_given_again() && self.may_repeat(order)
            }
        }
    }

    /// Returns the daemon that most likely holds the order's key.
    fn holder(&self, order: &UpstreamRequest) -> Option<Member> {
        let key = order.key?;
        self.parts.membership.with_ownership(|o, _| {
            o.likely_owner(&order.service, KeyHash(key.0.into()))
                .cloned()
        })
    }

    /// Tries an order on the upstream beside `member`, and notes how that went.
    fn try_on(
        &self,
        member: &Member,
        order: &mut UpstreamRequest,
        course: &mut RequestProgress,
        recipient: &Recipient,
    ) -> UpstreamOutcome {
        let instance = member.info.session.instance;
        course.trace.tries += 1;
        course.trace.upstream = Some(instance);
        // A later try is no copy of an earlier one, which the other daemon would answer as before.
        order.attempt = course.trace.tries;
        let (verdict, load) = match instance == self.parts.instance {
            true => {
                let (verdict, load) = self.parts.gate.run(order, recipient);
                (verdict, Some(load))
            }
            false => self.pass_on(member, order, recipient),
        };
        course.trace.load = load;
        course.note(&verdict);
        verdict
    }

    /// Passes an order on to the daemon `member`.
    fn pass_on(
        &self,
        member: &Member,
        order: &UpstreamRequest,
        recipient: &Recipient,
    ) -> (UpstreamOutcome, Option<UpstreamLoad>) {
        let session = member.info.session;
        let request = PeerRequest::Dispatch {
            instance: session.instance,
            request: Box::new(order.clone()),
        };
        let to = member.info.peer;
        let limit = order.remaining + OUTCOME_TIME;
        let is_over = || {
            self.parts
                .membership
                .with_ownership(|o, _| o.has_ended(session))
        };
        let verdict = match self
            .parts
            .peers
            .call(to, &request, limit, recipient, is_over)
        {
            Ok(called) => return called.into_outcome(),
            Err(PeerError::RecipientDisconnected) => UpstreamOutcome::unknown("the caller left"),
            Err(e) => {
                let sent = !e.is_unsent();
                tracing::info!(event = "hop-failed", request = %order.id, %to, sent, error = %e);
                match sent {
                    true => {
                        UpstreamOutcome::unknown(format!("the daemon beside the upstream: {e}"))
                    }
                    false => UpstreamOutcome::not_run(NotRunCause::Unreachable, HOLDER_RETRY),
                }
            }
        };
        (verdict, None)
    }

    /// Waits a moment before another try; returns whether one makes sense.
    fn pause(&self, course: &mut RequestProgress, patience: Moment, recipient: &Recipient) -> bool {
        let span = course.next_pause(self.parts.clock.now(), patience);
        let Some(span) = span.filter(|_| !recipient.has_disconnected()) else {
            return false;
        };
        thread::sleep(span);
        true
    }

    fn may_repeat(&self, order: &UpstreamRequest) -> bool {
        let now = self.parts.clock.now();
        let daemons = self.parts.membership.table().members.len();
        let allowed = self.with_budget(&order.service, |b, terms| b.withdraw(now, terms, daemons));
        if allowed {
            self.parts.metrics.record_retry();
        }
        allowed
    }

    fn with_budget<R>(
        &self,
        service: &ServiceName,
        f: impl FnOnce(&mut RetryBudgetShare, &RetryBudgetConfig) -> R,
    ) -> R {
        let mut budgets = sync::lock(&self.budgets);
        f(
            budgets.entry(service.clone()).or_default(),
            &self.parts.budget,
        )
    }

    /// Chooses the target of a request, so that each gets its part in turn.
    fn choose<'t>(&self, rule: &'t RouteRule) -> Option<&'t Target> {
        if rule.targets.len() < 2 {
            return rule.targets.first();
        }
        let mut turns = sync::lock(&self.turns);
        let credits = turns.entry(rule.name.clone()).or_default();
        credits.resize(rule.targets.len(), 0);
        let total: i64 = rule.targets.iter().map(|t| i64::from(t.weight)).sum();
        for (credit, target) in credits.iter_mut().zip(&rule.targets) {
            *credit += i64::from(target.weight);
        }
        let best = (0..credits.len()).max_by_key(|&i| credits[i])?;
        credits[best] -= total;
        rule.targets.get(best)
    }

    /// Builds the order of a request.
    ///
    /// # Errors
    ///
    /// Returns the answer to a request that can't be routed.
    fn order_of(
        &self,
        desired: &Desired,
        request: HttpRequest,
    ) -> Result<(UpstreamRequest, RouteRule), HttpResponse> {
        let head = &request.head;
        let metadata = self.parts.protocol.parse_head(head);
        let Some(id) = metadata.id else {
            return Err(HttpResponse::text(400, "the request has no id\n"));
        };
        let Some(host) = head.headers.text("host") else {
            return Err(HttpResponse::text(400, "the request names no host\n"));
        };
        let Some(rule) = desired.route(host, head.path()) else {
            tracing::info!(event = "request", request = %id, status = 404, version = %desired.version, cause = "no-route");
            return Err(HttpResponse::text(404, "no route\n"));
        };
        let Some(target) = self.choose(rule) else {
            return Err(HttpResponse::text(503, "the route has no target\n"));
        };
        let spent = request.received_at.elapsed();
        let waits = metadata.timeout.unwrap_or(TIME_LEFT_DEFAULT);
        let waits = waits
            .min(TIME_LEFT_MAX)
            .min(rule.timeout.unwrap_or(TIME_LEFT_MAX));
        let order = UpstreamRequest {
            id,
            service: target.service.clone(),
            origin: self.parts.origin.clone(),
            method: head.method.clone(),
            target: head.target.clone(),
            headers: head.headers.end_to_end(),
            key: metadata.key,
            repeatable: rule.repeatable,
            priority: rule.priority,
            remaining: waits.saturating_sub(spent),
            objective: rule.objective.saturating_sub(spent),
            attempt: 0,
            body: Body(request.body),
        };
        Ok((order, rule.clone()))
    }

    /// Counts a request that has ended.
    fn count(&self, service: &ServiceName, verdict: &UpstreamOutcome, took: Duration) {
        let outcome = match verdict {
            UpstreamOutcome::Ran(_) => Outcome::Ran,
            UpstreamOutcome::NotRun { cause, .. } => {
                self.parts.metrics.record_refusal(cause.as_str());
                Outcome::NotRun
            }
            UpstreamOutcome::Unknown { .. } => Outcome::Unknown,
        };
        self.parts.metrics.record_request(service, outcome, took);
    }

    /// Turns a verdict into the answer to the caller.
    fn reply(&self, id: &str, verdict: UpstreamOutcome) -> HttpResponse {
        let mut reply = match verdict {
            UpstreamOutcome::Ran(answer) => {
                return HttpResponse {
                    status: answer.status,
                    headers: answer.headers,
                    body: answer.body.0,
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
                let mut reply = HttpResponse::text(503, format!("not run: {cause}\n"));
                let (name, value) = self.parts.protocol.retry_after_header(retry_after);
                reply.headers.push(name, value);
                reply
            }
            UpstreamOutcome::Unknown { reason, timed_out } => {
                let status = if timed_out { 504 } else { 502 };
                HttpResponse::text(status, format!("may have run: {reason}\n"))
            }
        };
        let (name, value) = self.parts.protocol.request_id_header(id);
        reply.headers.push(name, value);
        reply
    }
}

impl ListenerHandler for HostRouter {
    fn limits(&self) -> ListenerLimits {
        let active = self.parts.membership.active_configuration();
        let limits = active.desired.as_ref().map(|d| d.limits);
        let limits = limits.unwrap_or_default();
        ListenerLimits {
            head_bytes: limits.head_bytes,
            body_bytes: limits.body_bytes,
            head_timeout: limits.head_time,
            idle_timeout: limits.idle_time,
        }
    }

    fn body_timeout(&self, head: &RequestHead) -> Duration {
        let told = self.parts.protocol.parse_head(head).timeout;
        told.unwrap_or(TIME_LEFT_DEFAULT).min(BODY_TIME_MAX)
    }

    fn handle(&self, request: HttpRequest, recipient: &Recipient) -> HttpResponse {
        let active = self.parts.membership.active_configuration();
        let Some(desired) = &active.desired else {
            let mut reply = HttpResponse::text(503, "not run: the routing is not known yet\n");
            let (name, value) = self.parts.protocol.retry_after_header(ROUTING_RETRY);
            reply.headers.push(name, value);
            return reply;
        };
        let started = self.parts.clock.now();
        let (mut order, rule) = match self.order_of(desired, request) {
            Ok(routed) => routed,
            Err(reply) => return reply,
        };
        let (verdict, trace) = self.route(desired, &rule, &mut order, recipient);
        let took = self.parts.clock.now().since(started);
        self.count(&order.service, &verdict, took);
        log(&order, &rule, desired, &verdict, &trace, took);
        self.reply(&order.id, verdict)
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

    fn is_shutting_down(&self) -> bool {
        self.parts.stop.is_set()
    }
}

/// Writes the line of a request that has ended.
fn log(
    order: &UpstreamRequest,
    rule: &RouteRule,
    desired: &Desired,
    verdict: &UpstreamOutcome,
    trace: &Trace,
    took: Duration,
) {
    let (outcome, cause, status) = match verdict {
        UpstreamOutcome::Ran(a) => ("ran", String::new(), a.status),
        UpstreamOutcome::NotRun { cause, .. } => ("not-run", cause.to_string(), 503),
        UpstreamOutcome::Unknown { reason, timed_out } => (
            "unknown",
            reason.clone(),
            if *timed_out { 504 } else { 502 },
        ),
    };
    let upstream = trace.upstream.map(|i| i.to_string());
    tracing::info!(
        event = "request",
        request = %order.id,
        service = %order.service,
        route = rule.name,
        key = order.key.map(|k| k.0),
        version = %desired.version,
        outcome,
        cause,
        status,
        tries = trace.tries,
        upstream,
        waited_ms = trace.load.map(|l| l.waited_ms),
        ran_ms = trace.load.map(|l| l.ran_ms),
        in_flight = trace.load.map(|l| l.in_flight),
        waiting = trace.load.map(|l| l.waiting),
        ms = u64::try_from(took.as_millis()).unwrap_or(u64::MAX),
    );
}

/// Turns "not run" into "may have run" where an earlier try may have run.
fn truthful(verdict: UpstreamOutcome, maybe_run: bool) -> UpstreamOutcome {
    match verdict {
        UpstreamOutcome::NotRun { cause, .. } if maybe_run => {
            UpstreamOutcome::unknown(cause.as_str())
        }
        verdict => verdict,
    }
}
