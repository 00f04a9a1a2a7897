//! Routes callers' requests to the daemon or upstream that serves them.

use std::collections::HashMap;
use std::io;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{self, RecvTimeoutError};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use crate::connection::peer_error::PeerError;
use crate::connection::peer_message::{PeerReply, PeerRequest};
use crate::connection::peer_pool::PeerPool;
use crate::connection::recipient::Recipient;
use crate::process::clock::Clock;
use crate::process::key_owner::{KeyOwner, LocalRunner, Runner};
use crate::process::membership::Membership;
use crate::process::metrics::Metrics;
use crate::process::moment::Moment;
use crate::process::recent_shared_requests::RecentSharedRequests;
use crate::process::serve_permit::ServePermit;
use crate::process::shared_upstream_selector::SharedUpstreamSelector;
use crate::process::sync;
use crate::process::thread_pool::ThreadPool;
use crate::process::upstream_dispatcher::{DispatchResult, Permit, UpstreamDispatcher};
use crate::process::wall_time::WallTime;
use crate::request::envelope::Envelope;
use crate::request::outcome::Outcome;
use crate::request::refusal::Refusal;
use crate::request::request_id::RequestId;
use crate::request::retry_budget::RetryBudget;
use crate::request::service_response::ServiceResponse;
use crate::version::instance_id::InstanceId;
use crate::version::key_hash::KeyHash;
use crate::version::member::Member;
use crate::version::service::{Policy, Service, ServiceKind};
use crate::version::service_name::ServiceName;
use crate::version::session_id::SessionId;

/// The initial delay before a retry for a key without an owner.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(2);
/// The maximum delay before a retry.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(25);
/// At most one in this number of workers may wait for keys without an owner.
const WAITING_WORKERS_ONE_IN: u32 = 2;

/// The retry and hedge budgets of one service.
struct Budgets {
    retry: RetryBudget,
    hedge: RetryBudget,
}

/// The dependencies of a router.
#[derive(Clone)]
pub struct RouterDeps {
    /// The clock of the host.
    pub clock: Arc<dyn Clock>,
    /// The daemon's membership and its view of the assignment table.
    pub membership: Arc<Membership>,
    /// Serves requests whose key this daemon owns.
    pub owner: Arc<KeyOwner>,
    /// Sends requests to the local upstream.
    pub dispatcher: Arc<UpstreamDispatcher>,
    /// The connections to other daemons.
    pub pool: Arc<PeerPool>,
    /// The metrics of the daemon.
    pub metrics: Arc<Metrics>,
    /// The id of the daemon process.
    pub instance: InstanceId,
    /// The maximum number of concurrent requests from callers.
    pub workers: u32,
    /// The maximum clock skew between hosts and callers.
    pub clock_skew: Duration,
}

/// Routes the requests that a daemon receives from callers and other daemons.
pub struct Router {
    deps: RouterDeps,
    selector: SharedUpstreamSelector,
    hedge_pool: ThreadPool,
    budgets: Mutex<HashMap<ServiceName, Budgets>>,
    recent_requests: Mutex<RecentSharedRequests>,
    recent_requests_changed: Condvar,
    waiting_workers: AtomicU32,
}

/// The result of one attempt of a request.
enum Attempt {
    /// The called daemon returned a response.
    Responded(ServiceResponse, Resent),
    /// The called daemon does not serve the request, for this reason.
    NotServed(String, Resent),
    /// The request was not sent, for this reason.
    NotSent(String),
    /// The request may have been sent, but no valid reply arrived, for this reason.
    MaybeSent(String),
}

/// Whether a call was sent more than once.
type Resent = bool;

impl Router {
    /// Creates a router and starts its hedging threads.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread can't be started.
    pub fn new(deps: RouterDeps) -> io::Result<Self> {
        Ok(Self {
            hedge_pool: ThreadPool::new("hedge", usize::try_from(deps.workers).unwrap_or(1)),
            deps,
            selector: SharedUpstreamSelector::default(),
            budgets: Mutex::default(),
            recent_requests: Mutex::default(),
            recent_requests_changed: Condvar::new(),
            waiting_workers: AtomicU32::new(0),
        })
    }

    /// Routes a caller's request and returns the response.
    pub fn route(self: &Arc<Self>, envelope: Envelope) -> ServiceResponse {
        let active = self.deps.membership.active_configuration();
        let Some(service) = active.document.services.get(&envelope.service) else {
            return ServiceResponse::not_run(Refusal::NoSuchService);
        };
        if service.kind == ServiceKind::Keyed && envelope.key.is_empty() {
            return ServiceResponse::not_run(Refusal::NoKey);
        }
        if !envelope.repeatable && envelope.idempotency_key.is_none() {
            return ServiceResponse::not_run(Refusal::NoIdempotencyKey);
        }
        self.with_budgets(&envelope.service, service, |b| {
            b.retry.deposit();
            b.hedge.deposit();
        });
        let deadline = self.deps.clock.now() + envelope.remaining;
        if service.kind == ServiceKind::Shared && envelope.repeatable {
            return self.route_shared(envelope, service, deadline);
        }
        self.route_owned(envelope, service, deadline)
    }

    /// Discards the statistics of daemon processes that are no longer members.
    pub fn forget_ended_members(&self) {
        let table = self.deps.membership.table();
        self.selector
            .retain(|instance| table.member_of(instance).is_some());
    }

    /// Serves a request that this daemon or another one forwards to the owner of its key.
    pub fn serve_forwarded(self: &Arc<Self>, envelope: Envelope) -> PeerReply {
        let active = self.deps.membership.active_configuration();
        let kind = active
            .document
            .services
            .get(&envelope.service)
            .map(|s| s.kind);
        match kind {
            None => PeerReply::NotServing("no such service here yet".to_owned()),
            Some(ServiceKind::Keyed) => {
                let dispatcher = Arc::clone(&self.deps.dispatcher);
                let runner = LocalRunner {
                    dispatcher,
                    membership: Arc::clone(&self.deps.membership),
                };
                self.deps.owner.serve(envelope, &runner)
            }
            Some(ServiceKind::Shared) => {
                let runner = SharedRunner {
                    router: Arc::clone(self),
                };
                self.deps.owner.serve(envelope, &runner)
            }
        }
    }

    /// Runs a request of a shared service on the local upstream.
    ///
    /// A duplicate call gets the reply of the first one, even after the first has ended.
    pub fn run_locally(
        &self,
        instance: InstanceId,
        until: WallTime,
        envelope: Envelope,
    ) -> PeerReply {
        if instance != self.deps.instance {
            return PeerReply::NotServing("that process is gone".to_owned());
        }
        let skew = self.deps.clock_skew;
        if self.deps.clock.wall_time() > until.saturating_add(skew) {
            // The record of an earlier run of this request may already be removed.
            return PeerReply::NotServing("the order came too late".to_owned());
        }
        let now = self.deps.clock.now();
        let deadline = now + envelope.remaining;
        let id = envelope.id;
        let repeatable = envelope.repeatable;
        let mut recent = sync::lock(&self.recent_requests);
        if !recent.begin(now, id, deadline + skew * 2) {
            return self.wait_for_first_call(recent, id, deadline);
        }
        drop(recent);
        let leaving = self.deps.membership.with_ownership(|o, _| o.info().leaving);
        let permit = |_| match leaving {
            true => Err("the upstream is leaving".to_owned()),
            false => Ok(Permit {
                fence: None,
                until: deadline,
            }),
        };
        let result = self
            .deps
            .dispatcher
            .dispatch(&Arc::new(envelope), None, deadline, permit);
        let reply = match result {
            DispatchResult::Response(response) => PeerReply::Response(response),
            DispatchResult::NotServing(reason) => PeerReply::NotServing(reason),
        };
        let now = self.deps.clock.now();
        sync::lock(&self.recent_requests).finish(now, id, &reply, repeatable);
        self.recent_requests_changed.notify_all();
        reply
    }

    /// Waits for the reply of the call that is already running the same request.
    fn wait_for_first_call(
        &self,
        recent: MutexGuard<'_, RecentSharedRequests>,
        id: RequestId,
        deadline: Moment,
    ) -> PeerReply {
        let max_wait = deadline.since(self.deps.clock.now());
        let waited = self
            .recent_requests_changed
            .wait_timeout_while(recent, max_wait, |r| r.is_running(id));
        let recent = waited.unwrap_or_else(PoisonError::into_inner).0;
        let unknown = || PeerReply::Response(ServiceResponse::unknown(Refusal::DeadlinePassed));
        recent.reply(id).unwrap_or_else(unknown)
    }

    /// Forwards a request to the owner of its key or idempotency key, with retries.
    fn route_owned(
        self: &Arc<Self>,
        mut envelope: Envelope,
        service: &Service,
        deadline: Moment,
    ) -> ServiceResponse {
        let hash = envelope.routing_hash();
        let mut delay = RETRY_DELAY_MIN;
        let mut may_have_run = false;
        let mut last_reason = String::from("no daemon owns it");
        let mut avoid = None;
        loop {
            let now = self.deps.clock.now();
            envelope.remaining = deadline.since(now);
            if envelope.remaining.is_zero() {
                break;
            }
            match self.try_owner(&envelope, hash, avoid) {
                Some(Attempt::Responded(response, resent)) => {
                    may_have_run |= resent;
                    return account_for_earlier_attempts(response, may_have_run);
                }
                Some(Attempt::NotServed(reason, resent)) => {
                    may_have_run |= resent;
                    last_reason = reason;
                }
                Some(Attempt::NotSent(reason)) => last_reason = reason,
                Some(Attempt::MaybeSent(reason)) => {
                    may_have_run = true;
                    last_reason = reason;
                    // Without retry budget, only a different owner may be tried.
                    if envelope.repeatable && !self.may_retry(&envelope.service, service) {
                        avoid = self.owner_of(&envelope.service, hash);
                    }
                }
                None => {}
            }
            if may_have_run {
                envelope.fresh_until = None;
            }
            if !self.wait_before_retry(delay, deadline) {
                break;
            }
            delay = (delay * 2).min(RETRY_DELAY_MAX);
        }
        if may_have_run {
            return ServiceResponse::unknown(Refusal::OwnerFailed(last_reason));
        }
        ServiceResponse::not_run(Refusal::NoOwner(last_reason))
    }

    /// Returns the session that most likely owns `hash`.
    fn owner_of(&self, service: &ServiceName, hash: KeyHash) -> Option<SessionId> {
        self.deps
            .membership
            .with_ownership(|o, _| o.likely_owner(service, hash).map(|m| m.info.session))
    }

    /// Forwards a request to the daemon that most likely owns `hash`. Returns `None` if there is no
    /// such daemon, or if it is `avoid`.
    fn try_owner(
        self: &Arc<Self>,
        envelope: &Envelope,
        hash: KeyHash,
        avoid: Option<SessionId>,
    ) -> Option<Attempt> {
        let owner = self
            .deps
            .membership
            .with_ownership(|o, _| o.likely_owner(&envelope.service, hash).cloned());
        let owner = owner.filter(|m| Some(m.info.session) != avoid)?;
        if owner.info.session.instance == self.deps.instance {
            return Some(match self.serve_forwarded(envelope.clone()) {
                PeerReply::Response(response) => Attempt::Responded(response, false),
                PeerReply::NotServing(reason) => Attempt::NotServed(reason, false),
                _ => Attempt::NotServed("no reply".to_owned(), false),
            });
        }
        let request = PeerRequest::Forward(envelope.clone());
        Some(self.call(&owner, &request, envelope.remaining))
    }

    /// Calls a daemon; stops waiting as soon as its session is known to have ended.
    fn call(&self, member: &Member, request: &PeerRequest, timeout: Duration) -> Attempt {
        let session = member.info.session;
        let has_ended = || {
            self.deps
                .membership
                .with_ownership(|o, _| o.has_ended(session))
        };
        match self.deps.pool.call(
            member.info.peer,
            request,
            timeout,
            &Recipient::none(),
            has_ended,
        ) {
            Ok(called) => match called.reply {
                PeerReply::Response(response) => Attempt::Responded(response, called.resent),
                PeerReply::NotServing(reason) => Attempt::NotServed(reason, called.resent),
                _ => Attempt::MaybeSent(PeerError::Mismatch.to_string()),
            },
            Err(e) if e.is_unsent() => Attempt::NotSent(e.to_string()),
            Err(e) => Attempt::MaybeSent(e.to_string()),
        }
    }

    /// Sends an idempotent request to an upstream of a shared service, with retries and hedges.
    fn route_shared(
        self: &Arc<Self>,
        mut envelope: Envelope,
        service: &Service,
        deadline: Moment,
    ) -> ServiceResponse {
        let mut tried = Vec::new();
        let mut may_have_run = false;
        let mut last_response =
            ServiceResponse::not_run(Refusal::NoOwner("no upstream is known".to_owned()));
        loop {
            envelope.remaining = deadline.since(self.deps.clock.now());
            if envelope.remaining.is_zero() {
                break;
            }
            let members = self.deps.membership.members_taking_work(&envelope.service);
            let Some(member) = self.selector.select(&members, &tried, service.policy) else {
                if tried.is_empty() && self.wait_before_retry(RETRY_DELAY_MAX, deadline) {
                    continue;
                }
                break;
            };
            let attempt = self.run_hedged(&envelope, service, &members, member, deadline);
            tried.push(member.info.session.instance);
            match attempt {
                Attempt::Responded(response, resent) => {
                    may_have_run |= resent || response.outcome == Outcome::Unknown;
                    if response.outcome == Outcome::Ran {
                        return response;
                    }
                    last_response = response;
                }
                Attempt::NotServed(reason, resent) => {
                    may_have_run |= resent;
                    last_response = ServiceResponse::not_run(Refusal::NoOwner(reason));
                }
                Attempt::NotSent(reason) => {
                    last_response = ServiceResponse::not_run(Refusal::NoOwner(reason))
                }
                Attempt::MaybeSent(reason) => {
                    may_have_run = true;
                    last_response = ServiceResponse::unknown(Refusal::OwnerFailed(reason));
                }
            }
            if last_response.refusal == Some(Refusal::Quarantined)
                || !self.may_retry(&envelope.service, service)
            {
                break;
            }
        }
        account_for_earlier_attempts(last_response, may_have_run)
    }

    /// Runs a request on the upstream of `member`, and also on that of a second member if the
    /// response takes unusually long.
    fn run_hedged(
        self: &Arc<Self>,
        envelope: &Envelope,
        service: &Service,
        members: &[Member],
        member: &Member,
        deadline: Moment,
    ) -> Attempt {
        if service.policy == Policy::Baseline || service.hedge_percent == 0 || members.len() < 2 {
            return self.run_on_member(member, envelope);
        }
        let (tx, rx) = mpsc::channel();
        self.submit_run(member, envelope, &tx);
        match rx.recv_timeout(self.selector.hedge_delay(members)) {
            Ok(attempt) => return attempt,
            Err(RecvTimeoutError::Disconnected) => {
                return Attempt::MaybeSent("the call was dropped".to_owned());
            }
            Err(RecvTimeoutError::Timeout) => {}
        }
        let avoid = [member.info.session.instance];
        let other = self.selector.select(members, &avoid, service.policy);
        let allowed = self.with_budgets(&envelope.service, service, |b| b.hedge.withdraw());
        if let (Some(other), true) = (other, allowed) {
            self.deps.metrics.record_hedge();
            let remaining = deadline.since(self.deps.clock.now());
            self.submit_run(
                other,
                &Envelope {
                    remaining,
                    ..envelope.clone()
                },
                &tx,
            );
        }
        drop(tx);
        let mut result = Attempt::MaybeSent("no answer came".to_owned());
        while let Ok(attempt) = rx.recv_timeout(deadline.since(self.deps.clock.now())) {
            let ran = matches!(&attempt, Attempt::Responded(r, _) if r.outcome == Outcome::Ran);
            result = attempt;
            if ran {
                break;
            }
        }
        result
    }

    fn submit_run(
        self: &Arc<Self>,
        member: &Member,
        envelope: &Envelope,
        tx: &mpsc::Sender<Attempt>,
    ) {
        let (router, tx) = (Arc::clone(self), tx.clone());
        let (member, envelope) = (member.clone(), envelope.clone());
        self.hedge_pool.submit(move || {
            let _ = tx.send(router.run_on_member(&member, &envelope));
        });
    }

    /// Runs a request on the upstream of `member`.
    fn run_on_member(&self, member: &Member, envelope: &Envelope) -> Attempt {
        let instance = member.info.session.instance;
        self.selector.call_started(instance);
        let started = self.deps.clock.now();
        let until = self
            .deps
            .clock
            .wall_time()
            .saturating_add(envelope.remaining);
        let result = if instance == self.deps.instance {
            match self.run_locally(instance, until, envelope.clone()) {
                PeerReply::Response(response) => Attempt::Responded(response, false),
                PeerReply::NotServing(reason) => Attempt::NotServed(reason, false),
                _ => Attempt::NotServed("no reply".to_owned(), false),
            }
        } else {
            let request = PeerRequest::DispatchShared {
                instance,
                until,
                envelope: envelope.clone(),
            };
            self.call(member, &request, envelope.remaining)
        };
        self.selector
            .call_ended(instance, self.deps.clock.now().since(started));
        result
    }

    /// Waits before a retry; returns whether the request should be retried.
    ///
    /// Returns false if the deadline would pass, or if too many workers already wait.
    fn wait_before_retry(&self, delay: Duration, deadline: Moment) -> bool {
        if self.deps.clock.now() + delay >= deadline {
            return false;
        }
        let waiting = self.waiting_workers.fetch_add(1, Ordering::SeqCst);
        let may_wait = waiting < (self.deps.workers / WAITING_WORKERS_ONE_IN).max(1);
        if may_wait {
            thread::sleep(delay);
        }
        self.waiting_workers.fetch_sub(1, Ordering::SeqCst);
        may_wait
    }

    fn may_retry(&self, name: &ServiceName, service: &Service) -> bool {
        let allowed = self.with_budgets(name, service, |b| b.retry.withdraw());
        if allowed {
            self.deps.metrics.record_retry();
        }
        allowed
    }

    fn with_budgets<R>(
        &self,
        name: &ServiceName,
        service: &Service,
        f: impl FnOnce(&mut Budgets) -> R,
    ) -> R {
        let mut budgets_by_service = sync::lock(&self.budgets);
        let budgets = budgets_by_service
            .entry(name.clone())
            .or_insert_with(|| Budgets {
                retry: RetryBudget::new(service.retry_percent),
                hedge: RetryBudget::new(service.hedge_percent),
            });
        budgets.retry.set_percent(service.retry_percent);
        budgets.hedge.set_percent(service.hedge_percent);
        f(budgets)
    }
}

/// Runs requests of a shared service that have an idempotency record. The owner of the record
/// selects the upstream.
struct SharedRunner {
    router: Arc<Router>,
}

impl Runner for SharedRunner {
    fn run(
        &self,
        envelope: &Arc<Envelope>,
        serve_permit: &ServePermit,
        deadline: Moment,
    ) -> DispatchResult {
        let router = &self.router;
        let active = router.deps.membership.active_configuration();
        let Some(service) = active.document.services.get(&envelope.service) else {
            return DispatchResult::Response(ServiceResponse::not_run(Refusal::NoSuchService));
        };
        let members = router
            .deps
            .membership
            .members_taking_work(&envelope.service);
        let mut tried = Vec::new();
        let mut last_response =
            ServiceResponse::not_run(Refusal::NoOwner("no upstream is known".to_owned()));
        while let Some(member) = router.selector.select(&members, &tried, service.policy) {
            let permit = router.deps.membership.with_ownership(|o, now| {
                o.permit_for_slice(now, &envelope.service, serve_permit.slice)
                    .map(|s| s.until)
            });
            let until = match permit {
                Ok(until) => until.min(deadline),
                Err(e) => return DispatchResult::NotServing(e.to_string()),
            };
            let remaining = until.since(router.deps.clock.now());
            if remaining.is_zero() {
                break;
            }
            tried.push(member.info.session.instance);
            let forwarded = Envelope {
                remaining,
                fresh_until: None,
                ..(**envelope).clone()
            };
            match router.run_on_member(member, &forwarded) {
                Attempt::Responded(response, resent) => {
                    let response = account_for_earlier_attempts(response, resent);
                    if response.outcome != Outcome::NotRun {
                        return DispatchResult::Response(response);
                    }
                    last_response = response;
                }
                Attempt::NotServed(reason, false) | Attempt::NotSent(reason) => {
                    last_response = ServiceResponse::not_run(Refusal::NoOwner(reason));
                }
                Attempt::NotServed(reason, true) | Attempt::MaybeSent(reason) => {
                    return DispatchResult::Response(ServiceResponse::unknown(
                        Refusal::OwnerFailed(reason),
                    ));
                }
            }
        }
        DispatchResult::Response(last_response)
    }
}

/// Changes the outcome "not run" to "unknown" if an earlier attempt may have run.
fn account_for_earlier_attempts(response: ServiceResponse, may_have_run: bool) -> ServiceResponse {
    match response.refusal {
        Some(refusal) if may_have_run && response.outcome == Outcome::NotRun => {
            ServiceResponse::unknown(refusal)
        }
        refusal => ServiceResponse {
            refusal,
            ..response
        },
    }
}
