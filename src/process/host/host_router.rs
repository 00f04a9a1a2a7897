//! Routes callers' requests to upstreams, and turns the outcomes into responses.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::connection::buffered_connection::ConnectionError;
use crate::connection::http_listener::{
    HttpRequest, HttpResponse, ListenerHandler, ListenerLimits,
};
use crate::connection::http1::RequestHead;
use crate::connection::peer_pool::PeerPool;
use crate::connection::protocol::CallerProtocol;
use crate::connection::recipient::Recipient;
use crate::process::clock::Clock;
use crate::process::host::authentication;
use crate::process::host::caller_authenticator::CallerAuthenticator;
use crate::process::host::host_dispatcher::HostDispatcher;
use crate::process::host::quota_gate::QuotaGate;
use crate::process::host::request_forwarder::RequestForwarder;
use crate::process::host::request_log;
use crate::process::host::request_progress::{OWNER_RETRY_AFTER, RequestProgress, RequestTrace};
use crate::process::host::response_builder::ResponseBuilder;
use crate::process::host::retry_budget_share::RetryBudgetConfig;
use crate::process::host::retry_budgets::RetryBudgets;
use crate::process::host::returning_callers::ReturningCallers;
use crate::process::host::selection_report;
use crate::process::host::stop_gate::StopGate;
use crate::process::host::target_selector::TargetSelector;
use crate::process::host::upstream_selector::{AttemptOutcome, UpstreamSelector};
use crate::process::membership::Membership;
use crate::process::metrics::Metrics;
use crate::process::moment::Moment;
use crate::process::sync;
use crate::request::body::Body;
use crate::request::fingerprint::Fingerprint;
use crate::request::outcome::Outcome;
use crate::request::request_kind::RequestKind;
use crate::request::upstream_outcome::{NotRunCause, UpstreamOutcome};
use crate::request::upstream_request::UpstreamRequest;
use crate::version::domain_name::DomainName;
use crate::version::instance_id::InstanceId;
use crate::version::key_hash::KeyHash;
use crate::version::member::Member;
use crate::version::routing_config::{RouteRule, RoutingConfig};
use crate::version::service_name::ServiceName;

/// Timeout of a request whose caller sets none.
const CALLER_TIMEOUT_DEFAULT: Duration = Duration::from_secs(10);
/// Longest timeout that a caller may set.
const CALLER_TIMEOUT_MAX: Duration = Duration::from_secs(600);
/// Longest time for receiving the body of a request, whatever the caller's timeout.
const BODY_TIMEOUT_MAX: Duration = Duration::from_secs(30);
/// Retry delay returned while too many requests are in progress on this host.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Retry delay returned while this process stops: other daemons can serve the request at once.
const STOPPING_RETRY_AFTER: Duration = Duration::ZERO;

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
    /// Quotas of teams.
    pub quotas: Arc<QuotaGate>,
    /// What the process still takes once it stops.
    pub stop_gate: Arc<StopGate>,
}

/// Router of the callers' requests on one host.
pub struct HostRouter {
    deps: HostRouterDeps,
    selector: UpstreamSelector,
    target_selector: TargetSelector,
    retry_budgets: RetryBudgets,
    authenticator: CallerAuthenticator,
    forwarder: RequestForwarder,
    responses: ResponseBuilder,
    returning_callers: Mutex<ReturningCallers>,
}

impl HostRouter {
    /// Creates a router without observations of upstreams.
    pub fn new(deps: HostRouterDeps) -> Self {
        let (membership, peers) = (Arc::clone(&deps.membership), Arc::clone(&deps.peers));
        Self {
            selector: UpstreamSelector::default(),
            target_selector: TargetSelector::default(),
            retry_budgets: RetryBudgets::new(deps.retry_budget),
            authenticator: CallerAuthenticator::new(Arc::clone(&membership)),
            forwarder: RequestForwarder::new(membership, peers),
            responses: ResponseBuilder::new(Arc::clone(&deps.protocol)),
            returning_callers: Mutex::default(),
            deps,
        }
    }

    /// Drops the observations of daemons that are no longer members.
    pub fn forget_former_members(&self) {
        let table = self.deps.membership.table();
        self.selector.retain(|i| table.member_of(i).is_some());
        let now = self.deps.clock.now();
        sync::lock(&self.returning_callers).remove_expired(now);
    }

    /// Returns what is known of the upstreams of services that aren't sharded.
    pub(super) fn selector(&self) -> &UpstreamSelector {
        &self.selector
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
        self.retry_budgets.record_request(now, &request.service);
        let mut progress = RequestProgress::new(now, request, rule.attempts);
        if !self.deps.stop_gate.admits(now, request.remaining) {
            return (stopping(), progress.trace);
        }
        let permit = match self.deps.quotas.admit(routing, request) {
            Ok(permit) => permit,
            Err(refusal) => return (refusal, progress.trace),
        };
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
        let outcome = account_for_earlier_attempts(outcome, progress.may_have_run);
        self.deps.quotas.settle(request, permit, &outcome);
        (outcome, progress.trace)
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
            if self.deps.stop_gate.is_closed() {
                return stopping();
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
            if self.deps.stop_gate.is_closed() {
                return stopping();
            }
            let members = self.deps.membership.members_taking_work(&request.service);
            let body_bytes = request.body.0.len();
            let domain = &self.deps.domain;
            let Some(selected) = self
                .selector
                .select(now, &members, &tried, domain, body_bytes)
            else {
                if tried.is_empty() && self.pause(progress, progress.no_owner_deadline, recipient) {
                    continue;
                }
                return outcome;
            };
            let instance = selected.member.info.session.instance;
            tried.push(instance);
            let started = self.deps.clock.now();
            self.selector.call_started(started, instance);
            outcome = self.attempt_on(selected.member, request, progress, recipient);
            let load = progress.trace.load;
            selection_report::record(&self.deps.metrics, request, &selected, &outcome, load);
            let failed = !matches!(&outcome, UpstreamOutcome::Ran(r) if r.status < 500);
            let now = self.deps.clock.now();
            let attempt = AttemptOutcome {
                failed,
                duration: now.since(started),
                load,
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
            false => self.forwarder.forward(member, request, recipient),
        };
        progress.trace.load = load;
        progress.record(&outcome);
        outcome
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
        let allowed = self
            .retry_budgets
            .try_withdraw(now, &request.service, daemons);
        if allowed {
            self.deps.metrics.record_retry();
        }
        allowed
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
        is_routing_recent: bool,
    ) -> Result<(UpstreamRequest, RouteRule), HttpResponse> {
        let head = &http_request.head;
        let metadata = self.deps.protocol.parse_head(head);
        let Some(id) = metadata.id.clone() else {
            return Err(HttpResponse::text(400, "the request has no id\n"));
        };
        let Some(host) = head.headers.get_str("host") else {
            return Err(HttpResponse::text(400, "the request names no host\n"));
        };
        let Some(rule) = routing.route(host, head.path()) else {
            tracing::info!(event = "request", request = %id, status = 404, version = %routing.version, cause = "no-route");
            return Err(HttpResponse::text(404, "no route\n"));
        };
        let team = self.authenticator.authenticate(
            routing,
            rule,
            &metadata,
            is_routing_recent,
            &self.responses,
        )?;
        let Some(target) = self.target_selector.select(rule) else {
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
            headers: authentication::forwarded_headers(
                routing,
                &*self.deps.protocol,
                &head.headers,
            ),
            team: team.map(|t| t.name.clone()),
            key: metadata.key,
            repeatable: rule.repeatable,
            kind: RequestKind::of_route(&rule.name),
            priority: team.and_then(|t| t.priority).unwrap_or(rule.priority),
            remaining: timeout.saturating_sub(elapsed),
            objective: rule.objective.saturating_sub(elapsed),
            attempt: 0,
            body: Body(http_request.body),
        };
        Ok((request, rule.clone()))
    }

    /// Returns when the caller's first attempt at a request arrived, which is now unless the caller
    /// returns after a refusal.
    fn first_attempt_at(&self, now: Moment, request: &UpstreamRequest) -> Moment {
        let mut callers = sync::lock(&self.returning_callers);
        if callers.is_empty() {
            return now;
        }
        let fingerprint = Fingerprint::of_upstream_request(request);
        let Some(first_at) = callers.take_first_attempt(now, fingerprint) else {
            return now;
        };
        self.deps.metrics.record_return();
        first_at
    }

    /// Remembers a refusal, so that the caller is recognised when it returns.
    fn remember_refusal(
        &self,
        request: &UpstreamRequest,
        first_at: Moment,
        outcome: &UpstreamOutcome,
    ) {
        if let UpstreamOutcome::NotRun { retry_after, .. } = outcome {
            let now = self.deps.clock.now();
            let fingerprint = Fingerprint::of_upstream_request(request);
            sync::lock(&self.returning_callers).record(
                now,
                fingerprint,
                first_at,
                *retry_after,
                request.remaining,
            );
        }
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
        let is_routing_recent = self.authenticator.is_routing_recent();
        let active = self.deps.membership.active_configuration();
        let Some(routing) = &active.routing_config else {
            return self.responses.routing_unknown();
        };
        let started = self.deps.clock.now();
        let queued = http_request.received_at.elapsed();
        let (mut request, rule) = match self.build_request(routing, http_request, is_routing_recent)
        {
            Ok(routed) => routed,
            Err(response) => return response,
        };
        let first_at = self.first_attempt_at(started, &request);
        request.objective = request.objective.saturating_sub(started.since(first_at));
        let (outcome, mut trace) = self.route(routing, &rule, &mut request, recipient);
        self.remember_refusal(&request, first_at, &outcome);
        trace.queued = queued;
        let duration = self.deps.clock.now().since(started);
        self.record_metrics(&request.service, &outcome, duration);
        request_log::log_request(&request, &rule, routing, &outcome, &trace, duration);
        self.responses.build(&request.id, outcome)
    }

    fn error_response(&self, error: &ConnectionError) -> HttpResponse {
        if matches!(error, ConnectionError::OutOfMemory) {
            return self.responses.overloaded();
        }
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
        self.responses.build(
            &id.unwrap_or_default(),
            UpstreamOutcome::not_run(NotRunCause::Overloaded, OVERLOAD_RETRY_AFTER),
        )
    }

    fn is_shutting_down(&self) -> bool {
        self.deps.stop_gate.is_stopping()
    }
}

/// Returns the outcome of a request that is not begun because this process stops.
fn stopping() -> UpstreamOutcome {
    UpstreamOutcome::not_run(NotRunCause::Stopping, STOPPING_RETRY_AFTER)
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
